//! Reads the body of an answer whole if it is short.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// What was read of a body.
pub(super) enum ShortBody {
    /// The whole body.
    Whole(Bytes),
    /// The beginning of a body that is longer than the limit.
    Beginning(Bytes),
}

/// Reads a body to its end, or until more than `bytes_max` bytes have arrived.
///
/// # Errors
///
/// Fails if the connection breaks before the end of the body.
pub(super) async fn read_short(
    body: &mut Incoming,
    bytes_max: usize,
) -> Result<ShortBody, hyper::Error> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(bytes) = frame?.into_data() {
            read.extend_from_slice(&bytes);
        }
        if read.len() > bytes_max {
            return Ok(ShortBody::Beginning(read.freeze()));
        }
    }
    Ok(ShortBody::Whole(read.freeze()))
}
