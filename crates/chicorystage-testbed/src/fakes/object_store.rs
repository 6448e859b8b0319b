use std::collections::HashMap;
use std::sync::Mutex;

use bytes::Bytes;
use chicorystage_borders::object_store::ObjectStore;
use chicorystage_borders::{BorderError, BorderErrorKind, BoxFuture};

/// An in-memory fake of the platform's object store.
#[derive(Debug, Default)]
pub struct FakeObjectStore {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    objects: HashMap<String, Bytes>,
    down: bool,
}

impl FakeObjectStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether the store is down; while it is, calls fail as not delivered.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn check(&self) -> Result<(), BorderError> {
        if self.lock().down {
            return Err(BorderError::new(
                BorderErrorKind::NotDelivered,
                "object store is down",
            ));
        }
        Ok(())
    }
}

impl ObjectStore for FakeObjectStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, BorderError>> {
        Box::pin(async move {
            self.check()?;
            Ok(self.lock().objects.get(key).cloned())
        })
    }

    fn put<'a>(&'a self, key: &'a str, content: Bytes) -> BoxFuture<'a, Result<(), BorderError>> {
        Box::pin(async move {
            self.check()?;
            self.lock().objects.insert(key.to_owned(), content);
            Ok(())
        })
    }
}
