use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::refusal::{Outcome, RefusalCode};

/// The final answer to a request that got no result.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{code} ({outcome}): {detail}")]
pub struct Refusal {
    /// Stable machine-readable reason.
    pub code: RefusalCode,
    /// Whether the request may have taken effect.
    pub outcome: Outcome,
    /// Explanation for people to read; contains no secrets.
    pub detail: Arc<str>,
    /// Delay after which to retry, in milliseconds; `None` if no delay is advised.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that was not executed.
    #[must_use]
    pub fn not_run(code: RefusalCode, detail: impl Into<Arc<str>>) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a refusal of a request that may have been executed.
    #[must_use]
    pub fn may_have_run(code: RefusalCode, detail: impl Into<Arc<str>>) -> Self {
        Self {
            outcome: Outcome::MayHaveRun,
            ..Self::not_run(code, detail)
        }
    }

    /// Sets the delay after which to retry, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(mut self, delay_ms: u64) -> Self {
        self.retry_after_ms = Some(delay_ms);
        self
    }
}
