//! The inventory in force and what it allows.

mod state;

pub use state::InventoryState;
