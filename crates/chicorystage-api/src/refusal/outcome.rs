use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a refused request's effect may have happened.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was not executed anywhere, and never will be.
    #[display("not_run")]
    NotRun,
    /// The request was handed to an endpoint whose answer is unknown.
    #[display("may_have_run")]
    MayHaveRun,
}
