//! Simulated engines with a lease holder that sends them orders, in virtual time.

mod configuration;
mod engine;

use std::collections::{BTreeSet, HashMap};

use chicorystage_api::name::{AdapterName, EndpointId, ModelName, ServiceName, VmId, ZoneName};
use chicorystage_core::deployment::Configuration;
use chicorystage_core::fleet::{EndpointEntry, EndpointState, FleetView};
use chicorystage_core::orders::{
    AdapterRef, DemandTracker, EngineReport, FormerOrders, Order, OrderReply, OrderTracker,
    OrderTrackerSettings, WaitQueueReport,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub use configuration::{
    configuration, configuration_listing, configuration_of_size, configuration_of_two_services,
    configuration_with_adapterless, model,
};
use engine::Engine;

pub const MEMORY_MB: f64 = 220_000.0;
pub const MODEL_MB: f64 = 72_700.0;
pub const ADAPTER_MB: f64 = 66.0;
pub const ADAPTERS_MAX: usize = 8;
pub const MODELS: u32 = 14;
pub const ENGINES: u32 = 4;
pub const STEP_MS: u64 = 20;
pub const REPORT_LAG_MS: u64 = 100;
pub const STORE_LOAD_MS: u64 = 6_000;
pub const DISK_LOAD_MS: u64 = 1_200;
pub const WINDOW_MS: u64 = 5_000;
pub const LOADS_PER_S: f64 = 3.9;
pub const SCARCE_LOADS_PER_S: f64 = 0.8;
/// Time for which a report of waiting requests counts, in milliseconds.
pub const WAITING_VALID_MS: u64 = 1_000;
pub const CEILING_FACTOR: f64 = 1.1;

/// Returns a report of requests that wait for models and no adapter.
pub fn waiting_for_models(now_ms: u64, models: HashMap<ModelName, u32>) -> WaitQueueReport {
    WaitQueueReport {
        valid_until_ms: now_ms + WAITING_VALID_MS,
        models,
        adapters: HashMap::new(),
    }
}

pub fn new_tracker(endpoints_check_epoch: bool) -> OrderTracker {
    OrderTracker::new(OrderTrackerSettings {
        ceiling_window_ms: WINDOW_MS,
        ceiling_factor: CEILING_FACTOR,
        endpoints_check_epoch,
    })
}

/// Simulated engines and the order tracker of the gateway that sends them orders.
pub struct World {
    pub random: StdRng,
    pub now_ms: u64,
    pub configuration: Configuration,
    pub engines: HashMap<EndpointId, Engine>,
    pub fleet: FleetView,
    pub demand: DemandTracker,
    pub tracker: OrderTracker,
    /// Tracker of the router that held the lease before.
    pub former_tracker: OrderTracker,
    /// Replies in flight, with the time at which they arrive.
    pub replies: Vec<(u64, Order, OrderReply)>,
    pub reports: Vec<(u64, EndpointId, EngineReport)>,
    /// Orders in flight, with the time at which they arrive and the epoch of their sender.
    pub delayed_orders: Vec<(u64, u64, Order)>,
    /// Epoch of the lease under which orders are sent.
    pub epoch: u64,
    /// Disables message loss, delays, restarts and the random demand.
    pub is_fault_free: bool,
    /// Removes the copies on disk, so that each load reads the weight store.
    pub has_no_disk_copies: bool,
    /// Whether an engine that restarts has another identity; then none states its start.
    pub gives_new_identities: bool,
    /// Number of engines, from the first, that belong to the service `llm`; the others to `other`.
    pub llm_engines: u32,
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self::with_store(seed, STORE_LOAD_MS, LOADS_PER_S)
    }

    pub fn with_store(seed: u64, store_load_ms: u64, loads_per_s: f64) -> Self {
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            configuration: configuration(store_load_ms, loads_per_s),
            engines: HashMap::new(),
            fleet: FleetView::default(),
            demand: DemandTracker::default(),
            tracker: new_tracker(true),
            former_tracker: new_tracker(true),
            replies: Vec::new(),
            reports: Vec::new(),
            delayed_orders: Vec::new(),
            epoch: 1,
            is_fault_free: false,
            has_no_disk_copies: false,
            gives_new_identities: false,
            llm_engines: ENGINES,
        };
        for i in 0..ENGINES {
            let id = EndpointId::from(format!("e{i}"));
            let loaded = (0..3).map(|k| (model((i * 3 + k) % MODELS), BTreeSet::new()));
            let engine = Engine {
                loaded: loaded.collect(),
                on_disk: (0..MODELS)
                    .filter(|k| k % ENGINES != i)
                    .map(model)
                    .collect(),
                store_load_ms,
                counts_unloads_at_their_end: seed.is_multiple_of(2),
                ..Engine::default()
            };
            world.engines.insert(id.clone(), engine);
            world.register(&id);
        }
        world
    }

    /// Makes all engines carry out orders of any epoch, which the holders know.
    pub fn ignore_epochs(&mut self) {
        for engine in self.engines.values_mut() {
            engine.ignores_epochs = true;
        }
        self.tracker = new_tracker(false);
        self.former_tracker = new_tracker(false);
    }

    /// Makes each process of an engine have an identity of its own, without a stated start.
    pub fn give_new_identities(&mut self) {
        self.gives_new_identities = true;
        let ids: Vec<EndpointId> = self.engines.keys().cloned().collect();
        for id in ids {
            self.register(&id);
        }
    }

    pub fn register(&mut self, id: &EndpointId) {
        self.fleet.registered(EndpointEntry {
            id: id.clone(),
            service: self.service(id),
            address: ([127, 0, 0, 1], 9_000).into(),
            zone: ZoneName::from("z"),
            slots: 32,
            state: EndpointState::Ready,
            born_unix_ms: (!self.gives_new_identities).then(|| self.engines[id].started_ms),
            software: None,
            models: Vec::new(),
        });
    }

    fn service(&self, id: &EndpointId) -> ServiceName {
        let of_llm = (0..self.llm_engines).map(|i| format!("e{i}"));
        let is_llm = of_llm.into_iter().any(|llm| llm == id.as_str());
        ServiceName::from(if is_llm { "llm" } else { "other" })
    }

    /// Divides engines and models between two services.
    pub fn divide_services(&mut self) {
        self.llm_engines = ENGINES / 2;
        self.configuration = configuration_of_two_services();
        self.fleet = FleetView::default();
        let ids: Vec<EndpointId> = self.engines.keys().cloned().collect();
        for id in ids {
            self.register(&id);
        }
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        for engine in self.engines.values_mut() {
            if self.has_no_disk_copies {
                engine.on_disk.clear();
            }
            engine.advance(now_ms);
        }
        let delayed_orders: Vec<_> = self
            .delayed_orders
            .extract_if(.., |(at_ms, ..)| *at_ms <= now_ms)
            .collect();
        for (_, epoch, order) in delayed_orders {
            if let Some(engine) = self.engines.get_mut(&order.endpoint) {
                engine.receive(now_ms, epoch, &order);
            }
        }
        self.maybe_restart_engine();
        if !self.is_fault_free {
            self.record_random_demand();
        }
        self.deliver_messages();
        self.tracker
            .sync_engines(now_ms, &self.fleet, &self.configuration);
        for id in self.tracker.take_due_reports(now_ms) {
            if !self.is_fault_free && self.random.random_bool(0.1) {
                continue;
            }
            let report = self.engines[&id].lagging_report(now_ms);
            self.reports.push((now_ms + STEP_MS, id, report));
        }
        let orders = self
            .tracker
            .plan(now_ms, &self.fleet, &self.demand, &self.configuration);
        for order in orders {
            self.send(order);
        }
    }

    pub fn maybe_restart_engine(&mut self) {
        if self.is_fault_free || !self.random.random_bool(0.002) {
            return;
        }
        let id = self.random_engine();
        let on_disk = self.engines[&id].on_disk.clone();
        let store_load_ms = self.engines[&id].store_load_ms;
        let restarted = Engine {
            started_ms: self.now_ms,
            on_disk,
            store_load_ms,
            counts_unloads_at_their_end: self.engines[&id].counts_unloads_at_their_end,
            ignores_epochs: self.engines[&id].ignores_epochs,
            ..Engine::default()
        };
        let id = if self.gives_new_identities {
            self.engines.remove(&id);
            self.fleet.removed(&id);
            EndpointId::from(format!("{id}'"))
        } else {
            id
        };
        self.engines.insert(id.clone(), restarted);
        self.register(&id);
    }

    fn random_engine(&mut self) -> EndpointId {
        let number = self.random.random_range(0..ENGINES);
        let first = format!("e{number}");
        let mut ids = self.engines.keys();
        let id = ids.find(|id| id.as_str().trim_end_matches('\'') == first);
        id.cloned().expect("each engine has one process")
    }

    /// Records demand for a random model and adapter; low model numbers are far more frequent.
    pub fn record_random_demand(&mut self) {
        let now_ms = self.now_ms;
        let skew = self
            .random
            .random_range(0..MODELS)
            .min(self.random.random_range(0..MODELS));
        let model = model(skew);
        self.demand.record_requests(now_ms, &model, 1, 300);
        let is_loaded = self
            .engines
            .values()
            .any(|engine| engine.loaded.contains_key(&model));
        let adapter = AdapterRef {
            model: model.clone(),
            adapter: AdapterName::from(format!("a{}", self.random.random_range(0..12))),
        };
        let mut waiting = HashMap::new();
        let mut adapters = HashMap::new();
        if is_loaded {
            self.demand.record_adapter_request(now_ms, &adapter);
            self.use_adapter(&adapter);
            adapters.insert(adapter, 1);
        } else {
            waiting.insert(model, 1);
        }
        let report = WaitQueueReport {
            valid_until_ms: now_ms + WAITING_VALID_MS,
            models: waiting,
            adapters,
        };
        self.demand
            .update_waiting(now_ms, VmId::from("gateway"), report);
    }

    /// Starts a request for the adapter at an engine that has loaded it, if there is one.
    pub fn use_adapter(&mut self, adapter: &AdapterRef) {
        let until_ms = self.now_ms + self.random.random_range(50..3_000);
        let key = (adapter.model.clone(), adapter.adapter.clone());
        let engine = self.engines.values_mut().find(|engine| {
            let adapters = engine.loaded.get(&adapter.model);
            adapters.is_some_and(|loaded| loaded.contains(&adapter.adapter))
                && !engine.draining.contains(&key)
        });
        if let Some(engine) = engine {
            engine.in_use_until_ms.insert(key, until_ms);
        }
    }

    /// Passes the lease to the router that held it before, whose view of the engines is as old.
    pub fn hand_over(&mut self) {
        self.epoch += 1;
        std::mem::swap(&mut self.tracker, &mut self.former_tracker);
        let former_orders = FormerOrders::before(self.now_ms, self.now_ms);
        self.tracker.begin_epoch(self.now_ms, Some(former_orders));
        self.demand = DemandTracker::default();
        self.replies.clear();
        self.reports.clear();
    }

    pub fn send(&mut self, order: Order) {
        let now_ms = self.now_ms;
        let outcome = if self.is_fault_free {
            99
        } else {
            self.random.random_range(0..100)
        };
        match outcome {
            0..8 => {}
            8..20 => {
                let at_ms = now_ms + self.random.random_range(2_000..12_000);
                self.delayed_orders.push((at_ms, self.epoch, order));
            }
            20..28 => {
                let engine = self
                    .engines
                    .get_mut(&order.endpoint)
                    .expect("a known engine");
                engine.receive(now_ms, self.epoch, &order);
            }
            _ => {
                let engine = self
                    .engines
                    .get_mut(&order.endpoint)
                    .expect("a known engine");
                let reply = engine.receive(now_ms, self.epoch, &order);
                self.replies.push((now_ms + STEP_MS, order, reply));
            }
        }
    }

    pub fn deliver_messages(&mut self) {
        let now_ms = self.now_ms;
        let replies: Vec<_> = self
            .replies
            .extract_if(.., |(at_ms, ..)| *at_ms <= now_ms)
            .collect();
        for (_, order, reply) in replies {
            self.tracker
                .apply_reply(now_ms, &order, reply, &self.configuration);
        }
        let reports: Vec<_> = self
            .reports
            .extract_if(.., |(at_ms, ..)| *at_ms <= now_ms)
            .collect();
        for (_, id, report) in reports {
            self.tracker.apply_report(now_ms, &id, &report);
        }
    }

    pub fn run_ms(&mut self, time_ms: u64) {
        for _ in 0..time_ms / STEP_MS {
            self.step();
        }
    }
}
