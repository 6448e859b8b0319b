use chicorystage_api::refusal::Outcome;
use http::{HeaderMap, StatusCode};
use serde_json::Value;

/// Data of the event that ends a complete streamed answer.
const STREAM_END: &str = "[DONE]";

/// Response that a caller received, with its timing.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body; the part that was received where the connection was cut.
    pub body: String,
    /// Whether the connection ended before the body was complete.
    pub cut: bool,
    /// Time to the first byte of the body, in milliseconds; for an empty body the total time.
    pub first_byte_ms: u64,
    /// Time to the end of the response, in milliseconds.
    pub total_ms: u64,
}

impl CallerAnswer {
    /// Returns the body as JSON; null where it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the request ID that the router assigned; empty where the header is missing.
    #[must_use]
    pub fn request_id(&self) -> &str {
        let header = self.headers.get("x-request-id");
        header
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the refusal code, also where the refusal came in the middle of a
    /// stream; `None` where the request was not refused.
    #[must_use]
    pub fn code(&self) -> Option<String> {
        self.problem()?["code"].as_str().map(str::to_owned)
    }

    /// Returns whether the request may have taken effect, according to the
    /// refusal; `None` where the refusal does not state it or there is none.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        serde_json::from_value(self.problem()?["outcome"].clone()).ok()
    }

    /// Returns whether the answer is complete and not a refusal.
    #[must_use]
    pub fn is_served(&self) -> bool {
        let whole = !self.is_stream() || self.events().any(|event| event == STREAM_END);
        self.status.is_success() && !self.cut && whole && self.problem().is_none()
    }

    /// Returns the generated text of a completion, streamed or not; empty where there is none.
    #[must_use]
    pub fn text(&self) -> String {
        if !self.is_stream() {
            let text = &self.json()["choices"][0]["text"];
            return text.as_str().unwrap_or_default().to_owned();
        }
        let events = self
            .events()
            .filter_map(|event| serde_json::from_str::<Value>(event).ok());
        let texts =
            events.filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned));
        texts.collect()
    }

    /// Returns how long the request waited for a model load, in milliseconds.
    ///
    /// 0 means that the model was already loaded; `None` that the answer does not state it.
    #[must_use]
    pub fn cold_start_ms(&self) -> Option<u64> {
        if !self.is_stream() {
            return self.json()["cold_start_ms"].as_u64();
        }
        let events = self
            .events()
            .filter_map(|event| serde_json::from_str::<Value>(event).ok());
        events
            .filter_map(|event| event["cold_start_ms"].as_u64())
            .last()
    }

    fn is_stream(&self) -> bool {
        let content_type = self.headers.get(http::header::CONTENT_TYPE);
        content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
    }

    fn events(&self) -> impl Iterator<Item = &str> {
        let lines = self.body.lines();
        lines.filter_map(|line| line.strip_prefix("data: "))
    }

    fn problem(&self) -> Option<Value> {
        if !self.status.is_success() {
            return Some(self.json());
        }
        let (_, rest) = self.body.split_once("event: error\n")?;
        let data = rest.lines().next()?.strip_prefix("data: ")?;
        serde_json::from_str(data).ok()
    }
}
