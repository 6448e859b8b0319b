use serde::{Deserialize, Serialize};

use crate::name::{AdapterName, ModelName, TeamName};

/// A request that is described and not sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChoiceQuestion {
    /// Host that the request names.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Model that the request names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// Adapter of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Team whose request it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Length of the prompt, in tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
}
