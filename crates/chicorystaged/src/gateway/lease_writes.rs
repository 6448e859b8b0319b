//! Acquires, renews and observes the lease on orders in the store.

use std::rc::Rc;

use chicorystage_core::lease::{LeaseAction, LeaseRow, StoreReply};
use chicorystage_platform::store::{Row, WriteOutcome};

use crate::gateway::follow::LEASE_KEY;
use crate::gateway::shared::Gateway;
use crate::timer::boot_ms;

/// Acquires or renews the lease if that is due.
///
/// A gateway that is stopping keeps renewing a lease that it holds until it releases it, and
/// acquires none.
pub(super) fn tick_lease(gateway: &Rc<Gateway>) {
    let holds = gateway.order_epoch().is_some();
    if gateway.has_released_lease.get() || (gateway.is_stopping.get() && !holds) {
        return;
    }
    let Some(action) = gateway.lease(|lease| lease.tick(boot_ms())) else {
        return;
    };
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        write_lease(&gateway, action).await;
    });
}

/// Writes the lease to the store and records the outcome; returns whether it was written.
pub async fn write_lease(gateway: &Rc<Gateway>, action: LeaseAction) -> bool {
    let sent_ms = boot_ms();
    let Ok(value) = serde_json::to_vec(&action.row) else {
        return false;
    };
    let outcome = gateway
        .store
        .write(LEASE_KEY, &value, gateway.position(action.expected_version))
        .await;
    let (reply, name) = match outcome {
        WriteOutcome::Written(version) => (StoreReply::Written(version), "ok"),
        WriteOutcome::Conflict(row) => (
            StoreReply::Conflict(row.and_then(|row| decode_lease(&row))),
            "conflict",
        ),
        WriteOutcome::OtherEra(era) => {
            gateway.observe_era(era);
            (StoreReply::Refused, "other era")
        }
        WriteOutcome::Refused => (StoreReply::Refused, "refused"),
        WriteOutcome::Unknown => (StoreReply::Unknown, "unknown"),
    };
    gateway.metrics.count_store_call("lease", name);
    let is_first = action.row.renewals == 0;
    if is_first || name != "ok" {
        log::info!(
            event = "lease", epoch = action.row.epoch, renewals = action.row.renewals,
            released = action.row.released, era_age_ms:? = gateway.era().age_ms(sent_ms), outcome = name;
            "lease written"
        );
    }
    let is_written = matches!(reply, StoreReply::Written(_));
    gateway.lease(|lease| lease.apply_reply(boot_ms(), sent_ms, action, reply));
    gateway.plan_changed.notify_one();
    is_written
}

/// Returns the lease and its version; `None` where the row is deleted or cannot be decoded.
fn decode_lease(row: &Row) -> Option<(LeaseRow, u64)> {
    let value = row.value.as_ref()?;
    let lease = serde_json::from_slice(value).ok()?;
    Some((lease, row.version))
}

impl Gateway {
    /// Records the lease's row as read from the store, and with it the lease holder.
    ///
    /// A row that cannot be decoded is ignored.
    pub fn observe_lease(&self, row: &Row) {
        let Some(decoded) = decode_lease(row) else {
            log::warn!(event = "lease_unreadable", version = row.version; "lease row cannot be decoded; ignored");
            return;
        };
        self.lease(|lease| lease.apply_row(boot_ms(), Some(decoded)));
        let holder = self.lease(|lease| lease.holder().cloned());
        self.with(|view| view.lease_holder = holder);
    }

    /// Records that the store has no row of the lease.
    pub fn observe_missing_lease(&self) {
        self.lease(|lease| lease.apply_row(boot_ms(), None));
    }

    /// Records an epoch seen in a message or reply; returns whether no higher one is known.
    pub fn observe_epoch(&self, epoch: u64) -> bool {
        self.lease(|lease| {
            lease.observe_epoch(epoch);
            lease.highest_epoch() <= epoch
        })
    }

    /// Returns the epoch under which this gateway may send orders now.
    ///
    /// Returns `None` where it does not hold the lease or has released it for good.
    #[must_use]
    pub fn order_epoch(&self) -> Option<u64> {
        if self.has_released_lease.get() {
            return None;
        }
        self.lease(|lease| lease.epoch(boot_ms()))
    }
}
