use chicorystage_core::fence::FenceStatus;
use chicorystage_core::replicas::ObservedReplica;

use crate::world::engine::{Engine, IN_FLIGHT_MAX_MS};

/// A status of an engine, in flight to the agent incarnation that requested it.
#[derive(Debug)]
pub struct Status {
    pub incarnation: u64,
    pub fence: FenceStatus,
    pub observed: Vec<ObservedReplica>,
}

impl Status {
    pub fn read(engine: &Engine, incarnation: u64, now_ms: u64) -> Self {
        let fence_highest = if engine.fence_enforced {
            engine.fence_highest
        } else {
            0
        };
        Self {
            incarnation,
            fence: FenceStatus {
                engine_run: engine.run,
                fence_highest,
                fence_enforced: engine.fence_enforced,
                order_in_flight_max_ms: IN_FLIGHT_MAX_MS,
                requested_ms: now_ms,
                unix_ms: now_ms,
            },
            observed: engine.observed(),
        }
    }
}
