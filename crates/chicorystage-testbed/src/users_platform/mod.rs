//! HTTP emulators of the users' platform on loopback, with injectable faults.
//!
//! The gateway needs the platform's store and its endpoints. Gateway tests, the
//! demo and the load tool replace both by small servers that implement the
//! platform's documented protocol: [`StoreStandIn`] emulates the store,
//! including the endpoint registry, and [`EndpointStandIn`] an endpoint with or
//! without a model engine. [`PlatformWorld`] starts gateways in the same process
//! and connects them to the store emulator. No fault occurs at random: each
//! test sets the ones it needs.

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
