//! Entry of the wait queue.

use chicorystage_core::fleet::Requirements;
use chicorystage_core::teams::Rank;
use tokio::sync::oneshot;

use crate::gateway::reservation::Reservation;

/// A request that waits for an endpoint.
#[derive(Debug)]
pub struct Waiter {
    /// What the request needs of an endpoint.
    pub requirements: Requirements,
    /// Priority of team and route; lower is served first.
    pub rank: Rank,
    /// Arrival number; among equal ranks the lower is served first.
    pub number: u64,
    /// End of the wait on the gateway's clock, in milliseconds.
    pub until_ms: u64,
    /// Channel for the reservation; dropping it ends the wait without one.
    pub grant: oneshot::Sender<Reservation>,
}
