use std::fmt;
use std::sync::Arc;

use serde::de::{Error as _, IgnoredAny, MapAccess, Visitor};
use serde::ser::SerializeMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::refusal::Refusal;
use crate::work::{EndSummary, EndpointLoad, Payload};

/// One line of the answer to an attempt.
///
/// A frame is encoded and decoded once per token, so its serde code is written
/// by hand: a flat object with one-letter keys, decoded without buffering.
/// Unknown keys are ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Attempt that the frame belongs to.
    pub attempt: u32,
    /// Number of this content frame, counted from 0; on a heartbeat, that of the next one.
    pub offset: u64,
    /// Load of the endpoint; `None` on frames that don't report it.
    pub load: Option<EndpointLoad>,
    /// Content of the frame.
    pub payload: Payload,
}

impl Serialize for Frame {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry("a", &self.attempt)?;
        map.serialize_entry("o", &self.offset)?;
        if let Some(load) = &self.load {
            map.serialize_entry("l", load)?;
        }
        match &self.payload {
            Payload::Heartbeat => {}
            Payload::Token(text) => map.serialize_entry("t", text)?,
            Payload::Head {
                status,
                content_type,
            } => {
                map.serialize_entry("s", status)?;
                map.serialize_entry("c", content_type)?;
            }
            Payload::Body(text) => map.serialize_entry("b", text)?,
            Payload::End(summary) => map.serialize_entry("e", summary)?,
            Payload::Refused(refusal) => map.serialize_entry("r", refusal)?,
        }
        map.end()
    }
}

impl<'de> Deserialize<'de> for Frame {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FrameVisitor)
    }
}

struct FrameVisitor;

impl<'de> Visitor<'de> for FrameVisitor {
    type Value = Frame;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a frame object")
    }

    fn visit_map<M: MapAccess<'de>>(self, mut map: M) -> Result<Frame, M::Error> {
        let mut attempt = None;
        let mut offset = None;
        let mut load = None;
        let mut payload = None;
        let mut status: Option<u16> = None;
        let mut content_type: Option<Arc<str>> = None;
        while let Some(key) = map.next_key::<&str>()? {
            match key {
                "a" => attempt = Some(map.next_value()?),
                "o" => offset = Some(map.next_value()?),
                "l" => load = Some(map.next_value::<EndpointLoad>()?),
                "t" => payload = Some(Payload::Token(map.next_value()?)),
                "s" => status = Some(map.next_value()?),
                "c" => content_type = Some(map.next_value()?),
                "b" => payload = Some(Payload::Body(map.next_value()?)),
                "e" => payload = Some(Payload::End(map.next_value::<EndSummary>()?)),
                "r" => payload = Some(Payload::Refused(map.next_value::<Refusal>()?)),
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        let payload = match (payload, status) {
            (Some(payload), _) => payload,
            (None, Some(status)) => Payload::Head {
                status,
                content_type: content_type.unwrap_or_default(),
            },
            (None, None) => Payload::Heartbeat,
        };
        Ok(Frame {
            attempt: attempt.ok_or_else(|| M::Error::missing_field("a"))?,
            offset: offset.ok_or_else(|| M::Error::missing_field("o"))?,
            load,
            payload,
        })
    }
}
