//! Whether a request that its endpoint keeps waiting could be sent to another one.

use chicorystage_api::name::EndpointId;
use chicorystage_core::fleet::{Choice, Requirements};
use derive_more::Display;

use crate::gateway::shared::Gateway;

/// When a request could be sent to another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Elsewhere {
    /// At once.
    Now,
    /// When one of the others has room; its own endpoint answers nobody.
    WhenFree,
}

/// What is lacking to send a request to another endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Lacking {
    /// The retry budget of the service has nothing left.
    #[display("retry budget")]
    RetryBudget,
    /// No other endpoint can take the request now.
    #[display("other endpoint")]
    Endpoint,
}

impl Gateway {
    /// Checks whether a request could be sent to another endpoint than `endpoint`; nothing is taken or
    /// reserved for it.
    ///
    /// # Errors
    ///
    /// Returns what is lacking. Then an endpoint that is only slow is the best there is.
    pub(super) fn could_send_elsewhere(
        &self,
        requirements: &Requirements,
        endpoint: &EndpointId,
    ) -> Result<Elsewhere, Lacking> {
        let now_ms = self.now_ms();
        if !self.has_retry(now_ms, &requirements.service) {
            return Err(Lacking::RetryBudget);
        }
        let mut requirements = requirements.clone();
        requirements.avoid.push(endpoint.clone());
        let zone = &self.settings.zone;
        let (choice, is_silent) = self.with(|view| {
            let choice = view.fleet.choose(now_ms, zone, &requirements);
            let own = view.fleet.get(endpoint);
            (choice, own.is_none_or(|own| own.is_silent(now_ms)))
        });
        match choice {
            Choice::Endpoint(other) if other != *endpoint => Ok(Elsewhere::Now),
            Choice::Full | Choice::Limited | Choice::Reading if is_silent => {
                Ok(Elsewhere::WhenFree)
            }
            _ => Err(Lacking::Endpoint),
        }
    }
}
