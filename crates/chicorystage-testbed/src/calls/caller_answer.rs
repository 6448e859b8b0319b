use chicorystage_api::refusal::Outcome;
use http::{HeaderMap, StatusCode};
use serde_json::Value;

/// Line that ends a streamed answer.
const DONE: &str = "[DONE]";

/// What a caller got.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: String,
    /// Whether the connection ended before the body was whole.
    pub cut: bool,
    /// Time to the first byte of the body, in milliseconds.
    pub first_byte_ms: u64,
    /// Time to the last byte, in milliseconds.
    pub total_ms: u64,
}

impl CallerAnswer {
    /// Returns the body as JSON; null where it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the identity of the request.
    #[must_use]
    pub fn request_id(&self) -> &str {
        let header = self.headers.get("x-request-id");
        header
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the refusal's code, also of a refusal in the middle of a stream.
    #[must_use]
    pub fn code(&self) -> Option<String> {
        self.problem()?["code"].as_str().map(str::to_owned)
    }

    /// Returns what the refusal says of the request's effect.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        serde_json::from_value(self.problem()?["outcome"].clone()).ok()
    }

    /// Returns whether the answer is whole and no refusal.
    #[must_use]
    pub fn is_served(&self) -> bool {
        let whole = !self.is_stream() || self.events().any(|event| event == DONE);
        self.status.is_success() && !self.cut && whole && self.problem().is_none()
    }

    /// Returns the completion's text.
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

    /// Returns how long the request waited for a load, in milliseconds.
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
