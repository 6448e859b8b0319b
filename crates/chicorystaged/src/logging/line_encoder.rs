use chrono::{SecondsFormat, Utc};
use log::Record;
use log::kv::{Key, Source, Value, VisitSource};
use log4rs::encode::{Encode, Write};
use serde::ser::{Error as _, Serialize, SerializeMap, Serializer};

/// Attributes that come first in a line, in this order, so that a line that a collector cuts short
/// still tells what happened to which request and why.
const FIRST_ATTRIBUTES: [&str; 4] = ["event", "request", "reason", "lacking"];

/// Encodes a log record as a line of JSON that begins with what identifies it.
///
/// Time, level and attributes come first, then the message and the place in the source. Values of
/// attributes are texts.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineEncoder;

impl Encode for LineEncoder {
    fn encode(&self, w: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let document = Document {
            time: Utc::now().to_rfc3339_opts(SecondsFormat::Micros, true),
            level: record.level().as_str(),
            attributes: Attributes(record.key_values()),
            message: record.args().to_string(),
            module_path: record.module_path(),
            source_line: record.line(),
        };
        document.serialize(&mut serde_json::Serializer::new(&mut *w))?;
        w.write_all(b"\n")?;
        Ok(())
    }
}

#[derive(serde::Serialize)]
struct Document<'a> {
    time: String,
    level: &'static str,
    attributes: Attributes<'a>,
    message: String,
    module_path: Option<&'a str>,
    #[serde(rename = "line")]
    source_line: Option<u32>,
}

struct Attributes<'a>(&'a dyn Source);

impl Serialize for Attributes<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        for name in FIRST_ATTRIBUTES {
            if let Some(value) = self.0.get(Key::from_str(name)) {
                map.serialize_entry(name, &value.to_string())?;
            }
        }
        let mut others = OtherAttributes(map);
        self.0.visit(&mut others).map_err(S::Error::custom)?;
        others.0.end()
    }
}

/// Serializes the attributes that are not among [`FIRST_ATTRIBUTES`].
struct OtherAttributes<M>(M);

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for OtherAttributes<M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        if FIRST_ATTRIBUTES.contains(&key.as_str()) {
            return Ok(());
        }
        let entry = self.0.serialize_entry(key.as_str(), &value.to_string());
        entry.map_err(|error| log::kv::Error::boxed(error.to_string()))
    }
}
