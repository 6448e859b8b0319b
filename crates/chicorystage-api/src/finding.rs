//! Problems in operator input, with file and line.
//!
//! A check does not stop at the first problem: it collects a [`Finding`] for
//! each, and the operator gets all of them in one report.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One problem in a settings or inventory file.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{file}:{line}: [{section}] {key}: given {given:?}, allowed: {allowed}")]
pub struct Finding {
    /// File as the operator named it.
    pub file: Arc<str>,
    /// Line counted from 1; 0 where the problem has no line, as for a missing key.
    pub line: u32,
    /// Section of the file; empty for the part before the first section.
    pub section: Arc<str>,
    /// Key within the section; empty if the section as a whole is at fault.
    pub key: Arc<str>,
    /// Text that was given; empty if there was none.
    pub given: Arc<str>,
    /// Description of the values allowed.
    pub allowed: Arc<str>,
}
