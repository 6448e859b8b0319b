use std::rc::{Rc, Weak};

use chicorystage_borders::http::TransferProgress;

/// Transfers of the calls in flight on one table.
#[derive(Debug, Default)]
pub(super) struct Transfers(Vec<Weak<TransferProgress>>);

impl Transfers {
    /// Adds a transfer, which counts for as long as its call holds the progress.
    pub(super) fn begin(&mut self) -> Rc<TransferProgress> {
        self.0.retain(|progress| progress.strong_count() > 0);
        let progress = Rc::new(TransferProgress::default());
        self.0.push(Rc::downgrade(&progress));
        progress
    }

    /// Returns whether the response to a call in flight has begun to arrive.
    pub(super) fn any_begun(&self) -> bool {
        let in_flight = self.0.iter().filter_map(Weak::upgrade);
        in_flight.into_iter().any(|progress| progress.has_head())
    }
}
