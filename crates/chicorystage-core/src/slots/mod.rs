//! The slots that one VM holds, as its agent knows them.
//!
//! The agent follows, for each model, the newest placement row that it has
//! seen. A row at or below the version that it follows, or at or below the
//! table's version when it read its slots, is out of date and changes nothing;
//! so a delayed message never brings a slot back that was given up.

mod followed;
mod standing;

pub use followed::Slots;
pub use standing::Standing;
