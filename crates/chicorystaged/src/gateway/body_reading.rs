//! Reads the body of a caller's request into memory that is reserved for it.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::gateway::body_budget::{BodyBudget, BodyShare};

/// Capacity of the buffer for a body whose length is not stated, in bytes.
const UNSTATED_CAPACITY: usize = 4 << 10;

/// The body of a request, with its share of the memory for bodies.
#[derive(Debug)]
pub struct ReadBody {
    /// The whole body.
    pub bytes: Bytes,
    /// Memory that the body takes.
    pub share: BodyShare,
}

/// Why a body was not read.
#[derive(Debug)]
pub enum UnreadBody {
    /// There is no memory for it now; the rest of it has not been read.
    NoMemory(Incoming),
    /// It is longer than the configuration allows.
    TooLarge,
    /// It ended before its end.
    BrokenOff,
}

/// Reads the whole body, which may have up to `bytes_max`.
///
/// # Errors
///
/// Returns why the body was not read, and the rest of it if there is no memory for it.
pub async fn read_body(
    mut body: Incoming,
    bytes_max: usize,
    budget: &Rc<BodyBudget>,
) -> Result<ReadBody, UnreadBody> {
    let stated = body.size_hint().upper();
    let stated = stated.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if stated.is_some_and(|bytes| bytes > bytes_max) {
        return Err(UnreadBody::TooLarge);
    }
    let mut share = budget.share();
    if !share.resize(stated.unwrap_or(0)) {
        return Err(UnreadBody::NoMemory(body));
    }
    let mut bytes = BytesMut::with_capacity(stated.unwrap_or(UNSTATED_CAPACITY));
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(UnreadBody::BrokenOff);
        };
        let data = frame.into_data().unwrap_or_default();
        let len = bytes.len() + data.len();
        if len > bytes_max {
            return Err(UnreadBody::TooLarge);
        }
        // The buffer of a body in chunks doubles when it is full.
        if len > bytes.capacity() && !share.resize(2 * len) {
            return Err(UnreadBody::NoMemory(body));
        }
        // Copied at once, so that the connection's buffer is free for the next part.
        bytes.extend_from_slice(&data);
    }
    let bytes = bytes.freeze();
    Ok(ReadBody { bytes, share })
}

/// Reads a body and drops it for up to `time_ms`, so that its caller gets an answer that came before
/// the body's end: a connection that closes with unread bytes is reset.
pub fn discard(mut body: Incoming, time_ms: u64) {
    tokio::task::spawn_local(async move {
        let read = async { while let Some(Ok(_part)) = body.frame().await {} };
        let limit = Duration::from_millis(time_ms);
        // What has not come by then is not waited for.
        let _ended = tokio::time::timeout(limit, read).await;
    });
}
