use std::collections::{HashMap, VecDeque};

use chicorystage_api::name::RequestId;
use chicorystage_api::peer::RequestTrace;

/// Maximum number of traces kept.
const TRACES_MAX: usize = 2_048;

/// Traces of the most recent requests; the request stored first is evicted first.
#[derive(Debug, Default)]
pub(crate) struct TraceLog {
    traces: HashMap<RequestId, RequestTrace>,
    eviction_order: VecDeque<RequestId>,
}

impl TraceLog {
    /// Stores a trace, replacing an earlier one of the same request.
    ///
    /// A replacement does not delay the eviction of the request.
    pub(crate) fn put(&mut self, trace: RequestTrace) {
        let request_id = trace.request_id.clone();
        if self.traces.insert(request_id.clone(), trace).is_some() {
            return;
        }
        self.eviction_order.push_back(request_id);
        if self.eviction_order.len() <= TRACES_MAX {
            return;
        }
        if let Some(oldest) = self.eviction_order.pop_front() {
            self.traces.remove(&oldest);
        }
    }

    pub(crate) fn get(&self, request_id: &RequestId) -> Option<&RequestTrace> {
        self.traces.get(request_id)
    }
}
