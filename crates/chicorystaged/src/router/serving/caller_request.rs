use chicorystage_api::name::RequestId;

use crate::router::serving::{CallerHead, CallerWork};

/// A caller's request after its HTTP form was parsed.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Unique id of the request, used in traces and log lines.
    pub request_id: RequestId,
    /// Credentials, deadline, class and idempotency key.
    pub head: CallerHead,
    /// Size of the body as received, in bytes.
    pub body_bytes: u64,
    /// Work that the caller requests.
    pub work: CallerWork,
}

impl CallerRequest {
    /// Creates a request with a new random id.
    #[must_use]
    pub fn new(head: CallerHead, body_bytes: u64, work: CallerWork) -> Self {
        Self {
            request_id: Self::new_id(),
            head,
            body_bytes,
            work,
        }
    }

    /// Returns a random request id of 128 bits.
    #[must_use]
    pub fn new_id() -> RequestId {
        RequestId::from(format!("req-{:032x}", rand::random::<u128>()))
    }
}
