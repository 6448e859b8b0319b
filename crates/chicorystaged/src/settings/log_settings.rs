use std::path::PathBuf;

use log::LevelFilter;

/// Where log lines go: section `[log]`.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// File that takes JSON lines; without one they go to standard output.
    pub file: Option<PathBuf>,
    /// Lowest level that is written.
    pub level: LevelFilter,
}
