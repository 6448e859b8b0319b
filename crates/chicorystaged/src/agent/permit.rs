//! Permits to fetch weights, from a router or by local pacing.
//!
//! Permits limit the concurrent load on the weight store. One router, ranked
//! first by rendezvous hashing, issues them; the agent polls it and follows
//! redirects. If no router grants a permit, the agent delays its order by a
//! random time, whose mean doubles with each such order in a row up to a
//! bound, and then proceeds without one.

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

/// Number of routers to try before falling back to local pacing.
const ROUTERS_TRIED_MAX: usize = 2;
/// Number of redirects to the router that issues permits to follow for each router tried.
const REDIRECTS_MAX: u32 = 2;
/// Maximum wait for a permit before falling back to local pacing, in milliseconds.
const PERMIT_WAIT_MAX_MS: u64 = 60_000;
/// Maximum delay between two polls of a router, in milliseconds.
const POLL_DELAY_MAX_MS: u64 = 2_000;
/// Mean delay of local pacing before any doubling, in milliseconds.
const LOCAL_PACING_DELAY_MS: u64 = 200;
/// Maximum number of doublings of [`LOCAL_PACING_DELAY_MS`].
const LOCAL_PACING_DOUBLINGS_MAX: u32 = 4;

/// Acquires and releases the permit of one order.
#[derive(Clone)]
pub(crate) struct PermitClient {
    pub(crate) link: Arc<dyn RouterLink>,
    /// Live routers of the agent's router group, in any order.
    pub(crate) routers: Vec<VmEntry>,
    pub(crate) vm: VmId,
    /// Number of the order; the router takes a repeat with it as the same request.
    pub(crate) ticket: u64,
    pub(crate) kind: PermitKind,
    /// Urgency of the most urgent attempt that waits for the order; may rise.
    pub(crate) urgency: watch::Receiver<Urgency>,
    pub(crate) clock: Clock,
    /// Consecutive locally paced orders before this one; any other ended order resets the count.
    pub(crate) locally_paced_orders: u32,
}

/// A permit that a router granted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Permit {
    router: SocketAddr,
    permit_id: u64,
}

impl PermitClient {
    /// Acquires a permit; `None` after a local pacing delay if no router granted one.
    pub(crate) async fn acquire(&self) -> Option<Permit> {
        let mut ranked = self.routers.clone();
        rendezvous::rank(HOLDER_KEY, &mut ranked, |router| router.id.as_str());
        let start = Instant::now();
        for router in ranked.iter().take(ROUTERS_TRIED_MAX) {
            if let Some(permit) = self.acquire_from(router, start).await {
                return Some(permit);
            }
        }
        sleep(Duration::from_millis(self.local_pacing_delay_ms())).await;
        None
    }

    /// Releases a permit at the router that granted it.
    pub(crate) async fn release(&self, permit: Permit) {
        // If the release is lost, the permit expires by itself.
        let _released = self
            .link
            .release_permit(permit.router, permit.permit_id)
            .await;
    }

    /// Polls a router for a permit and follows its redirects to the router that issues permits.
    ///
    /// Returns `None` on a failed call, a redirect to an unknown router, too many redirects, or
    /// after [`PERMIT_WAIT_MAX_MS`] since `start`.
    async fn acquire_from(&self, router: &VmEntry, start: Instant) -> Option<Permit> {
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
                    sleep(Duration::from_millis(
                        retry_in_ms.clamp(1, POLL_DELAY_MAX_MS),
                    ))
                    .await;
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

    /// Returns a random delay between a half and three halves of the mean, in milliseconds.
    fn local_pacing_delay_ms(&self) -> u64 {
        let delay_ms =
            LOCAL_PACING_DELAY_MS << self.locally_paced_orders.min(LOCAL_PACING_DOUBLINGS_MAX);
        rand::rng().random_range(delay_ms / 2..=delay_ms * 3 / 2)
    }
}
