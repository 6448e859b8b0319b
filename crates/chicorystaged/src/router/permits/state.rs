use chicorystage_api::peer::{PermitAnswer, PermitRequest};
use chicorystage_core::permit::{HOLDER_KEY, PermitDecision, PermitLimiter, PermitLimits};

use crate::router::permits::PermitEvent;
use crate::router::planner::PlannerView;

/// The permits' part of the main loop.
#[derive(Debug)]
pub struct PermitState {
    limiter: PermitLimiter,
}

impl PermitState {
    /// Creates the state with no permits granted.
    #[must_use]
    pub fn new() -> Self {
        Self {
            limiter: PermitLimiter::new(rand::random()),
        }
    }

    /// Handles one event.
    pub fn on_event(&mut self, view: PlannerView<'_>, event: PermitEvent) {
        match event {
            PermitEvent::Acquire { request, reply } => {
                // The agent may have stopped waiting; an unused permit expires.
                let _sent = reply.send(self.acquire(view, &request));
            }
            PermitEvent::Release { permit_id } => self.limiter.release(permit_id),
        }
    }

    /// Grants a permit, returns a retry delay, or names the permit holder.
    ///
    /// Grants even if no router is listed, since there is then no other holder to name.
    fn acquire(&mut self, view: PlannerView<'_>, request: &PermitRequest) -> PermitAnswer {
        if let Some(holder) = view.first_router(HOLDER_KEY)
            && holder.id != *view.own_vm
        {
            return PermitAnswer::Elsewhere {
                holder: holder.id.clone(),
            };
        }
        let limits = PermitLimits::from_policy(view.inventory.policy());
        match self.limiter.acquire(request, limits, view.now_ms) {
            PermitDecision::Granted {
                permit_id,
                expires_in_ms,
            } => PermitAnswer::Granted {
                permit_id,
                expires_in_ms,
            },
            PermitDecision::Wait { retry_in_ms } => PermitAnswer::Wait { retry_in_ms },
        }
    }
}

impl Default for PermitState {
    fn default() -> Self {
        Self::new()
    }
}
