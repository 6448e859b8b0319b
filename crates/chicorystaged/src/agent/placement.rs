//! The agent's slots: reading, following and releasing them.
//!
//! A slot, an entry in a model's placement row of the table, allows this VM to
//! load the model. The agent reads all rows at its start, accepts newer rows
//! that routers push, and reads one row again when a router's grant names a
//! version that the agent has not seen. A draining agent removes its slots
//! from the table.

use std::sync::Arc;

use chicorystage_api::name::ModelName;
use chicorystage_api::peer::{PlacementAck, PlacementPush, PlacementRow};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_borders::BorderError;
use chicorystage_core::slots::SlotStatus;

use crate::agent::event::{AgentEvent, SlotRows};
use crate::agent::main_loop::AgentLoop;
use crate::agent::readiness::Readiness;
use crate::agent::table_task;
use crate::agent::target::Target;

/// Retry delay that a refusal for a missing slot suggests, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Interval between two tries to release a slot, in milliseconds.
const RELEASE_RETRY_MS: u64 = 1_000;

impl AgentLoop {
    /// Applies a read of all placement rows; logs only the first failure.
    pub(super) fn on_all_slots_read(&mut self, result: Result<SlotRows, BorderError>) {
        match result {
            Ok(read) => {
                self.slots.read_all(read.table_version, read.rows);
                let held = self.slots.held().count();
                log::info!(event = "slots_read", table_version = read.table_version, held; "slots read");
            }
            Err(error) => {
                if !self.slots_unreadable {
                    log::warn!(event = "slots_unreadable", error:% = error; "slots cannot be read; retrying");
                }
                self.slots_unreadable = true;
            }
        }
        self.dispatch_due = true;
    }

    /// Applies pushed placement rows that are newer than the known ones.
    ///
    /// Returns one acknowledgement for each push, which reports whether the VM holds
    /// the slot and whether a lost slot's model is certainly unloaded.
    pub(super) fn push_placements(&mut self, pushes: &[PlacementPush]) -> Vec<PlacementAck> {
        let now_ms = self.clock.now_ms();
        for push in pushes {
            self.slots.push(push.row_version, &push.row);
        }
        self.unload_idle_replicas(now_ms);
        self.dispatch_due = true;
        let acks = pushes.iter().map(|push| {
            let model = &push.row.model;
            self.slots.ack(model, self.is_unloaded(model))
        });
        acks.collect()
    }

    /// Returns whether the engine certainly holds no replica of a model.
    ///
    /// False until the fence is open, since an earlier agent's order may still load one.
    fn is_unloaded(&self, model: &ModelName) -> bool {
        let is_fence_open = self.fence.token().is_some();
        is_fence_open && self.replicas.of_model(model).next().is_none()
    }

    /// Checks whether the VM holds the slot that a target needs.
    ///
    /// Returns `None` if it does, or if slots are unread and a replica exists already.
    /// Starts a read of the placement row if the router's grant is newer than the
    /// known row.
    pub(super) fn check_slot(&mut self, target: &Target) -> Option<Readiness> {
        let model = &target.key.model;
        let granted = target.granted_version;
        let must_read =
            self.slots.must_read(model, granted) && self.slot_reads.is_uncovered(model, granted);
        if must_read {
            self.read_slot_row(model, granted);
        }
        let now_ms = self.clock.now_ms();
        match self.slots.status(model) {
            SlotStatus::Held => None,
            SlotStatus::Unread if self.replicas.of_model(model).next().is_some() => None,
            SlotStatus::Unread if self.slots_unreadable => {
                let detail = "the agent could not read its slots yet";
                Some(Readiness::Refused(not_placed(detail)))
            }
            SlotStatus::Unread => Some(Readiness::Pending),
            SlotStatus::Revoking | SlotStatus::Absent
                if must_read && !self.slot_reads.has_failed_recently(model, now_ms) =>
            {
                Some(Readiness::Pending)
            }
            SlotStatus::Revoking | SlotStatus::Absent => {
                let detail = "the VM holds no slot of the model";
                Some(Readiness::Refused(not_placed(detail)))
            }
        }
    }

    /// Spawns a read of a model's placement row, unless one is in flight or failed recently.
    fn read_slot_row(&mut self, model: &ModelName, granted_version: u64) {
        if !self.slot_reads.begin(model, self.clock.now_ms()) {
            return;
        }
        let (table, handle) = (Arc::clone(&self.borders.table), self.handle.clone());
        let model = model.clone();
        tokio::spawn(async move {
            let result = table_task::read_slot_row(table.as_ref(), &model).await;
            let read = AgentEvent::SlotRowRead {
                model,
                granted_version,
                result,
            };
            handle.send(read).await;
        });
    }

    /// Applies the result of a read that [`Self::check_slot`] started.
    pub(super) fn on_slot_row_read(
        &mut self,
        model: &ModelName,
        granted_version: u64,
        result: Result<Option<(u64, PlacementRow)>, BorderError>,
    ) {
        let now_ms = self.clock.now_ms();
        let is_read = result.is_ok();
        self.slot_reads.end(model, granted_version, is_read, now_ms);
        // If the read failed, the last known state of the slot stays in use.
        if let Ok(found) = result {
            self.slots.read_one(model, granted_version, found);
        }
        self.dispatch_due = true;
    }

    /// Releases the slots of a draining agent, each once no replica of its model is left.
    pub(super) fn release_slots(&mut self, now_ms: u64) {
        if !self.drain.is_leaving() {
            return;
        }
        let models: Vec<ModelName> = self
            .slots
            .held_or_revoking()
            .map(|(model, _)| model.clone())
            .collect();
        for model in models {
            let last_try_ms = self.slot_release_tries_ms.get(&model);
            let tried_recently =
                last_try_ms.is_some_and(|ms| now_ms.saturating_sub(*ms) < RELEASE_RETRY_MS);
            if tried_recently || !self.is_unloaded(&model) {
                continue;
            }
            self.slot_release_tries_ms.insert(model.clone(), now_ms);
            let (table, handle) = (Arc::clone(&self.borders.table), self.handle.clone());
            let vm = self.daemon.vm.clone();
            tokio::spawn(async move {
                let result = table_task::release_slot(table.as_ref(), &model, &vm).await;
                handle
                    .send(AgentEvent::SlotReleased { model, result })
                    .await;
            });
        }
    }

    /// Applies the result of a try to release a slot.
    pub(super) fn on_slot_released(
        &mut self,
        model: &ModelName,
        result: Result<Option<(u64, PlacementRow)>, BorderError>,
    ) {
        match result {
            Ok(Some((row_version, row))) => {
                self.slots.push(row_version, &row);
                log::info!(event = "slot_given_up", model = model.as_str(), row_version; "slot released");
            }
            Ok(None) => {
                // The row was deleted after the known version.
                let row_version = self.slots.row_version(model) + 1;
                self.slots.read_one(model, row_version, None);
            }
            // The outcome is unknown; the next try reads the row again.
            Err(_unknown) => {}
        }
    }
}

fn not_placed(detail: &str) -> Refusal {
    Refusal::not_run(RefusalCode::NotPlaced, detail).retry_after_ms(RETRY_AFTER_MS)
}
