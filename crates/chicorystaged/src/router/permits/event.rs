use chicorystage_api::peer::{PermitAnswer, PermitRequest};
use tokio::sync::oneshot;

/// One event of the weight-fetch permits (limits on concurrent model downloads).
#[derive(Debug)]
pub enum PermitEvent {
    /// An agent requests a permit.
    Acquire {
        /// What the agent is about to fetch.
        request: PermitRequest,
        /// Receives the answer.
        reply: oneshot::Sender<PermitAnswer>,
    },
    /// An agent returns a permit.
    Release {
        /// Id of the permit, as given in the grant.
        permit_id: u64,
    },
}
