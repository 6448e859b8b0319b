//! Selects the engine updates that the lease holder has to publish.
//!
//! Publishing every engine with every pass would cost too many datagrams, and publishing changes
//! alone would lose those whose datagram was lost. So changes are published at once, and all
//! engines at a fixed interval.

use std::collections::HashMap;

use chicorystage_api::name::EndpointId;

use crate::gateway::peer_message::EngineUpdate;

/// Interval between two updates that repeat the state of all engines, in milliseconds.
const REPEAT_MS: u64 = 1_000;

/// The last published state of each engine.
#[derive(Debug, Default)]
pub struct PlacementPublisher {
    engines: HashMap<EndpointId, EngineUpdate>,
    all_published_ms: Option<u64>,
}

impl PlacementPublisher {
    /// Returns the updates to publish now: changed engines, or all of them once per interval.
    ///
    /// An engine that `is_present` reports as gone is published once more with nothing loaded, so
    /// that gateways stop sending to it before they see its removal from the registry. The state of
    /// one that is present but missing in `updates` is unresolved; its last published state stands.
    pub fn due(
        &mut self,
        now_ms: u64,
        updates: Vec<EngineUpdate>,
        is_present: impl Fn(&EngineUpdate) -> bool,
    ) -> Vec<EngineUpdate> {
        let repeats = self
            .all_published_ms
            .is_none_or(|published_ms| now_ms >= published_ms + REPEAT_MS);
        if repeats {
            self.all_published_ms = Some(now_ms);
        }
        let mut before = std::mem::take(&mut self.engines);
        let mut due = Vec::new();
        for engine in updates {
            let known = before.remove(&engine.endpoint);
            if let Some(known) = known.filter(|known| !repeats && known.is_same_state(&engine)) {
                self.remember(known);
                continue;
            }
            self.remember(engine.clone());
            due.push(engine);
        }
        for engine in before.into_values() {
            if is_present(&engine) {
                self.remember(engine);
            } else {
                due.push(EngineUpdate {
                    models: Vec::new(),
                    loading: None,
                    ..engine
                });
            }
        }
        due
    }

    fn remember(&mut self, engine: EngineUpdate) {
        self.engines.insert(engine.endpoint.clone(), engine);
    }
}
