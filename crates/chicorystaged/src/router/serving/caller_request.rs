use chicorystage_api::name::RequestId;

use crate::router::serving::{CallerHead, CallerWork};

/// A parsed request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identity of the request.
    pub request_id: RequestId,
    /// What the caller says beside the work.
    pub head: CallerHead,
    /// Size of the body as received, in bytes.
    pub body_bytes: u64,
    /// What to run.
    pub work: CallerWork,
}

impl CallerRequest {
    /// Creates a request with an identity of its own.
    #[must_use]
    pub fn new(head: CallerHead, body_bytes: u64, work: CallerWork) -> Self {
        Self {
            request_id: Self::new_id(),
            head,
            body_bytes,
            work,
        }
    }

    /// Returns an identity that no other request has.
    #[must_use]
    pub fn new_id() -> RequestId {
        RequestId::from(format!("req-{:032x}", rand::random::<u128>()))
    }
}
