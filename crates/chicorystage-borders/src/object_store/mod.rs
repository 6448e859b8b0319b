//! The platform's object store, which reads and writes whole objects by key.

use bytes::Bytes;

use crate::{BorderError, BoxFuture};

/// Client interface of the platform's object store; of two writes, the last one wins.
pub trait ObjectStore: Send + Sync {
    /// Returns an object, or `None` if the key is absent.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, BorderError>>;

    /// Writes an object and replaces any object under the same key.
    fn put<'a>(&'a self, key: &'a str, content: Bytes) -> BoxFuture<'a, Result<(), BorderError>>;
}
