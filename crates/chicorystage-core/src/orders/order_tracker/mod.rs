mod adapters;
mod models;
mod uncached;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use chicorystage_api::name::{EndpointId, ModelName, ServiceName};

use crate::deployment::{Configuration, EngineSpec};
use crate::fleet::FleetView;
use crate::orders::placement::load_ms;
use crate::orders::{
    DemandTracker, EngineRecord, EngineReport, FormerOrders, LateOrders, Order, OrderKind,
    OrderReply, OrderTrackerSettings, StoreLoadLimiter,
};

/// Time after which an order without a conclusive reply is sent again, in milliseconds.
const ORDER_RETRY_MS: u64 = 400;
/// Pause before the next order to an engine that replied with a conflict, in milliseconds.
const CONFLICT_PAUSE_MS: u64 = 40;
/// Pause before the next order to an engine that rejected or fenced one, in milliseconds.
const REJECTED_PAUSE_MS: u64 = 2_000;

/// The engines of one service, and what they may hold.
#[derive(Clone, Copy, Debug)]
struct EnginePool<'a> {
    service: &'a ServiceName,
    spec: &'a EngineSpec,
}

/// Tracks the state of all engines at the lease holder and plans the orders to them.
#[derive(Clone, Debug)]
pub struct OrderTracker {
    settings: OrderTrackerSettings,
    engines: BTreeMap<EndpointId, EngineRecord>,
    /// Orders without an answer to engines that have no record now.
    late_orders: BTreeMap<EndpointId, LateOrders>,
    /// Orders of former holders; `None` where there was none.
    former_orders: Option<FormerOrders>,
    store_limiter: StoreLoadLimiter,
    /// Version of the configuration that the engines were last synchronized with.
    configuration_version: Option<u64>,
    /// Engines of that configuration, by service.
    specs: HashMap<ServiceName, Arc<EngineSpec>>,
}

