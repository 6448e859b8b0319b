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
mod endpoint_emulator;
mod endpoint_engine;
mod local_http;
mod platform_fixture;
mod reply;
mod seen_request;
mod store_emulator;
mod store_mode;

pub use caller::{CallerReply, call, call_on};
pub use endpoint_emulator::EndpointStandIn;
pub use endpoint_engine::EndpointEngine;
pub use platform_fixture::{PlatformWorld, ask, run_local, until, usual_routes};
pub use reply::Reply;
pub use seen_request::SeenRequest;
pub use store_emulator::StoreStandIn;
pub use store_mode::StoreMode;
