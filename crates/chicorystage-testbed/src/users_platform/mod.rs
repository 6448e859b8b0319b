//! HTTP emulators of the users' platform on loopback, with injectable faults.
//!
//! The gateway needs the platform's store and its endpoints. Gateway tests, the
//! demo and the load tool replace both by small servers that implement the
//! platform's documented protocol: [`StoreEmulator`] emulates the store,
//! including the endpoint registry, and [`EndpointEmulator`] an endpoint with or
//! without a model engine; [`RawEndpoint`] sends bytes that no HTTP library would.
//! [`PlatformFixture`] starts gateways in the same process and connects them to the
//! store emulator. No fault occurs at random: each test sets the ones it needs.

mod caller;
mod endpoint_emulator;
mod endpoint_engine;
mod feed_faults;
mod local_http;
mod platform_fixture;
mod raw_endpoint;
mod raw_reply;
mod received_request;
mod registry_entry;
mod reply;
mod store_emulator;
mod store_mode;

pub use caller::{CallerReply, call, call_on};
pub use endpoint_emulator::EndpointEmulator;
pub use endpoint_engine::EndpointEngine;
pub use platform_fixture::{PlatformFixture, default_routes, run_local, send_request, wait_until};
pub use raw_endpoint::{BeforeCrash, RawEndpoint};
pub use raw_reply::{ConnectionEnd, RawReply};
pub use received_request::ReceivedRequest;
pub use reply::Reply;
pub use store_emulator::{StoreCopy, StoreEmulator};
pub use store_mode::StoreMode;
