use derive_more::Display;

/// Whether an endpoint takes new requests.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    #[display("ready")]
    Ready,
    /// It finishes what it has and exits.
    #[display("leaving")]
    Leaving,
}
