//! Stand-ins that speak the pages of the users' platform, on loopback.
//!
//! They serve tests of the gateway, the demo and the load tool alike:
//! [`StoreStandIn`] is the store with its registry, [`EndpointStandIn`] an
//! endpoint with or without a model engine, and [`PlatformWorld`] puts them
//! around gateways that run in the same process. Faults are set by hand, so
//! that each test says which one it means.

mod caller;
mod endpoint_engine;
mod endpoint_stand_in;
mod local_http;
mod platform_world;
mod reply;
mod seen_request;
mod store_mode;
mod store_stand_in;

pub use caller::{CallerReply, call, call_on};
pub use endpoint_engine::EndpointEngine;
pub use endpoint_stand_in::EndpointStandIn;
pub use platform_world::{PlatformWorld, ask, run_local, until, usual_routes};
pub use reply::Reply;
pub use seen_request::SeenRequest;
pub use store_mode::StoreMode;
pub use store_stand_in::StoreStandIn;
