use std::collections::HashMap;
use std::sync::Arc;

use chicorystage_api::inventory::{ChangeRecord, Snapshot};
use chicorystage_api::name::{GroupName, VmId};
use chicorystage_api::peer::{Changes, RevisionAck, RevisionHint};
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::freshness::{Freshness, PeerAnswer};
use chicorystage_core::inventory::{Applied, ChangeLog, InventoryState};
use tokio::sync::oneshot;

use crate::router::borders::RouterBorders;
use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::inventory::deferred_requests::DeferredRequests;
use crate::router::inventory::event::{InventoryEvent, InventoryUpdate};
use crate::router::inventory::long_poll::LongPolls;
use crate::router::inventory::peers::Peers;
use crate::router::inventory::prepare::prepare;
use crate::router::inventory::snapshot_plan::SnapshotPlan;
use crate::router::inventory::snapshot_writer;
use crate::router::serving::ServingEvent;
use crate::timer::Clock;

/// Maximum number of change records kept in memory for agents and routers that lag.
const LOG_RECORDS_MAX: usize = 1_024;
/// Maximum time that a hint waits until its revision is in force here, in milliseconds.
const HINT_WAIT_MS: u64 = 1_500;
/// Rendezvous key that selects the router that writes snapshots.
const SNAPSHOT_RANK_KEY: &str = "inventory-snapshot";

/// The inventory's part of the main loop.
///
/// Applies changes from the table, from other routers and from this router's own
/// commits, and answers long polls and hints once their revision is in force.
#[derive(Debug)]
pub struct InventorySync {
    own_vm: VmId,
    borders: RouterBorders,
    handle: RouterHandle,
    clock: Clock,
    freshness: Freshness,
    log: ChangeLog,
    polls: LongPolls,
    hints: Vec<WaitingHint>,
    deferred_requests: DeferredRequests,
    peers: Peers,
    wake_reader: Option<oneshot::Sender<()>>,
    snapshots: SnapshotPlan,
    table_up: bool,
    was_admitting: bool,
}

/// A hint whose revision is not in force yet.
#[derive(Debug)]
struct WaitingHint {
    revision: u64,
    until_ms: u64,
    reply: oneshot::Sender<RevisionAck>,
}

impl InventorySync {
    /// Creates the state of a router that has no inventory yet.
    ///
    /// The copy counts as recent while the last confirmation of the head is at
    /// most `freshness_max_ms` old, or a majority of the routers answered recently.
    #[must_use]
    pub fn new(
        (own_vm, group): (VmId, GroupName),
        freshness_max_ms: u64,
        borders: RouterBorders,
        handle: RouterHandle,
        clock: Clock,
    ) -> Self {
        let routers = Arc::clone(&borders.routers);
        Self {
            freshness: Freshness::new(own_vm.clone(), freshness_max_ms),
            peers: Peers::new((own_vm.clone(), group), routers, handle.clone(), clock),
            own_vm,
            borders,
            handle,
            clock,
            log: ChangeLog::new(LOG_RECORDS_MAX),
            polls: LongPolls::default(),
            hints: Vec::new(),
            deferred_requests: DeferredRequests::default(),
            wake_reader: None,
            snapshots: SnapshotPlan::default(),
            table_up: false,
            was_admitting: false,
        }
    }

    /// Returns whether the inventory copy is recent enough to admit requests.
    #[must_use]
    pub fn admits(&self, now_ms: u64) -> bool {
        self.freshness.admits(now_ms)
    }

    /// Defers a caller's request while the inventory copy is not confirmed.
    ///
    /// Triggers a read of the head row. Returns the event if it is to be
    /// handled now: it is no request, the copy is confirmed, or too many
    /// requests are deferred.
    pub fn defer_unconfirmed(&mut self, event: RouterEvent) -> Option<RouterEvent> {
        let now_ms = self.clock.now_ms();
        let is_request = matches!(
            event,
            RouterEvent::Admit { .. } | RouterEvent::Serving(ServingEvent::Enter { .. })
        );
        if !is_request || self.freshness.admits(now_ms) {
            return Some(event);
        }
        self.wake_reader();
        self.deferred_requests.defer(event, now_ms)
    }

