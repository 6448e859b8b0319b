//! Decides when an agent may send orders to its engine, and under which fencing token.
//!
//! An order is a command to the engine to load or unload a model or an adapter.
//! When an agent starts, orders of an earlier agent process may still be in
//! flight. The new agent sends no order until none of them can take effect and
//! it has read the state that they left:
//!
//! * If the engine enforces fencing tokens, the agent first sends the new token
//!   in an order that changes nothing. Once the engine's status shows the
//!   token, the engine refuses older orders.
//! * If the engine ignores the token or does not show it, the agent waits until
//!   no earlier order can be in flight.
//!
//! The fence opens at the first status that was requested after that point. An
//! engine that restarts forgets the highest token, so the fence closes again.

mod gate;
mod status;
mod step;

pub use gate::Fence;
pub use status::FenceStatus;
pub use step::FenceStep;
