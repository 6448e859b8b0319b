use std::collections::BTreeMap;

use chicorystage_api::name::StreamId;

use crate::stream_origins::LiveStream;

/// Largest number of streams that are stored; those that end first are left out above it.
const STORED_MAX: usize = 500;
/// Least number of streams at which those that are over are removed.
const PRUNE_AT_MIN: usize = 1_000;

/// Streams that this process relays or relayed, until they are whole or their callers no longer wait.
///
/// They are stored while several software versions serve, so that they outlast this process.
#[derive(Clone, Debug, Default)]
pub struct LiveStreams {
    streams: BTreeMap<StreamId, LiveStream>,
    is_changed: bool,
    /// Number of streams at which those that are over are removed.
    prune_at: usize,
}

impl LiveStreams {
    /// Adds a stream; `must_store` is whether it must be stored soon.
    pub fn begin(&mut self, now_unix_ms: u64, stream: LiveStream, must_store: bool) {
        if self.streams.len() >= self.prune_at.max(PRUNE_AT_MIN) {
            self.prune(now_unix_ms);
            self.prune_at = 2 * self.streams.len();
        }
        self.streams.insert(stream.stream.clone(), stream);
        self.is_changed |= must_store;
    }

    /// Removes a stream that its caller has received whole.
    pub fn end(&mut self, stream: &StreamId) {
        self.streams.remove(stream);
    }

    /// Returns whether there are streams that must be stored.
    #[must_use]
    pub fn is_changed(&self) -> bool {
        self.is_changed
    }

    /// Returns the streams to store, and counts them as stored.
    pub fn take(&mut self, now_unix_ms: u64) -> Vec<LiveStream> {
        self.prune(now_unix_ms);
        self.is_changed = false;
        let mut streams: Vec<LiveStream> = self.streams.values().cloned().collect();
        streams.sort_by_key(|stream| std::cmp::Reverse(stream.ends_unix_ms));
        streams.truncate(STORED_MAX);
        streams
    }

    /// Returns the number of streams that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn prune(&mut self, now_unix_ms: u64) {
        self.streams
            .retain(|_, stream| now_unix_ms < stream.ends_unix_ms);
    }

    /// Counts the streams as not stored, after a failure.
    pub fn keep_changed(&mut self) {
        self.is_changed = true;
    }
}
