use std::collections::BTreeMap;
use std::fmt;

use chrono::{DateTime, SecondsFormat, Utc};
use serde::Deserialize;

/// One line of a gateway's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Name of the gateway that wrote the line: the last word before the JSON, or the file's name.
    pub source: String,
    /// Time at which the line was written.
    pub time: DateTime<Utc>,
    /// Kind of the event: the value of the attribute `event`.
    pub event: String,
    /// All other attributes of the line.
    pub fields: BTreeMap<String, String>,
}

#[derive(Debug, Deserialize)]
struct Document {
    time: DateTime<Utc>,
    attributes: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; returns `None` if it isn't the log line of a gateway.
    ///
    /// `file` becomes the source if nothing precedes the JSON.
    #[must_use]
    pub fn parse(file: &str, text: &str) -> Option<Self> {
        let begin = text.find('{')?;
        let (source, json) = text.split_at(begin);
        let mut document: Document = serde_json::from_str(json).ok()?;
        let event = document.attributes.remove("event")?;
        let source = source.split_whitespace().last().unwrap_or(file);
        Some(Self {
            source: source.to_owned(),
            time: document.time,
            event,
            fields: document.attributes,
        })
    }

    /// Returns a field's value, or an empty string if the field is absent.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns a field's value as a number, or 0 if it is absent or not a number.
    #[must_use]
    pub fn number(&self, name: &str) -> i64 {
        self.field(name).parse().unwrap_or(0)
    }

    /// Returns the line's time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn unix_ms(&self) -> i64 {
        self.time.timestamp_millis()
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = self.time.to_rfc3339_opts(SecondsFormat::Millis, true);
        write!(f, "{time} {} {}", self.source, self.event)?;
        for (name, value) in &self.fields {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}
