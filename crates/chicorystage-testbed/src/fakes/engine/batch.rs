use std::collections::BTreeMap;

use chicorystage_api::inventory::Class;
use tokio::sync::oneshot;

/// Slots of an engine's batch, granted by class and within a class by arrival.
#[derive(Debug)]
pub(super) struct Batch {
    slots: u32,
    running: u32,
    arrivals: u64,
    waiting: BTreeMap<(Class, u64), oneshot::Sender<()>>,
}

impl Batch {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Queues for a slot; the receiver resolves when the slot is granted.
    pub(super) fn enqueue(&mut self, class: Class) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.arrivals += 1;
        self.waiting.insert((class, self.arrivals), sender);
        self.grant_free_slots();
        receiver
    }

    pub(super) fn release_slot(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.grant_free_slots();
    }

    pub(super) fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn waiting(&self) -> u32 {
        let open = self.waiting.values().filter(|sender| !sender.is_closed());
        u32::try_from(open.count()).unwrap_or(u32::MAX)
    }

    /// Grants free slots to waiting completions; skips those that were cancelled.
    fn grant_free_slots(&mut self) {
        while self.running < self.slots {
            let Some((_, sender)) = self.waiting.pop_first() else {
                return;
            };
            if sender.send(()).is_ok() {
                self.running += 1;
            }
        }
    }
}
