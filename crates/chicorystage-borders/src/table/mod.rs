//! The platform's transactional table.
//!
//! Rows are opaque text under a key. Every committed transaction gets one
//! commit number, which becomes the version of each row that it writes; commit
//! numbers rise over the whole table. A transaction's checks name the version
//! that a row must have, or that it must be absent.

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

/// The platform's transactional table.
///
/// # Errors
///
/// Every method fails with the kind that tells what is known of its effect. A
/// commit that fails as unknown is settled by reading the rows it wrote, never
/// by sending it again blindly.
pub trait Table: Send + Sync {
    /// Reads one row; none where the key is absent.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, BorderError>>;

    /// Reads up to `limit` rows whose key begins with `prefix` and follows `after`.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> BoxFuture<'a, Result<ScanPage, BorderError>>;

    /// Applies all writes if every check holds, else none.
    fn commit(&self, transaction: Transaction)
    -> BoxFuture<'_, Result<CommitOutcome, BorderError>>;
}
