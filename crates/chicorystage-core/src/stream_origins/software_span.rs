use chicorystage_api::name::SoftwareVersion;
use serde::{Deserialize, Serialize};

/// Time in which a software version of a service was registered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareSpan {
    /// The version.
    pub version: SoftwareVersion,
    /// Wall-clock time at which its last endpoint was gone, in milliseconds since the Unix epoch;
    /// `None` while there is one.
    pub gone_unix_ms: Option<u64>,
}
