use derive_more::Display;

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    #[display("ready")]
    Ready,
    /// It drains: it finishes its requests in progress and then exits.
    #[display("leaving")]
    Leaving,
}
