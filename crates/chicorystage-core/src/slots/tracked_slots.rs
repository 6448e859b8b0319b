use std::collections::BTreeMap;

use chicorystage_api::name::{ModelName, VmId};
use chicorystage_api::peer::{PlacementAck, PlacementRow, SlotState};

use crate::slots::SlotStatus;

/// The slots of one VM, derived from the newest placement row of each model.
#[derive(Clone, Debug)]
pub struct Slots {
    vm: VmId,
    /// Version of the table at the last read of all rows; `None` before the first one.
    baseline: Option<u64>,
    rows: BTreeMap<ModelName, TrackedRow>,
}

#[derive(Clone, Copy, Debug)]
struct TrackedRow {
    row_version: u64,
    status: SlotStatus,
}

impl Slots {
    /// Creates the state of a VM that has not read the table yet.
    #[must_use]
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            baseline: None,
            rows: BTreeMap::new(),
        }
    }

    /// Returns whether all placement rows have been read from the table.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.baseline.is_some()
    }

    /// Stores all placement rows, read when the table was at `table_version` or later.
    ///
    /// Rows at or below that version that arrive later are ignored.
    pub fn read_all(&mut self, table_version: u64, rows: Vec<(u64, PlacementRow)>) {
        self.baseline = Some(table_version);
        for (row_version, row) in rows {
            self.store(row_version, &row);
        }
    }

    /// Stores a pushed placement row and returns whether it was newer than the known one.
    pub fn push(&mut self, row_version: u64, row: &PlacementRow) -> bool {
        if !self.is_read() || row_version <= self.row_version(&row.model) {
            return false;
        }
        self.store(row_version, row);
        true
    }

    /// Stores the result of a read of one model's row; `found` is `None` if the row is absent.
    ///
    /// The read started after a row of version `granted_version` had been seen, so an absent row
    /// was deleted at that version or later.
    pub fn read_one(
        &mut self,
        model: &ModelName,
        granted_version: u64,
        found: Option<(u64, PlacementRow)>,
    ) {
        let Some((row_version, row)) = found else {
            if self.is_read() && granted_version > self.row_version(model) {
                self.set_status(model, granted_version, SlotStatus::Absent);
            }
            return;
        };
        self.push(row_version, &row);
    }

    /// Returns whether a grant refers to a newer row than the known one, so that the row must be
    /// read.
    #[must_use]
    pub fn must_read(&self, model: &ModelName, granted_version: u64) -> bool {
        self.is_read() && granted_version > self.row_version(model)
    }

    /// Returns the status of the VM's slot for a model.
    #[must_use]
    pub fn status(&self, model: &ModelName) -> SlotStatus {
        if self.baseline.is_none() {
            return SlotStatus::Unread;
        }
        self.rows
            .get(model)
            .map_or(SlotStatus::Absent, |row| row.status)
    }

    /// Returns the newest known row version of a model; 0 before the first read of the table.
    #[must_use]
    pub fn row_version(&self, model: &ModelName) -> u64 {
        let baseline = self.baseline.unwrap_or(0);
        self.rows
            .get(model)
            .map_or(baseline, |row| row.row_version.max(baseline))
    }

    /// Returns the acknowledgement for a router that delivered a row of a model.
    ///
    /// `is_unloaded` states that the engine certainly has no replica of the model and that no
    /// order for one is in flight. The slot counts as released only then, and only if the VM may
    /// not load again.
    #[must_use]
    pub fn ack(&self, model: &ModelName, is_unloaded: bool) -> PlacementAck {
        let status = self.status(model);
        let may_load = matches!(status, SlotStatus::Unread | SlotStatus::Held);
        PlacementAck {
            model: model.clone(),
            row_version: self.row_version(model),
            held: status == SlotStatus::Held,
            released: is_unloaded && !may_load,
        }
    }

    /// Returns the models whose slot is held or being revoked, with the version of their row.
    pub fn held_or_revoking(&self) -> impl Iterator<Item = (&ModelName, u64)> {
        self.rows
            .iter()
            .filter(|(_, row)| matches!(row.status, SlotStatus::Held | SlotStatus::Revoking))
            .map(|(model, row)| (model, row.row_version))
    }

    /// Returns the models whose slot is held, with the version of the row that granted it.
    pub fn held(&self) -> impl Iterator<Item = (&ModelName, u64)> {
        self.rows
            .iter()
            .filter(|(_, row)| row.status == SlotStatus::Held)
            .map(|(model, row)| (model, row.row_version))
    }

    fn store(&mut self, row_version: u64, row: &PlacementRow) {
        let status = self.status_in(row);
        self.set_status(&row.model, row_version, status);
    }

    fn set_status(&mut self, model: &ModelName, row_version: u64, status: SlotStatus) {
        let tracked = TrackedRow {
            row_version,
            status,
        };
        self.rows.insert(model.clone(), tracked);
    }

    fn status_in(&self, row: &PlacementRow) -> SlotStatus {
        let slot = row.slots.iter().find(|slot| slot.vm == self.vm);
        match slot.map(|slot| slot.state) {
            Some(SlotState::Held) => SlotStatus::Held,
            Some(SlotState::Revoking) => SlotStatus::Revoking,
            None => SlotStatus::Absent,
        }
    }
}
