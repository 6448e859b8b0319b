//! A deterministic simulation of agents, their engines and a planner with message loss and delay.

mod agent;
mod engine;
mod status;

use std::collections::BTreeMap;

use chicorystage_api::name::{ModelName, VmId};
use chicorystage_api::peer::{PlacementAck, PlacementRow, Slot, SlotState};
use chicorystage_core::replicas::{OrderEnd, ReplicaKey};

use crate::world::agent::Agent;
use crate::world::engine::{Engine, IN_FLIGHT_MAX_MS, SentOrder};
use crate::world::status::Status;

const VMS: usize = 3;
const MODELS: usize = 3;

/// Numbers of events that schedules reached, checked so that the schedules are not trivial.
#[derive(Debug, Default)]
pub struct Counts {
    pub orders_done: u32,
    pub slots_released: u32,
    pub agent_restarts: u32,
    pub answers_lost: u32,
}

#[derive(Debug)]
pub struct World {
    now_ms: u64,
    version: u64,
    rows: BTreeMap<ModelName, (u64, PlacementRow)>,
    history: Vec<(u64, PlacementRow)>,
    agents: Vec<Agent>,
    engines: Vec<Engine>,
    answers: Vec<(usize, SentOrder, bool)>,
    statuses: Vec<(usize, Status)>,
    acks: Vec<(VmId, PlacementAck)>,
    pub counts: Counts,
}

