/// Media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Returns whether the value of a `Content-Type` header is the media type of event streams.
///
/// Parameters, such as a charset, and letter case don't matter.
#[must_use]
pub fn is_event_stream_type(content_type: &[u8]) -> bool {
    let essence = content_type.split(|&byte| byte == b';').next();
    essence.is_some_and(|essence| essence.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
}
