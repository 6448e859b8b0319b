//! Guard that counts requests in progress.

use std::rc::Rc;

use crate::gateway::shared::Gateway;

/// Guard that counts one request as in progress until it is dropped.
#[derive(Debug)]
pub struct InProgress {
    gateway: Rc<Gateway>,
}

impl InProgress {
    /// Counts a request that has just arrived.
    #[must_use]
    pub fn begin(gateway: &Rc<Gateway>) -> Self {
        gateway.with(|view| view.in_progress += 1);
        Self {
            gateway: Rc::clone(gateway),
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.gateway.with(|view| view.in_progress -= 1);
    }
}
