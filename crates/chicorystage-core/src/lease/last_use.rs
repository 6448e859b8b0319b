/// When the processes of one VM sent their last order.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastUse {
    /// Whether orders could be sent at the last tick.
    is_going_on: bool,
    /// Time by which the last order had been sent, in milliseconds; `None` before the process's first
    /// read of the lease.
    until_ms: Option<u64>,
}

impl LastUse {
    /// Records a read of the lease; an earlier process may have sent orders until this one started.
    pub(super) fn lease_read(&mut self, now_ms: u64) {
        self.until_ms.get_or_insert(now_ms);
    }

    /// Records whether orders can be sent now.
    pub(super) fn tick(&mut self, now_ms: u64, is_usable: bool) {
        if is_usable || self.is_going_on {
            self.until_ms = Some(now_ms);
        }
        self.is_going_on = is_usable;
    }

    /// Returns whether the last order may have been sent less than `duration_ms` ago.
    pub(super) fn is_within(&self, now_ms: u64, duration_ms: u64) -> bool {
        self.until_ms
            .is_some_and(|until_ms| now_ms < until_ms + duration_ms)
    }
}
