//! The system as real processes that are killed, suspended, terminated or cut off.

mod bed;
mod kills;
mod pauses;
mod platform_faults;
mod stops;