impl World {
    pub fn new(fence_enforced: bool) -> Self {
        let agents = (0..VMS).map(|i| Agent::start(vm(i), 1, 0)).collect();
        let engines = (0..VMS).map(|_| Engine {
            run: 1,
            fence_highest: 0,
            fence_enforced,
            total_bytes: 100,
            replicas: BTreeMap::new(),
            in_flight: Vec::new(),
        });
        Self {
            now_ms: 1,
            version: 0,
            rows: BTreeMap::new(),
            history: Vec::new(),
            agents,
            engines: engines.collect(),
            answers: Vec::new(),
            statuses: Vec::new(),
            acks: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Performs one random step.
    ///
    /// `kind` selects the action, `target` the VM and model, `detail` the timing and the version.
    pub fn step(&mut self, (kind, target, detail): (u8, u8, u8)) {
        self.now_ms += u64::from(detail % 4) + 1;
        let i = usize::from(target) % VMS;
        let model = model(usize::from(target / 16) % MODELS);
        let delay_ms = u64::from(detail) % IN_FLIGHT_MAX_MS;
        match kind % 32 {
            0..=1 => self.now_ms += u64::from(detail),
            2..=4 => self.read_status(i),
            5..=7 => self.deliver_statuses(detail),
            8..=13 => {
                let key = ReplicaKey::new(&model, &version(detail));
                self.agents[i].load(&mut self.engines[i], &key, self.now_ms, delay_ms);
            }
            14..=15 => self.unload(i, &model, detail),
            16..=17 => {
                let key = ReplicaKey::new(&model, &version(detail));
                self.agents[i].load_adapter(&mut self.engines[i], &key, self.now_ms, delay_ms);
            }
            18 => self.engines[i].finish_loads(),
            19..=20 => self.deliver_answers(detail),
            21 => self.abandon_orders(i),
            22..=23 => self.read_table(i),
            24..=26 => self.push(i, detail),
            27 => self.assign(&model, i),
            28 if detail < 100 => self.revoke(&model, i),
            29 => self.deliver_ack(detail),
            30 if detail < 32 => self.restart_agent(i),
            31 if detail < 16 => self.engines[i].restart(),
            _ => self.read_row(i, &model),
        }
        for (i, engine) in self.engines.iter_mut().enumerate() {
            for (sent, accepted) in engine.execute_arrived(self.now_ms) {
                self.answers.push((i, sent, accepted));
            }
        }
    }

    /// Checks that no engine is overcommitted, and that each replica has a slot of its own.
    pub fn check(&self) {
        for engine in &self.engines {
            let used = engine.used_bytes();
            assert!(used <= engine.total_bytes, "{used} bytes used: {engine:?}");
        }
        for (i, engine) in self.engines.iter().enumerate() {
            for key in engine.replicas.keys() {
                let row = self.rows.get(&key.model);
                let has_slot =
                    row.is_some_and(|(_, row)| row.slots.iter().any(|slot| slot.vm == vm(i)));
                assert!(has_slot, "{key} is on {i} without a slot");
                let of_model = engine.replicas.keys().filter(|k| k.model == key.model);
                assert_eq!(of_model.count(), 1, "two replicas in one slot");
            }
        }
    }

    fn unload(&mut self, i: usize, model: &ModelName, detail: u8) {
        let keys: Vec<_> = self.agents[i].replicas.of_model(model).collect();
        let keys: Vec<ReplicaKey> = keys.into_iter().map(|(key, _)| key.clone()).collect();
        let delay_ms = u64::from(detail) % IN_FLIGHT_MAX_MS;
        for key in keys {
            self.agents[i].unload(&mut self.engines[i], &key, self.now_ms, delay_ms);
        }
    }

    fn read_status(&mut self, i: usize) {
        let status = Status::read(&self.engines[i], self.agents[i].incarnation, self.now_ms);
        self.statuses.push((i, status));
    }

    /// Delivers the pending statuses in order; sometimes the newest stays for a later step.
    fn deliver_statuses(&mut self, detail: u8) {
        let delivered = self.statuses.len() - usize::from(detail % 2).min(self.statuses.len());
        for (i, status) in self.statuses.drain(..delivered) {
            if status.incarnation != self.agents[i].incarnation {
                continue;
            }
            let arrives_ms = self.now_ms + u64::from(detail / 8);
            self.agents[i].apply_status(&mut self.engines[i], &status, arrives_ms);
        }
    }

    /// Makes an agent time out on all orders that are still in flight to its engine.
    fn abandon_orders(&mut self, i: usize) {
        for sent in &self.engines[i].in_flight {
            self.counts.answers_lost += 1;
            self.agents[i].apply_answer(sent, OrderEnd::Unknown, self.now_ms);
        }
    }

    fn deliver_answers(&mut self, detail: u8) {
        for (j, (i, sent, accepted)) in std::mem::take(&mut self.answers).into_iter().enumerate() {
            let end = match (detail >> (j % 8)) & 3 {
                0 => {
                    self.counts.answers_lost += 1;
                    OrderEnd::Unknown
                }
                _ if accepted => OrderEnd::Done,
                _ => OrderEnd::NoEffect,
            };
            if end == OrderEnd::Done {
                self.counts.orders_done += 1;
                self.engines[i].finish_loads();
            }
            self.agents[i].apply_answer(&sent, end, self.now_ms);
        }
    }

    fn read_table(&mut self, i: usize) {
        let rows = self.rows.values().cloned().collect();
        self.agents[i].slots.read_all(self.version, rows);
    }

    fn read_row(&mut self, i: usize, model: &ModelName) {
        let found = self.rows.get(model).cloned();
        self.agents[i].slots.read_one(model, self.version, found);
    }

    fn push(&mut self, i: usize, detail: u8) {
        let len = self.history.len();
        if len == 0 {
            return;
        }
        let steps_back = usize::from(detail) % len.min(12);
        let (row_version, row) = self.history[len - 1 - steps_back].clone();
        let ack = self.agents[i].push(row_version, &row);
        if ack.released {
            self.acks.push((vm(i), ack));
        }
    }

    fn assign(&mut self, model: &ModelName, i: usize) {
        let mut row = self.row(model);
        if row.slots.len() >= 2 || row.slots.iter().any(|slot| slot.vm == vm(i)) {
            return;
        }
        row.slots.push(Slot {
            vm: vm(i),
            state: SlotState::Held,
        });
        self.commit(row);
    }

    fn revoke(&mut self, model: &ModelName, i: usize) {
        let mut row = self.row(model);
        for slot in row.slots.iter_mut().filter(|slot| slot.vm == vm(i)) {
            slot.state = SlotState::Revoking;
        }
        self.commit(row);
    }

    /// Removes a revoking slot from the row once its VM released it at the current row version.
    fn deliver_ack(&mut self, detail: u8) {
        if self.acks.is_empty() {
            return;
        }
        let steps_back = usize::from(detail) % self.acks.len().min(4);
        let (from, ack) = self.acks.remove(self.acks.len() - 1 - steps_back);
        let Some((row_version, row)) = self.rows.get(&ack.model).cloned() else {
            return;
        };
        if !ack.released || ack.row_version < row_version {
            return;
        }
        let mut row = row;
        let before = row.slots.len();
        row.slots
            .retain(|slot| slot.vm != from || slot.state != SlotState::Revoking);
        if row.slots.len() < before {
            self.counts.slots_released += 1;
            self.commit(row);
        }
    }

    fn restart_agent(&mut self, i: usize) {
        self.counts.agent_restarts += 1;
        let incarnation = self.agents[i].incarnation + 1;
        self.agents[i] = Agent::start(vm(i), incarnation, self.now_ms);
        self.read_table(i);
        self.read_status(i);
    }

    fn row(&self, model: &ModelName) -> PlacementRow {
        let found = self.rows.get(model).map(|(_, row)| row.clone());
        found.unwrap_or(PlacementRow {
            model: model.clone(),
            slots: Vec::new(),
        })
    }

    fn commit(&mut self, row: PlacementRow) {
        self.version += 1;
        self.history.push((self.version, row.clone()));
        self.rows.insert(row.model.clone(), (self.version, row));
    }
}

fn vm(i: usize) -> VmId {
    format!("vm{i}").into()
}

fn model(i: usize) -> ModelName {
    format!("m{i}").into()
}

fn version(detail: u8) -> chicorystage_api::name::VersionName {
    if detail.is_multiple_of(2) { "v1" } else { "v2" }.into()
}
