//! Attribution of late answers to their causes.
//!
//! A request passes through several stages before the first event of its answer: it may wait at
//! the router for a model or an adapter to be loaded, for a place at an endpoint that is full or
//! until endpoints have processed earlier prompts, and the endpoint then takes its own time.
//! [`AnswerTimes`] collects the time of each stage. [`AnswerTimes::late_cause`] names the stage
//! that took the most of an answer that missed the route's latency objective.

mod answer_times;
mod late_cause;
mod wait_reason;
mod wait_times;

pub use answer_times::AnswerTimes;
pub use late_cause::LateCause;
pub use wait_reason::WaitReason;
pub use wait_times::WaitTimes;
