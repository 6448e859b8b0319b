//! Limit on the memory that the bodies of all requests take together.
//!
//! The configuration limits a single body. Many callers may send the longest ones at once, and a body
//! stays until its request ends, as it may be sent again. A body that does not fit is refused before it
//! is read. Long ones leave a part of the memory to short ones, so that these do not starve behind them.

use std::cell::Cell;
use std::rc::Rc;

/// Length up to which a body is short, in bytes.
const SHORT_BYTES: usize = 64 << 10;
/// Divisor of the memory; the quotient is left to short bodies.
const SHORT_DIVISOR: usize = 4;

/// Memory for the bodies of requests in progress.
#[derive(Debug)]
pub struct BodyBudget {
    limit_bytes: usize,
    used_bytes: Cell<usize>,
}

/// Share of the memory that one body takes until this value is dropped.
#[derive(Debug)]
pub struct BodyShare {
    budget: Rc<BodyBudget>,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `limit_bytes` of which nothing is used.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: Cell::new(0),
        }
    }

    /// Returns the number of bytes that are in use.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    /// Returns a share of no memory yet.
    #[must_use]
    pub fn share(self: &Rc<Self>) -> BodyShare {
        BodyShare {
            budget: Rc::clone(self),
            bytes: 0,
        }
    }
}

impl BodyShare {
    /// Changes the share to what a body of `bytes` takes; returns whether there is that much left.
    ///
    /// The share stays as it is if there is not.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let mut limit_bytes = self.budget.limit_bytes;
        if bytes > SHORT_BYTES {
            limit_bytes -= limit_bytes / SHORT_DIVISOR;
        }
        let others_bytes = self.budget.used_bytes.get() - self.bytes;
        let is_left = others_bytes.saturating_add(bytes) <= limit_bytes;
        let may_resize = bytes <= self.bytes || is_left;
        if may_resize {
            self.budget.used_bytes.set(others_bytes + bytes);
            self.bytes = bytes;
        }
        may_resize
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        let used_bytes = self.budget.used_bytes.get();
        self.budget.used_bytes.set(used_bytes - self.bytes);
    }
}
