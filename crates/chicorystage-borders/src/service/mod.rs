//! A plain HTTP service that runs beside an agent.

mod service_reply;

pub use service_reply::ServiceReply;

use chicorystage_api::work::ServiceCall;

use crate::{BorderError, BoxFuture};

/// Client interface of a plain service.
pub trait Service: Send + Sync {
    /// Forwards a call to the service and returns its whole response.
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceReply, BorderError>>;

    /// Succeeds if the service sends any response, whatever its status.
    fn probe(&self) -> BoxFuture<'_, Result<(), BorderError>>;
}
