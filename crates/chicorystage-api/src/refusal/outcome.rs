use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a refused request may have taken effect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was not executed anywhere and never will be; a retry is safe.
    #[display("not_run")]
    NotRun,
    /// The request was sent to an endpoint, and its outcome is unknown.
    #[display("may_have_run")]
    MayHaveRun,
}
