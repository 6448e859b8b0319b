//! The system as processes that are killed, stopped and cut off.

mod bed;
mod kills;
mod pauses;
mod platform_faults;
mod stops;
