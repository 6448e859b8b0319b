use std::path::PathBuf;

use log::LevelFilter;

/// Target and level of the log: section `[log]`.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// File to which JSON lines are written; `None` writes them to standard output.
    pub file: Option<PathBuf>,
    /// Least severe level that is written.
    pub level: LevelFilter,
}
