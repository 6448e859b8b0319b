use chicorystage_api::peer::{PermitAnswer, PermitRequest};
use tokio::sync::oneshot;

/// One event of the weight-fetch permits.
#[derive(Debug)]
pub enum PermitEvent {
    /// An agent asks for a permit.
    Acquire {
        /// What it wants to fetch.
        request: PermitRequest,
        /// Receives the answer.
        reply: oneshot::Sender<PermitAnswer>,
    },
    /// An agent returns a permit.
    Release {
        /// Identity of the permit.
        permit_id: u64,
    },
}
