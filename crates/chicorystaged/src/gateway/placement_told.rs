//! What the other gateways were told about engines.

use std::collections::HashMap;

use chicorystage_api::name::EndpointId;

use crate::gateway::peer_message::EngineNews;

/// Time between two messages that repeat what all engines hold, in milliseconds.
const REPEAT_MS: u64 = 1_000;

/// What the other gateways were told last.
#[derive(Debug, Default)]
pub struct PlacementTold {
    engines: HashMap<EndpointId, EngineNews>,
    all_told_ms: Option<u64>,
}

impl PlacementTold {
    /// Returns what to tell now: what has changed, and everything once in a while.
    ///
    /// An engine that is no longer there is told once more as one that holds nothing, so that
    /// gateways stop sending to it before the registry tells them why. One that is missing in
    /// `news` and still there is in doubt; what was told of it stands.
    pub fn due(
        &mut self,
        now_ms: u64,
        news: Vec<EngineNews>,
        is_there: impl Fn(&EngineNews) -> bool,
    ) -> Vec<EngineNews> {
        let repeats = self
            .all_told_ms
            .is_none_or(|told_ms| now_ms >= told_ms + REPEAT_MS);
        if repeats {
            self.all_told_ms = Some(now_ms);
        }
        let mut before = std::mem::take(&mut self.engines);
        let mut due = Vec::new();
        for engine in news {
            let known = before.remove(&engine.endpoint);
            if let Some(known) = known.filter(|known| !repeats && known.says_same(&engine)) {
                self.remember(known);
                continue;
            }
            self.remember(engine.clone());
            due.push(engine);
        }
        for engine in before.into_values() {
            if is_there(&engine) {
                self.remember(engine);
            } else {
                due.push(EngineNews {
                    models: Vec::new(),
                    coming: None,
                    ..engine
                });
            }
        }
        due
    }

    fn remember(&mut self, engine: EngineNews) {
        self.engines.insert(engine.endpoint.clone(), engine);
    }
}
