//! Registry view of all endpoints and selection of one for each request.
//!
//! A router must know which endpoints exist, which models are loaded on them, how busy they are
//! and whether they are healthy. In this module the routers are the gateways, and "this process" is
//! the gateway that keeps the view. Each of these facts has its own source:
//!
//! * Endpoints register themselves and report their loaded models, with a lag. The lease holder,
//!   the router that sends load and unload orders to engines, learns the effect of its orders
//!   earlier and reports it to the other routers. Its report takes precedence over the registry
//!   while it is recent.
//! * Requests in progress are counted here for this process; the other routers report theirs.
//! * Prompts are paced: an endpoint that recently received prompts is skipped for a moment, as
//!   long as the request can be deferred (see [`PromptPace`]).
//! * Health is derived from the answers to requests. Failures and missing answers raise the cost
//!   of an endpoint. The failure rate decays with time and with successful answers. An
//!   endpoint that answers any request no longer counts as silent.

mod assessment;
mod candidate;
mod choice;
mod choice_report;
mod endpoint;
mod endpoint_entry;
mod endpoint_models;
mod endpoint_report;
mod endpoint_state;
mod entry_change;
mod fleet_view;
mod limited;
mod load_exchange;
mod loaded_model;
mod loading_model;
mod misdirection;
mod peer_load;
mod prompt;
mod prompt_pace;
mod rejection;
mod requirements;
mod room_share;
mod software;
mod stale_load;
mod standing;
mod turnover;
mod uncached_model;

pub use choice::Choice;
pub use choice_report::ChoiceReport;
pub use endpoint::Endpoint;
pub use endpoint_entry::EndpointEntry;
pub use endpoint_report::EndpointReport;
pub use endpoint_state::EndpointState;
pub use entry_change::EntryChange;
pub use fleet_view::FleetView;
pub use load_exchange::{
    holder_silence_ms, load_age_ms, load_period_ms, load_valid_ms, waiting_valid_ms,
};
pub use loaded_model::LoadedModel;
pub use loading_model::LoadingModel;
pub use peer_load::PeerLoad;
pub use prompt::Prompt;
pub use prompt_pace::PromptPace;
pub use rejection::Rejection;
pub use requirements::Requirements;
pub use room_share::{RoomReport, WaitingRequests};
pub use stale_load::StaleLoad;
pub use standing::Standing;
pub use uncached_model::UncachedModel;
