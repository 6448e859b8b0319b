//! When an agent may give its engine orders, and under which fencing number.
//!
//! An agent that starts does not know which orders of an earlier agent are
//! still on their way. It gives no order of its own before none of them can
//! take effect any more, and before it has read what they left behind:
//!
//! * An engine that enforces fencing numbers is first told the new number by
//!   an order that changes nothing; once its status shows the number, older
//!   orders are refused.
//! * With an engine that ignores the number, and with one that does not show
//!   it, the agent waits until no earlier order can be in flight.
//!
//! A status that was asked for after that point opens the gate. A restart of
//! the engine forgets the highest number, so it closes the gate again.

mod gate;
mod step;
mod view;

pub use gate::Fence;
pub use step::FenceStep;
pub use view::FenceView;
