//! Which requests may wait: bounds, priority by class, shares of tenants.
//!
//! A router holds a bounded number of requests that wait for an answer to
//! begin, and a bounded number of body bytes. Lower classes may fill only a
//! part of the room, so that they are shed first. Above half of the room, a
//! tenant is held to its weighted share of it among the tenants that wait now;
//! below, one tenant may use what nobody else needs.
//!
//! A request whose estimated wait is longer than the time it has left is
//! refused at once instead of waiting in vain.

mod patience;
mod reach;
mod shed;
mod waiting_room;

pub use patience::{come_back_ms, patience_ms, silence_borne_ms};
pub use reach::{Reach, reach};
pub use shed::Shed;
pub use waiting_room::WaitingRoom;
