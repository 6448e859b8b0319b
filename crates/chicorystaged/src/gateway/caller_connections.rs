//! Connections of callers that a stop must not cut.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Open connections of callers with the latest request of each.
#[derive(Debug, Default)]
pub struct CallerConnections {
    next: Cell<u64>,
    /// Latest request by number of the connection; `None` before the first.
    requests: RefCell<BTreeMap<u64, Option<Arc<str>>>>,
}

/// Guard that counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Rc<CallerConnections>,
    number: u64,
}

impl CallerConnections {
    /// Counts a connection that has just been accepted.
    #[must_use]
    pub fn open(self: &Rc<Self>) -> OpenConnection {
        let number = self.next.get();
        self.next.set(number + 1);
        self.requests.borrow_mut().insert(number, None);
        OpenConnection {
            connections: Rc::clone(self),
            number,
        }
    }

    /// Returns the latest request of each open connection that has had one, in the order of the
    /// connections.
    ///
    /// Once connections shut down, the last byte of its answer has not left the process.
    #[must_use]
    pub fn unfinished(&self) -> Vec<Arc<str>> {
        let requests = self.requests.borrow();
        requests.values().flatten().cloned().collect()
    }
}

impl OpenConnection {
    /// Records that a request has arrived.
    pub fn request_arrived(&self, request: &str) {
        let mut requests = self.connections.requests.borrow_mut();
        requests.insert(self.number, Some(Arc::from(request)));
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.requests.borrow_mut().remove(&self.number);
    }
}
