//! The platform's object store.

use bytes::Bytes;

use crate::{BorderError, BoxFuture};

/// The platform's object store: whole objects, last writer wins.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; none where the key is absent.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, BorderError>>;

    /// Writes an object.
    fn put<'a>(&'a self, key: &'a str, content: Bytes) -> BoxFuture<'a, Result<(), BorderError>>;
}
