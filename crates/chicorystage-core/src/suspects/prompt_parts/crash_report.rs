use chicorystage_api::name::{EndpointId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::suspects::prompt_parts::PartAtCrash;

/// Prompt parts that may have caused an endpoint's crash, as one process saw it.
///
/// Times are relative, since the clocks of two processes differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
    /// Service of the endpoint.
    pub service: ServiceName,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Parts that the process does not know to be sound.
    pub parts: Vec<PartAtCrash>,
}
