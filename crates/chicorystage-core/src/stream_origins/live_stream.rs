use chicorystage_api::name::{SoftwareVersion, StreamId};
use serde::{Deserialize, Serialize};

/// A stream that its caller may take up again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveStream {
    /// The stream.
    pub stream: StreamId,
    /// Software version of the endpoint that began it.
    pub software: SoftwareVersion,
    /// Wall-clock time after which its caller no longer waits, in milliseconds since the Unix epoch.
    pub ends_unix_ms: u64,
}