    /// Removes and returns the deferred requests that are to be decided now.
    pub fn take_due_requests(&mut self) -> Vec<RouterEvent> {
        let now_ms = self.clock.now_ms();
        self.deferred_requests
            .take_due(self.freshness.admits(now_ms), now_ms)
    }

    /// Returns the age of the last confirmation of the head, in milliseconds.
    #[must_use]
    pub fn confirmed_age_ms(&self, now_ms: u64) -> u64 {
        self.freshness.confirmed_age_ms(now_ms)
    }

    /// Returns whether the last read of the table succeeded.
    #[must_use]
    pub fn table_up(&self) -> bool {
        self.table_up
    }

    /// Updates the listed VMs, and from them the routers that count for a quorum.
    pub fn set_vms(&mut self, vms: &HashMap<VmId, VmEntry>) {
        self.peers.set_vms(vms.clone());
        self.freshness.set_listed(self.peers.listed_routers());
    }

    /// Handles one event and applies the changes that it carries to `state`.
    pub fn on_event(&mut self, event: InventoryEvent, state: &mut InventoryState) {
        let now_ms = self.clock.now_ms();
        match event {
            InventoryEvent::Tick(tick) => self.tick(state, tick.now_ms),
            InventoryEvent::ReadStarting { wake, reply } => {
                self.wake_reader = Some(wake);
                let _sent = reply.send(state.revision());
            }
            InventoryEvent::HeadRead {
                started_ms,
                head_revision,
                update,
            } => {
                self.table_up = true;
                self.apply_update(state, update);
                self.freshness.record_head(head_revision, started_ms);
                self.after_update(state, now_ms);
            }
            InventoryEvent::HeadReadFailed => self.table_up = false,
            InventoryEvent::Hint { hint, reply } => self.on_hint(state, hint, reply, now_ms),
            InventoryEvent::PeerAnswered(answer) => self.on_peer_answer(state, answer),
            InventoryEvent::ChangesFetched(changes) => {
                self.peers.fetch_ended();
                self.apply_changes(state, changes);
                self.after_update(state, now_ms);
            }
            InventoryEvent::Poll { query, reply } => {
                self.polls.add(&query, reply, now_ms);
                self.polls.answer_due(state, &self.log, now_ms);
            }
            InventoryEvent::Prepare {
                change,
                operator,
                head_revision,
                reply,
            } => {
                let prepared = prepare(state, &self.log, &operator, &change, head_revision);
                if state.revision() < head_revision {
                    self.wake_reader();
                }
                let _sent = reply.send(prepared);
            }
            InventoryEvent::Committed { record, reply } => {
                let revision = record.revision;
                self.apply_record(state, record);
                self.after_update(state, now_ms);
                let _sent = reply.send(state.revision() >= revision);
            }
            InventoryEvent::SnapshotWriteEnded(revision) => {
                self.snapshots.ended(revision);
            }
            InventoryEvent::FindOperator {
                token_sha256,
                reply,
            } => {
                let _sent = reply.send(state.operator_by_token(&token_sha256).cloned());
            }
            InventoryEvent::Items { reply } => {
                let rows = state.rows().cloned().collect();
                let _sent = reply.send((state.revision(), rows));
            }
            InventoryEvent::Vms { reply } => {
                let _sent = reply.send(self.peers.vms().cloned());
            }
        }
    }

    /// Applies a snapshot that was just read and is the newest revision.
    pub fn on_snapshot_read(&mut self, state: &mut InventoryState, snapshot: Snapshot) {
        let now_ms = self.clock.now_ms();
        let revision = snapshot.revision;
        self.apply_update(state, InventoryUpdate::Whole(snapshot));
        self.freshness.record_head(revision, now_ms);
        self.after_update(state, now_ms);
    }

    fn tick(&mut self, state: &InventoryState, now_ms: u64) {
        self.polls.answer_due(state, &self.log, now_ms);
        self.answer_hints(state, now_ms);
        self.probe_peers(state, now_ms);
        self.log_freshness(state, now_ms);
    }

