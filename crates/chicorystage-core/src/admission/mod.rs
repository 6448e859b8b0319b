//! Admission control and load shedding for requests that wait at a router.
//!
//! A router keeps a bounded number of requests whose answers have not begun, and a bounded number
//! of body bytes. Lower classes may use only a part of this capacity, so that they are shed
//! first. A tenant is the caller that sent a request. Once half of the capacity is in use, each
//! tenant is limited to its weighted share among the tenants that wait at that moment. Below that,
//! one tenant may use what no other tenant needs.
//!
//! A request whose estimated wait exceeds the time left until its deadline is refused at once,
//! because it would wait without any chance of an answer.

mod deadline_check;
mod shed;
mod wait_limits;
mod wait_queue;

pub use deadline_check::{DeadlineCheck, check_deadline};
pub use shed::Shed;
pub use wait_limits::{limited_wait_ms, max_wait_ms, retry_delay_ms, tolerated_silence_ms};
pub use wait_queue::WaitQueue;
