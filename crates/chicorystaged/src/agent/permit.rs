//! Permission to fetch weights, from a router or by local pacing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::name::VmId;
use chicorystage_api::peer::{PermitAnswer, PermitKind, PermitRequest};
use chicorystage_borders::link::RouterLink;
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::permit::HOLDER_KEY;
use chicorystage_core::rendezvous;
use rand::RngExt;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::agent::urgency::Urgency;
use crate::timer::Clock;

/// Routers that are asked before the agent paces itself.
const ROUTERS_ASKED_MAX: usize = 2;
/// Times that the agent follows a router's word about the holder.
const REDIRECTS_MAX: u32 = 2;
/// Longest wait for a permit before the agent paces itself, in milliseconds.
const PERMIT_WAIT_MAX_MS: u64 = 60_000;
/// Longest delay between two questions, in milliseconds.
const RETRY_MAX_MS: u64 = 2_000;
/// First delay of local pacing, in milliseconds.
const LOCAL_DELAY_MS: u64 = 200;
/// Doublings of that delay at most.
const LOCAL_DOUBLINGS_MAX: u32 = 4;

/// Asks for permits on behalf of one order.
#[derive(Clone)]
pub(crate) struct PermitAsker {
    pub(crate) link: Arc<dyn RouterLink>,
    /// Live routers.
    pub(crate) routers: Vec<VmEntry>,
    pub(crate) vm: VmId,
    pub(crate) ticket: u64,
    pub(crate) kind: PermitKind,
    /// Highest urgency of those who wait by now.
    pub(crate) urgency: watch::Receiver<Urgency>,
    pub(crate) clock: Clock,
    /// Orders in a row for which no router answered.
    pub(crate) local_orders: u32,
}

/// A permit that a router handed out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Permit {
    router: SocketAddr,
    permit_id: u64,
}

impl PermitAsker {
    /// Waits for a permit; none where the agent paced itself instead.
    pub(crate) async fn acquire(&self) -> Option<Permit> {
        let mut ranked = self.routers.clone();
        rendezvous::rank(HOLDER_KEY, &mut ranked, |router| router.id.as_str());
        let start = Instant::now();
        for router in ranked.iter().take(ROUTERS_ASKED_MAX) {
            if let Some(permit) = self.ask(router, start).await {
                return Some(permit);
            }
        }
        sleep(Duration::from_millis(self.local_delay_ms())).await;
        None
    }

    /// Returns a permit.
    pub(crate) async fn release(&self, permit: Permit) {
        // A permit that is not returned lapses.
        let _released = self
            .link
            .release_permit(permit.router, permit.permit_id)
            .await;
    }

    async fn ask(&self, router: &VmEntry, start: Instant) -> Option<Permit> {
        let mut router = router.clone();
        let mut redirects = 0;
        while start.elapsed() < Duration::from_millis(PERMIT_WAIT_MAX_MS) {
            let answer = self
                .link
                .acquire_permit(router.address, self.request())
                .await;
            match answer.ok()? {
                PermitAnswer::Granted { permit_id, .. } => {
                    let router = router.address;
                    return Some(Permit { router, permit_id });
                }
                PermitAnswer::Wait { retry_in_ms } => {
                    sleep(Duration::from_millis(retry_in_ms.clamp(1, RETRY_MAX_MS))).await;
                }
                PermitAnswer::Elsewhere { holder } => {
                    redirects += 1;
                    if redirects > REDIRECTS_MAX {
                        return None;
                    }
                    router = self.routers.iter().find(|vm| vm.id == holder)?.clone();
                }
            }
        }
        None
    }

    fn request(&self) -> PermitRequest {
        let urgency = *self.urgency.borrow();
        PermitRequest {
            vm: self.vm.clone(),
            ticket: self.ticket,
            kind: self.kind,
            class: urgency.class,
            time_left_ms: urgency.deadline_ms.saturating_sub(self.clock.now_ms()),
        }
    }

    fn local_delay_ms(&self) -> u64 {
        let delay_ms = LOCAL_DELAY_MS << self.local_orders.min(LOCAL_DOUBLINGS_MAX);
        rand::rng().random_range(delay_ms / 2..=delay_ms * 3 / 2)
    }
}
