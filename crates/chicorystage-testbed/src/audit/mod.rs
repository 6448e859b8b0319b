//! What the stand-ins saw, read after a run and held against the promises.

mod endpoint_audit;
mod tcp_relay;

pub use endpoint_audit::EndpointAudit;
pub use tcp_relay::TcpRelay;
