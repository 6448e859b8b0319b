//! The endpoints as one router knows them, and which of them takes a request.
//!
//! Endpoints register themselves and repeat what they hold with a lag. The
//! router that gives orders knows earlier what its orders brought about and
//! tells the others, so its word on an endpoint's models goes first while it is
//! recent. Requests in progress are counted here for this router's own
//! and learned from the other routers for theirs.
//!
//! Prompts are spaced: an engine that has just been given some is passed over for a moment,
//! as long as the request can bear it (see [`PromptPace`]).
//!
//! Belief about an endpoint's health comes from the answers to requests:
//! failures and silence raise the cost of a choice and fade with time and with
//! answers.

mod choice;
mod coming_model;
mod endpoint;
mod endpoint_entry;
mod endpoint_state;
mod entry_change;
mod fleet_view;
mod held_model;
mod peer_load;
mod prompt;
mod prompt_pace;
mod want;

pub use choice::Choice;
pub use coming_model::ComingModel;
pub use endpoint::Endpoint;
pub use endpoint_entry::EndpointEntry;
pub use endpoint_state::EndpointState;
pub use entry_change::EntryChange;
pub use fleet_view::FleetView;
pub use held_model::HeldModel;
pub use peer_load::PeerLoad;
pub use prompt::Prompt;
pub use prompt_pace::PromptPace;
pub use want::Want;
