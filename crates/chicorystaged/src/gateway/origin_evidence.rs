//! Why a gateway lets a stream that is taken up again go on, or not.

use derive_more::Display;

/// What decided where a stream that a caller takes up again may go on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OriginEvidence {
    /// A gateway or a stored row knows the stream.
    #[display("stream is known")]
    Stream,
    /// The versions that served lately, read from the store after the request arrived.
    #[display("versions in the store")]
    Versions,
    /// No gateway knows the stream, and the store has returned from an older copy so lately that it may lack
    /// versions.
    #[display("store has returned lately")]
    StoreRestored,
    /// No gateway knows the stream and the store cannot be read.
    #[display("store cannot be read")]
    StoreAway,
}