impl OrderTracker {
    /// Creates a tracker without engines.
    #[must_use]
    pub fn new(settings: OrderTrackerSettings) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
            late_orders: BTreeMap::new(),
            former_orders: None,
            store_limiter: StoreLoadLimiter::default(),
            configuration_version: None,
            specs: HashMap::new(),
        }
    }

    /// Synchronizes the records with the registry.
    ///
    /// Adds ready engines, begins anew with those that have restarted, and removes those that have
    /// left or are not ready.
    pub fn sync_engines(&mut self, now_ms: u64, fleet: &FleetView, configuration: &Configuration) {
        self.remove_departed(now_ms, fleet);
        self.remember_sizes(configuration);
        let reuses_identities = fleet.states_starts();
        for (id, endpoint) in fleet.endpoints() {
            let entry = &endpoint.entry;
            let service = configuration.service(&entry.service);
            let is_engine = service.is_some_and(|service| service.engine.is_some());
            if !is_engine || !endpoint.is_ready() || self.engines.contains_key(id) {
                continue;
            }
            let late_orders = self.late_orders.remove(id).unwrap_or_default();
            let first_order_ms = if reuses_identities {
                self.first_order_ms(entry.born_unix_ms)
            } else {
                0
            };
            let record = EngineRecord::new(id.clone(), entry.service.clone(), entry.born_unix_ms)
                .with_late_orders(late_orders)
                .with_first_order_ms(first_order_ms);
            self.engines.insert(id.clone(), record);
        }
    }

    /// Remembers the sizes of what engines hold before a new configuration changes or drops them.
    fn remember_sizes(&mut self, configuration: &Configuration) {
        if self.configuration_version == Some(configuration.version) {
            return;
        }
        for engine in self.engines.values_mut() {
            if let Some(spec) = self.specs.get(&engine.service) {
                engine.remember_sizes(spec);
            }
        }
        let specs = configuration.engines();
        self.specs = specs
            .map(|(service, spec)| (service.clone(), Arc::clone(spec)))
            .collect();
        self.configuration_version = Some(configuration.version);
    }

    /// Removes the records of engines that have left, are not ready or have restarted.
    ///
    /// Keeps their orders without an answer, since an engine may come back under its identity.
    fn remove_departed(&mut self, now_ms: u64, fleet: &FleetView) {
        let is_same = |id: &EndpointId, record: &EngineRecord| {
            fleet.get(id).is_some_and(|endpoint| {
                endpoint.is_ready() && endpoint.entry.born_unix_ms == record.born_unix_ms
            })
        };
        let departed = self
            .engines
            .extract_if(.., |id, record| !is_same(id, record));
        for (id, record) in departed {
            let late_orders = record.into_late_orders(now_ms);
            self.late_orders.entry(id).or_default().extend(late_orders);
        }
        self.late_orders.retain(|_, late_orders| {
            late_orders.expire(now_ms);
            !late_orders.is_empty()
        });
    }

    /// Returns the time before which this process of an engine gets no order, in milliseconds.
    ///
    /// An engine that checks epochs refuses the orders of former holders after the first order of
    /// this one, which in turn is refused if one of theirs was carried out before it.
    fn first_order_ms(&self, born_unix_ms: Option<u64>) -> u64 {
        if self.settings.endpoints_check_epoch {
            return 0;
        }
        self.former_orders
            .map_or(0, |orders| orders.carried_out_until_ms(born_unix_ms))
    }

    /// Forgets what is known of all engines but their orders without an answer.
    ///
    /// A router that acquires the lease again knows engines as they were when it lost the lease.
    /// `former_orders` is `None` if no router has held the lease before.
    pub fn begin_epoch(&mut self, now_ms: u64, former_orders: Option<FormerOrders>) {
        self.former_orders = former_orders;
        for (id, record) in std::mem::take(&mut self.engines) {
            let late_orders = record.into_late_orders(now_ms);
            self.late_orders.entry(id).or_default().extend(late_orders);
        }
    }

    /// Returns the record of an engine, or `None` if the engine is not registered and ready.
    #[must_use]
    pub fn engine(&self, id: &EndpointId) -> Option<&EngineRecord> {
        self.engines.get(id)
    }

    /// Returns the engines whose status report is due, and schedules the next request of each.
    pub fn take_due_reports(&mut self, now_ms: u64) -> Vec<EndpointId> {
        let mut due = Vec::new();
        for (id, engine) in &mut self.engines {
            if now_ms >= engine.report_due_ms {
                engine.report_due_ms = now_ms + ORDER_RETRY_MS;
                due.push(id.clone());
            }
        }
        due
    }

    /// Applies an engine's status report; reports of unknown engines are ignored.
    pub fn apply_report(&mut self, now_ms: u64, id: &EndpointId, report: &EngineReport) {
        let running = self.loads_from_store();
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if let Some((expected_ms, elapsed_ms)) = engine.apply_report(now_ms, report) {
            self.store_limiter
                .observe_completed(now_ms, running, expected_ms, elapsed_ms);
        }
    }

    /// Returns the engines whose loaded models are known.
    pub fn known_engines(&self) -> impl Iterator<Item = &EngineRecord> {
        let engines = self.engines.values();
        engines.filter(|engine| engine.sequence.is_some())
    }

    /// Applies an engine's reply to an order.
    ///
    /// Replies to any order but the outstanding one are ignored. [`OrderReply::Unknown`] leaves
    /// the order outstanding, so that it is retried.
    pub fn apply_reply(
        &mut self,
        now_ms: u64,
        order: &Order,
        reply: OrderReply,
        configuration: &Configuration,
    ) {
        let Some(engine) = self.engines.get_mut(&order.endpoint) else {
            return;
        };
        let is_outstanding = engine
            .outstanding
            .as_ref()
            .is_some_and(|sent| sent.order == *order);
        if !is_outstanding {
            return;
        }
        if reply == OrderReply::Unknown {
            return;
        }
        engine.outstanding = None;
        match reply {
            OrderReply::Accepted => {
                let load_ms = expected_load_ms(configuration, engine, &order.model);
                engine.record_accepted(now_ms, order, load_ms);
            }
            OrderReply::Holds => engine.record_satisfied(now_ms, order),
            OrderReply::Conflict => {
                engine.wait_until_ms = now_ms + CONFLICT_PAUSE_MS;
                let is_waiting_for_unload =
                    order.kind == OrderKind::Load && engine.reserved() == Some(&order.model);
                if !is_waiting_for_unload {
                    engine.invalidate(now_ms);
                }
            }
            OrderReply::Rejected | OrderReply::Fenced => {
                engine.wait_until_ms = now_ms + REJECTED_PAUSE_MS;
                engine.invalidate(now_ms);
            }
            OrderReply::Unknown => {}
        }
    }

    /// Returns the orders to send now: retries, then adapters and models of each service.
    pub fn plan(
        &mut self,
        now_ms: u64,
        fleet: &FleetView,
        demand: &DemandTracker,
        configuration: &Configuration,
    ) -> Vec<Order> {
        for engine in self.engines.values_mut() {
            engine.tick(now_ms);
        }
        let mut orders = self.due_retries(now_ms);
        for (service, spec) in configuration.engines() {
            let pool = EnginePool { service, spec };
            self.plan_adapters(now_ms, pool, fleet, demand, &mut orders);
            self.plan_models(now_ms, pool, fleet, demand, &mut orders);
        }
        orders
    }

    /// Returns the outstanding orders to send again.
    ///
    /// A retry names the same expected count, so the engine accepts the order at most once and
    /// the reply resolves the outcome.
    fn due_retries(&mut self, now_ms: u64) -> Vec<Order> {
        let mut orders = Vec::new();
        for engine in self.engines.values_mut() {
            let due = engine.outstanding.as_ref();
            let due = due.filter(|sent| now_ms >= sent.retry_ms);
            let Some(order) = due.map(|sent| sent.order.clone()) else {
                continue;
            };
            engine.record_sent_again(now_ms, now_ms + ORDER_RETRY_MS);
            orders.push(order);
        }
        orders
    }

    /// Returns the engines of a service; a model of another one is never theirs to load.
    fn engines_of(&self, service: &ServiceName) -> impl Iterator<Item = &EngineRecord> {
        let engines = self.engines.values();
        engines.filter(move |engine| engine.service == *service)
    }

    fn loads_from_store(&self) -> u32 {
        let engines = self.engines.values();
        let loading = engines.filter(|engine| engine.loads_from_store()).count();
        u32::try_from(loading).unwrap_or(u32::MAX)
    }

    fn send(
        &mut self,
        now_ms: u64,
        id: &EndpointId,
        model: ModelName,
        kind: OrderKind,
        orders: &mut Vec<Order>,
    ) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let Some(expected_sequence) = engine.sequence else {
            return;
        };
        let order = Order {
            endpoint: id.clone(),
            model,
            kind,
            expected_sequence,
        };
        engine.record_sent(order.clone(), now_ms + ORDER_RETRY_MS);
        orders.push(order);
    }
}

fn expected_load_ms(
    configuration: &Configuration,
    engine: &EngineRecord,
    model: &ModelName,
) -> u64 {
    let service = configuration.service(&engine.service);
    let spec = service.and_then(|service| service.engine.as_ref());
    let model = spec.and_then(|spec| spec.models.get(model));
    model.map_or(0, |spec| load_ms(spec, engine.source(&spec.name)))
}
