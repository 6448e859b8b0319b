//! Problems in operator input, collected with their place.
//!
//! A check never stops at its first problem. It pushes a [`Finding`] for each
//! and the caller reports all of them together.

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
    /// Section of the file, empty for the part before the first section.
    pub section: Arc<str>,
    /// Key within the section, empty where the section itself is at fault.
    pub key: Arc<str>,
    /// Text that was given, empty where nothing was.
    pub given: Arc<str>,
    /// What would have been accepted.
    pub allowed: Arc<str>,
}
