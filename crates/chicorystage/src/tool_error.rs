use std::fmt;
use std::process::ExitCode;

use chicorystage_api::admin::{ChangeConflict, ItemFinding};
use chicorystage_api::finding::Finding;

/// Exit status if a command failed.
const EXIT_FAILED: u8 = 1;
/// Exit status if the command line or a file is invalid.
const EXIT_BAD_INPUT: u8 = 2;
/// Exit status if a concurrent change caused a conflict.
const EXIT_CONFLICT: u8 = 3;

/// Reason why a command didn't succeed.
#[derive(Clone, Debug)]
pub enum ToolError {
    /// The command failed for the reason given.
    Failed(String),
    /// The command line is invalid or a file can't be read.
    Usage(String),
    /// A file is invalid.
    File(Vec<Finding>),
    /// The change is invalid against the current inventory.
    Change(Vec<ItemFinding>),
    /// A concurrent change modified the same items.
    Conflict(Vec<ChangeConflict>),
}

impl ToolError {
    /// Returns the exit status for the kind of error.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Failed(_) => EXIT_FAILED,
            Self::Usage(_) | Self::File(_) | Self::Change(_) => EXIT_BAD_INPUT,
            Self::Conflict(_) => EXIT_CONFLICT,
        })
    }
}

impl fmt::Display for ToolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(detail) | Self::Usage(detail) => write!(f, "chicorystage: {detail}"),
            Self::File(findings) => write_lines(f, findings),
            Self::Change(findings) => write_lines(f, findings),
            Self::Conflict(conflicts) => {
                let described: Vec<String> = conflicts.iter().map(describe_conflict).collect();
                write_lines(f, &described)
            }
        }
    }
}

impl std::error::Error for ToolError {}

fn write_lines<T: fmt::Display>(f: &mut fmt::Formatter<'_>, entries: &[T]) -> fmt::Result {
    for (i, entry) in entries.iter().enumerate() {
        if i > 0 {
            writeln!(f)?;
        }
        write!(f, "{entry}")?;
    }
    Ok(())
}

fn describe_conflict(conflict: &ChangeConflict) -> String {
    let version = |revision: Option<u64>| {
        revision.map_or("absent".to_owned(), |revision| {
            format!("revision {revision}")
        })
    };
    let expected = version(conflict.expected_revision);
    let current = version(conflict.current_revision);
    let by = conflict.winner.as_ref().map(|winner| {
        format!(
            "; changed by {} in revision {} (change {})",
            winner.operator, winner.revision, winner.change_id
        )
    });
    let by = by.unwrap_or_default();
    format!("{}: expected {expected}, found {current}{by}", conflict.key)
}