    fn log_freshness(&mut self, state: &InventoryState, now_ms: u64) {
        let admits = self.freshness.admits(now_ms);
        if admits == self.was_admitting {
            return;
        }
        self.was_admitting = admits;
        let (revision, confirmed_age_ms) = (state.revision(), self.confirmed_age_ms(now_ms));
        if admits {
            log::info!(event = "rules_confirmed", revision, confirmed_age_ms; "rules are confirmed, requests are admitted");
        } else {
            log::warn!(event = "rules_stale", revision, confirmed_age_ms; "rules cannot be confirmed, requests are refused");
        }
    }

    fn apply_update(&mut self, state: &mut InventoryState, update: InventoryUpdate) {
        match update {
            InventoryUpdate::Unchanged => {}
            InventoryUpdate::Tail(records) => {
                for record in records {
                    self.apply_record(state, record);
                }
            }
            InventoryUpdate::Whole(snapshot) => {
                if state.replace(snapshot) {
                    self.log.clear();
                }
            }
        }
    }

    fn apply_changes(&mut self, state: &mut InventoryState, changes: Option<Changes>) {
        let update = match changes {
            None | Some(Changes::Unchanged) => InventoryUpdate::Unchanged,
            Some(Changes::Tail { records }) => InventoryUpdate::Tail(records),
            Some(Changes::Whole { snapshot }) => InventoryUpdate::Whole(snapshot),
        };
        self.apply_update(state, update);
    }

    fn apply_record(&mut self, state: &mut InventoryState, record: ChangeRecord) {
        match state.apply(&record) {
            Applied::Advanced => self.log.push(record),
            Applied::Known => {}
            Applied::Gap => self.wake_reader(),
        }
    }

    fn after_update(&mut self, state: &InventoryState, now_ms: u64) {
        self.freshness.set_in_force(state.revision());
        self.polls.answer_due(state, &self.log, now_ms);
        self.answer_hints(state, now_ms);
        self.write_snapshot(state);
    }

    fn on_hint(
        &mut self,
        state: &mut InventoryState,
        hint: RevisionHint,
        reply: oneshot::Sender<RevisionAck>,
        now_ms: u64,
    ) {
        if let Some(record) = hint.record {
            self.apply_record(state, record);
        }
        if state.revision() < hint.revision {
            self.wake_reader();
            self.peers.fetch_from(&hint.from, state.revision());
        }
        self.hints.push(WaitingHint {
            revision: hint.revision,
            until_ms: now_ms + HINT_WAIT_MS,
            reply,
        });
        self.after_update(state, now_ms);
    }

    fn answer_hints(&mut self, state: &InventoryState, now_ms: u64) {
        let due = self.hints.extract_if(.., |hint| {
            hint.revision <= state.revision() || hint.until_ms <= now_ms
        });
        for hint in due {
            let ack = RevisionAck {
                from: self.own_vm.clone(),
                revision: state.revision(),
                confirmed_age_ms: self.freshness.confirmed_age_ms(now_ms),
            };
            let _sent = hint.reply.send(ack);
        }
    }

    fn on_peer_answer(&mut self, state: &InventoryState, answer: PeerAnswer) {
        if answer.revision > state.revision() {
            self.peers.fetch_from(&answer.vm, state.revision());
        }
        self.freshness.record_peer_answer(answer);
    }

    fn probe_peers(&mut self, state: &InventoryState, now_ms: u64) {
        let hint = RevisionHint {
            from: self.own_vm.clone(),
            revision: state.revision(),
            confirmed_age_ms: self.freshness.confirmed_age_ms(now_ms),
            record: None,
        };
        self.peers
            .probe(self.freshness.probe(now_ms), &hint, now_ms);
    }

    fn write_snapshot(&mut self, state: &InventoryState) {
        if !self.snapshots.is_due(state.revision())
            || !self.peers.is_first_router(SNAPSHOT_RANK_KEY)
        {
            return;
        }
        self.snapshots.started();
        let work =
            snapshot_writer::write(self.borders.clone(), self.handle.clone(), state.snapshot());
        tokio::spawn(work);
    }

    fn wake_reader(&mut self) {
        if let Some(wake) = self.wake_reader.take() {
            // If the reader is already reading again, the signal is not needed.
            let _sent = wake.send(());
        }
    }
}
