//! What a gateway calls a complete answer, in which framing an endpoint may send it.

mod broken_streams;
mod crashes;
mod failures;
mod http_1_0;
#[path = "../raw_world/mod.rs"]
mod raw_world;
mod resumed_streams;
mod whole_answers;
