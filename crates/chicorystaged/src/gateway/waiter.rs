//! Requests that wait for an endpoint.

use chicorystage_core::fleet::Want;
use tokio::sync::oneshot;

use crate::gateway::reservation::Reservation;

/// A request that waits for an endpoint.
#[derive(Debug)]
pub struct Waiter {
    /// What it needs.
    pub want: Want,
    /// Rank; lower goes first.
    pub rank: u8,
    /// Order of arrival.
    pub number: u64,
    /// Time until which it waits, in milliseconds.
    pub until_ms: u64,
    /// Takes the reservation.
    pub grant: oneshot::Sender<Reservation>,
}
