use derive_more::Display;
use displaydoc::Display as DocDisplay;
use serde::{Deserialize, Serialize};

use crate::name::{AdapterName, ModelName, VersionName};

/// A caller's reference to a model: `model`, `model@version`, `model:adapter` or
/// `model@version:adapter`.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display(
    "{model}{}{}",
    version.as_ref().map(|name| format!("@{name}")).unwrap_or_default(),
    adapter.as_ref().map(|name| format!(":{name}")).unwrap_or_default()
)]
pub struct ModelRef {
    /// Base model.
    pub model: ModelName,
    /// Version; `None` for the model's default version.
    pub version: Option<VersionName>,
    /// Adapter; `None` for the base model.
    pub adapter: Option<AdapterName>,
}

/// "{given}" is no model reference; allowed: model, model@version, model:adapter or model@version:adapter
#[derive(Clone, Debug, DocDisplay, PartialEq, Eq)]
pub struct ModelRefError {
    given: String,
}

impl std::error::Error for ModelRefError {}

impl ModelRef {
    /// Parses a model reference as sent by a caller.
    ///
    /// # Errors
    ///
    /// Returns an error if a part is empty, contains whitespace or `/`, or if a
    /// separator is repeated or out of order.
    pub fn parse(text: &str) -> Result<Self, ModelRefError> {
        let error = || ModelRefError {
            given: text.to_owned(),
        };
        let (base, adapter) = match text.split_once(':') {
            Some((base, adapter)) => (base, Some(adapter)),
            None => (text, None),
        };
        let (model, version) = match base.split_once('@') {
            Some((model, version)) => (model, Some(version)),
            None => (base, None),
        };
        let parts = [Some(model), version, adapter];
        let malformed = parts.into_iter().flatten().any(|part| {
            part.is_empty() || part.contains(['@', ':', '/']) || part.contains(char::is_whitespace)
        });
        if malformed {
            return Err(error());
        }
        Ok(Self {
            model: model.into(),
            version: version.map(Into::into),
            adapter: adapter.map(Into::into),
        })
    }
}
