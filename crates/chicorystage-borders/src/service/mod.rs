//! A plain service beside an agent.

mod service_reply;

pub use service_reply::ServiceReply;

use chicorystage_api::work::ServiceCall;

use crate::{BorderError, BoxFuture};

/// A plain service.
pub trait Service: Send + Sync {
    /// Passes a call on and returns the whole answer.
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceReply, BorderError>>;

    /// Reads whether the service answers at all.
    fn probe(&self) -> BoxFuture<'_, Result<(), BorderError>>;
}
