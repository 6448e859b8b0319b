//! The platform's transactional table.
//!
//! A row is opaque text under a key. Every committed transaction gets one
//! commit number, which becomes the version of each row that it writes. Commit
//! numbers increase over the whole table. Each check of a transaction requires
//! that a row has a given version or that it is absent.

mod check;
mod commit_outcome;
mod row;
mod scan_page;
mod transaction;
mod write;

pub use check::Check;
pub use commit_outcome::CommitOutcome;
pub use row::Row;
pub use scan_page::ScanPage;
pub use transaction::Transaction;
pub use write::Write;

use crate::{BorderError, BoxFuture};

/// Client interface of the platform's transactional table.
///
/// # Errors
///
/// Every error's kind states whether the call may have taken effect. After a
/// commit that failed as `Unknown`, the caller must read the written rows back to
/// determine the outcome, and must not repeat the commit without that read.
pub trait Table: Send + Sync {
    /// Returns one row, or `None` if the key is absent.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, BorderError>>;

    /// Returns up to `limit` rows whose key starts with `prefix` and sorts after `after`.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> BoxFuture<'a, Result<ScanPage, BorderError>>;

    /// Applies all writes atomically if every check passes, else none of them.
    fn commit(&self, transaction: Transaction)
    -> BoxFuture<'_, Result<CommitOutcome, BorderError>>;
}
