//! Decides when an endpoint that is missing from the registry counts as gone.
//!
//! Endpoints renew their registry entries by heartbeat, and an entry without heartbeats expires.
//! So an entry goes missing for one of two reasons:
//!
//! * The endpoint has left or is dead. It must get no further request.
//! * The store was unavailable for so long that a live endpoint could not renew its entry. It
//!   registers again soon after the store has returned.
//!
//! Only an outage that was observed on the endpoints' table itself, and that was long enough for
//! entries to expire, is evidence for the second reason. A call that fails alone is not: its
//! connection may have been reset or have fallen silent while the store served others.
//!
//! A store that returns from an older copy is a third reason: the entry was written after the copy
//! was taken, and will be written again. Such a copy may also bring back an endpoint that has left
//! since, which [`Departures`] prevents. A process that starts after the return has not seen it, so
//! [`shows_live_endpoints`] tells from the age of the store's era what a read is worth.

mod absence;
mod absence_tracker;
mod contact;
mod departures;

pub use absence::Absence;
pub use absence_tracker::{
    AbsenceTracker, expiry_ms, outage_min_ms, reregistration_left_ms, shows_live_endpoints,
};
pub use contact::Contact;
pub use departures::Departures;
