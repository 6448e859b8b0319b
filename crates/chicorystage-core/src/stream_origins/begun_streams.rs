use std::collections::{HashMap, VecDeque};

use chicorystage_api::name::{SoftwareVersion, StreamId};

use crate::stream_origins::STREAM_LIFE_MS;

/// Largest number of streams that are kept; the oldest are forgotten above it.
const STREAMS_MAX: usize = 65_536;

/// Software versions of streams that began within [`STREAM_LIFE_MS`].
#[derive(Clone, Debug, Default)]
pub struct BegunStreams {
    versions: HashMap<StreamId, SoftwareVersion>,
    /// Streams with the times from which they are no longer kept, oldest first.
    by_end: VecDeque<(u64, StreamId)>,
}

impl BegunStreams {
    /// Records the version that began a stream; one that is known keeps its version.
    pub fn record(&mut self, now_ms: u64, stream: StreamId, version: SoftwareVersion) {
        self.forget_old(now_ms);
        if self.versions.contains_key(&stream) {
            return;
        }
        self.by_end
            .push_back((now_ms + STREAM_LIFE_MS, stream.clone()));
        self.versions.insert(stream, version);
    }

    /// Returns the version that began a stream; `None` if it is not known.
    #[must_use]
    pub fn version(&self, stream: &StreamId) -> Option<&SoftwareVersion> {
        self.versions.get(stream)
    }

    fn forget_old(&mut self, now_ms: u64) {
        while let Some((end_ms, stream)) = self.by_end.front() {
            if now_ms < *end_ms && self.by_end.len() < STREAMS_MAX {
                return;
            }
            self.versions.remove(stream);
            self.by_end.pop_front();
        }
    }
}
