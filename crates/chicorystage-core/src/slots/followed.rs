use std::collections::BTreeMap;

use chicorystage_api::name::{ModelName, VmId};
use chicorystage_api::peer::{PlacementAck, PlacementRow, SlotState};

use crate::slots::Standing;

/// The slots of one VM, derived from the newest placement row of each model.
#[derive(Clone, Debug)]
pub struct Slots {
    vm: VmId,
    baseline: Option<u64>,
    followed: BTreeMap<ModelName, Followed>,
}

#[derive(Clone, Copy, Debug)]
struct Followed {
    row_version: u64,
    standing: Standing,
}

impl Slots {
    /// Creates the state of a VM that has not read the table yet.
    #[must_use]
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            baseline: None,
            followed: BTreeMap::new(),
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
            self.take(row_version, &row);
        }
    }

    /// Stores a pushed placement row and returns whether it was newer than the known one.
    pub fn push(&mut self, row_version: u64, row: &PlacementRow) -> bool {
        if !self.is_read() || row_version <= self.row_version(&row.model) {
            return false;
        }
        self.take(row_version, row);
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
                self.set(model, granted_version, Standing::Absent);
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
    pub fn standing(&self, model: &ModelName) -> Standing {
        if self.baseline.is_none() {
            return Standing::Unread;
        }
        self.followed
            .get(model)
            .map_or(Standing::Absent, |followed| followed.standing)
    }

    /// Returns the newest known row version of a model; 0 before the first read of the table.
    #[must_use]
    pub fn row_version(&self, model: &ModelName) -> u64 {
        let baseline = self.baseline.unwrap_or(0);
        self.followed
            .get(model)
            .map_or(baseline, |followed| followed.row_version.max(baseline))
    }

    /// Returns the acknowledgement for a router that delivered a row of a model.
    ///
    /// `is_unloaded` states that the engine certainly has no replica of the model and that no
    /// order for one is in flight. The slot counts as released only then, and only if the VM may
    /// not load again.
    #[must_use]
    pub fn ack(&self, model: &ModelName, is_unloaded: bool) -> PlacementAck {
        let standing = self.standing(model);
        let may_load = matches!(standing, Standing::Unread | Standing::Held);
        PlacementAck {
            model: model.clone(),
            row_version: self.row_version(model),
            held: standing == Standing::Held,
            released: is_unloaded && !may_load,
        }
    }

    /// Returns the models whose slot is held or being revoked, with the version of their row.
    pub fn kept(&self) -> impl Iterator<Item = (&ModelName, u64)> {
        self.followed
            .iter()
            .filter(|(_, followed)| {
                matches!(followed.standing, Standing::Held | Standing::Revoking)
            })
            .map(|(model, followed)| (model, followed.row_version))
    }

    /// Returns the models whose slot is held, with the version of the row that granted it.
    pub fn held(&self) -> impl Iterator<Item = (&ModelName, u64)> {
        self.followed
            .iter()
            .filter(|(_, followed)| followed.standing == Standing::Held)
            .map(|(model, followed)| (model, followed.row_version))
    }

    fn take(&mut self, row_version: u64, row: &PlacementRow) {
        let standing = self.standing_in(row);
        self.set(&row.model, row_version, standing);
    }

    fn set(&mut self, model: &ModelName, row_version: u64, standing: Standing) {
        let followed = Followed {
            row_version,
            standing,
        };
        self.followed.insert(model.clone(), followed);
    }

    fn standing_in(&self, row: &PlacementRow) -> Standing {
        let slot = row.slots.iter().find(|slot| slot.vm == self.vm);
        match slot.map(|slot| slot.state) {
            Some(SlotState::Held) => Standing::Held,
            Some(SlotState::Revoking) => Standing::Revoking,
            None => Standing::Absent,
        }
    }
}
