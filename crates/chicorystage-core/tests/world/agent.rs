use chicorystage_api::name::{AdapterName, ModelName, VmId};
use chicorystage_api::peer::{PlacementAck, PlacementRow};
use chicorystage_core::fence::{Fence, FenceStep};
use chicorystage_core::replicas::{OrderEnd, ReplicaKey, Replicas};
use chicorystage_core::slots::{SlotStatus, Slots};

use crate::world::engine::{Engine, IN_FLIGHT_MAX_MS, OrderKind, SentOrder};
use crate::world::status::Status;

/// The state machines of one agent, connected as in the agent daemon.
#[derive(Debug)]
pub struct Agent {
    pub incarnation: u64,
    pub fence: Fence,
    pub slots: Slots,
    pub replicas: Replicas,
}

impl Agent {
    pub fn start(vm: VmId, incarnation: u64, now_ms: u64) -> Self {
        Self {
            slots: Slots::new(vm),
            incarnation,
            fence: Fence::new(now_ms),
            replicas: Replicas::default(),
        }
    }

    /// Applies an engine status that may be outdated; may send a fencing order.
    pub fn apply_status(&mut self, engine: &mut Engine, status: &Status, arrives_ms: u64) {
        let step = self.fence.on_status(&status.fence);
        self.replicas.reconcile(
            engine.total_bytes,
            &status.observed,
            status.fence.requested_ms,
            IN_FLIGHT_MAX_MS,
        );
        if let FenceStep::Raise(token) = step {
            self.send(engine, 0, token, arrives_ms, OrderKind::Fence);
        }
    }

    pub fn load(&mut self, engine: &mut Engine, key: &ReplicaKey, now_ms: u64, delay_ms: u64) {
        let Some(token) = self.fence.token() else {
            return;
        };
        if self.slots.status(&key.model) != SlotStatus::Held {
            return;
        }
        let bytes = memory_bytes(key);
        if let Ok(order) = self.replicas.begin_load(key, bytes, now_ms) {
            let kind = OrderKind::Load(key.clone(), bytes);
            self.send(engine, order, token, now_ms + delay_ms, kind);
        }
    }

    pub fn load_adapter(
        &mut self,
        engine: &mut Engine,
        key: &ReplicaKey,
        now_ms: u64,
        delay_ms: u64,
    ) {
        let Some(token) = self.fence.token() else {
            return;
        };
        let begun = self
            .replicas
            .begin_adapter_load(key, &adapter(), ADAPTER_BYTES, now_ms);
        if let Ok(order) = begun {
            let kind = OrderKind::LoadAdapter(key.clone(), ADAPTER_BYTES);
            self.send(engine, order, token, now_ms + delay_ms, kind);
        }
    }

    pub fn unload(&mut self, engine: &mut Engine, key: &ReplicaKey, now_ms: u64, delay_ms: u64) {
        let Some(token) = self.fence.token() else {
            return;
        };
        if let Ok(order) = self.replicas.begin_unload(key, now_ms) {
            let kind = OrderKind::Unload(key.clone());
            self.send(engine, order, token, now_ms + delay_ms, kind);
        }
    }

    pub fn push(&mut self, row_version: u64, row: &PlacementRow) -> PlacementAck {
        self.slots.push(row_version, row);
        self.ack(&row.model)
    }

    pub fn ack(&self, model: &ModelName) -> PlacementAck {
        let is_rebuilt = self.fence.token().is_some();
        let is_unloaded = is_rebuilt && self.replicas.of_model(model).next().is_none();
        self.slots.ack(model, is_unloaded)
    }

    pub fn apply_answer(&mut self, sent: &SentOrder, end: OrderEnd, now_ms: u64) {
        if sent.incarnation == self.incarnation {
            self.replicas.end_order(sent.order, end, now_ms);
        }
    }

    fn send(&self, engine: &mut Engine, order: u64, fence: u64, arrives_ms: u64, kind: OrderKind) {
        engine.in_flight.push(SentOrder {
            order,
            incarnation: self.incarnation,
            fence,
            arrives_ms,
            kind,
        });
    }
}

/// Memory of the adapter, in bytes.
const ADAPTER_BYTES: u64 = 15;

fn adapter() -> AdapterName {
    "tone".into()
}

/// Memory of a replica, in bytes: any two models fit into an engine of 100 bytes, three don't.
fn memory_bytes(key: &ReplicaKey) -> u64 {
    match key.model.as_str() {
        "m0" => 55,
        "m1" => 45,
        _ => 40,
    }
}
