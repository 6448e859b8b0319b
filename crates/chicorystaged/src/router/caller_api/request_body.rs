use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chicorystage_api::inventory::CallerItem;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::router::serving::body_too_large;

/// Maximum time to wait for the next part of a body, in milliseconds.
const PART_TIMEOUT_MS: u64 = 10_000;

/// Reads a body, up to the caller's maximum size.
///
/// Buffers at most the maximum, plus the one part that exceeds it.
///
/// # Errors
///
/// Refuses a body that is too large, stalls or cannot be read.
pub(crate) async fn read(mut body: Incoming, caller: &CallerItem) -> Result<Bytes, Refusal> {
    let mut read = BytesMut::new();
    loop {
        let part = timeout(Duration::from_millis(PART_TIMEOUT_MS), body.frame()).await;
        let part = part.map_err(|_elapsed| bad_body("no further part came in time"))?;
        let Some(part) = part else {
            return Ok(read.freeze());
        };
        let part = part.map_err(|error| bad_body(&error.to_string()))?;
        let Ok(data) = part.into_data() else {
            continue;
        };
        if (read.len() + data.len()) as u64 > caller.body_bytes_max {
            return Err(body_too_large(caller));
        }
        read.extend_from_slice(&data);
    }
}

fn bad_body(detail: &str) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, format!("body: {detail}"))
}
