//! Observations from outside the daemons, with which tests check the system's guarantees.
//!
//! [`EndpointAudit`] collects what the emulators of engines and services
//! executed; [`TcpRelay`] makes open connections hang.

mod endpoint_audit;
mod tcp_relay;

pub use endpoint_audit::EndpointAudit;
pub use tcp_relay::TcpRelay;
