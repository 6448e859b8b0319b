use serde::{Deserialize, Serialize};

use crate::name::RequestId;

/// Identifies one attempt of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptRef {
    /// Request that the attempt belongs to.
    pub request_id: RequestId,
    /// Number of the attempt within the request, counted from 1.
    pub attempt: u32,
}
