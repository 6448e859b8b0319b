use serde::{Deserialize, Serialize};

use crate::name::RequestId;

/// Names one attempt of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptRef {
    /// Request that the attempt belongs to.
    pub request_id: RequestId,
    /// Number of the attempt, counted from 1.
    pub attempt: u32,
}
