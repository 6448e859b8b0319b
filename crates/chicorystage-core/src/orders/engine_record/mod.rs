mod capacity;
mod former_sizes;
mod readiness;

use std::collections::{BTreeMap, BTreeSet, HashSet};

use chicorystage_api::name::{AdapterName, EndpointId, ModelName, ServiceName};

use crate::orders::engine_record::former_sizes::FormerSizes;
use crate::orders::{
    AdapterRef, EngineReport, LateOrders, ModelChange, Order, OrderKind, OutstandingOrder,
};

/// Interval between status reports while an order is in progress, in milliseconds.
const REPORT_RETRY_MS: u64 = 120;
/// Interval between status reports of an engine without an order in progress, in milliseconds.
const REPORT_IDLE_MS: u64 = 4_000;
/// Delay until a status report shows a change of the engine, in milliseconds.
const REPORT_LAG_MS: u64 = 100;
/// Shortest duration of an unload, in milliseconds.
const UNLOAD_MIN_MS: u64 = 50;
/// Time from the acceptance of an adapter's load until the adapter is usable, in milliseconds.
const ADAPTER_LOAD_MS: u64 = 12;
/// Time for which an accepted adapter counts as loaded though a report omits it, in milliseconds.
const ADAPTER_OMITTED_MAX_MS: u64 = 500;
/// Time for which freed memory stays reserved for the model it was freed for, in milliseconds.
const RESERVATION_MS: u64 = 1_500;

/// The lease holder's view of one engine.
///
/// The view combines the engine's status reports, which lag behind, with the orders that were
/// sent to it and their replies.
#[derive(Clone, Debug)]
pub struct EngineRecord {
    /// Endpoint of the engine.
    pub id: EndpointId,
    /// Service of the engine.
    pub service: ServiceName,
    /// Start time of the engine, in milliseconds since the Unix epoch; `None` if unknown.
    pub born_unix_ms: Option<u64>,
    /// Number of orders accepted since the engine started; `None` until a report confirms it.
    pub sequence: Option<u64>,
    /// Loaded models, with their loaded adapters.
    pub loaded: BTreeMap<ModelName, BTreeSet<AdapterName>>,
    /// Order without a conclusive reply.
    pub outstanding: Option<OutstandingOrder>,
    /// Accepted load or unload that has not completed.
    pub change: Option<ModelChange>,
    /// Time before which no order is sent, in milliseconds.
    pub wait_until_ms: u64,
    /// Time at which the next status report is requested, in milliseconds.
    pub report_due_ms: u64,
    /// Adapters that are being loaded, with the time at which their load was accepted.
    loading_adapters: Vec<(AdapterRef, u64)>,
    /// Recently loaded adapters, with the time at which their load was accepted.
    recent_adapters: Vec<(AdapterRef, u64)>,
    /// Adapters whose unload was accepted and that keep their slots until no request uses them.
    unloading_adapters: Vec<AdapterRef>,
    /// Loads that were sent without an answer, also to earlier processes of the engine.
    late_orders: LateOrders,
    /// Sizes of held models under earlier configurations.
    former_sizes: FormerSizes,
    /// Model that memory was freed for, and the time until which the memory is reserved.
    reserved: Option<(ModelName, u64)>,
    /// Whether the engine carries out an order that this router did not send.
    has_foreign_order: bool,
    /// Time at which the load of each model was observed to complete, in milliseconds.
    loaded_ms: BTreeMap<ModelName, u64>,
    /// Whether a report has told which copies of weights the engine has.
    has_reported: bool,
    in_memory: HashSet<ModelName>,
    on_disk: HashSet<ModelName>,
}

impl EngineRecord {
    /// Creates the record of an engine that is registered and has not reported its state.
    #[must_use]
    pub fn new(id: EndpointId, service: ServiceName, born_unix_ms: Option<u64>) -> Self {
        Self {
            id,
            service,
            born_unix_ms,
            sequence: None,
            loaded: BTreeMap::new(),
            outstanding: None,
            change: None,
            wait_until_ms: 0,
            report_due_ms: 0,
            loading_adapters: Vec::new(),
            recent_adapters: Vec::new(),
            unloading_adapters: Vec::new(),
            late_orders: LateOrders::default(),
            former_sizes: FormerSizes::default(),
            reserved: None,
            has_foreign_order: false,
            loaded_ms: BTreeMap::new(),
            has_reported: false,
            in_memory: HashSet::new(),
            on_disk: HashSet::new(),
        }
    }

    /// Adds orders without an answer to earlier processes of the engine, which the new one may carry
    /// out.
    #[must_use]
    pub fn with_late_orders(mut self, late_orders: LateOrders) -> Self {
        self.late_orders = late_orders;
        self
    }

    /// Sets the time before which the engine gets no order, in milliseconds.
    #[must_use]
    pub fn with_first_order_ms(mut self, first_order_ms: u64) -> Self {
        self.wait_until_ms = first_order_ms;
        self
    }

    /// Returns the orders without an answer, which a later process of the engine may carry out.
    #[must_use]
    pub fn into_late_orders(mut self, now_ms: u64) -> LateOrders {
        if let Some(outstanding) = &self.outstanding {
            self.late_orders.record(now_ms, &outstanding.order);
        }
        self.late_orders
    }

    /// Records that the outstanding order is sent again, so that two of it may be on their way.
    pub fn record_sent_again(&mut self, now_ms: u64, retry_ms: u64) {
        let Some(sent) = &mut self.outstanding else {
            return;
        };
        sent.retry_ms = retry_ms;
        self.late_orders.record(now_ms, &sent.order);
    }

    /// Applies a status report, which may be older than the last accepted order.
    ///
    /// Returns the expected and the actual duration, in milliseconds, of a load from the weight
    /// store that the report shows to be complete. Returns `None` if it shows no such load.
    pub fn apply_report(&mut self, now_ms: u64, report: &EngineReport) -> Option<(f64, f64)> {
        self.has_reported = true;
        self.in_memory = report.in_memory.iter().cloned().collect();
        // An engine evicts the least recently used copies, so a report replaces the known set.
        self.on_disk = report.on_disk.iter().cloned().collect();
        self.report_due_ms = now_ms + REPORT_RETRY_MS;
        let is_old = self
            .sequence
            .is_some_and(|sequence| report.sequence < sequence);
        if is_old {
            return None;
        }
        if self.outstanding.is_some() {
            // Its reply decides; until then the count must not run ahead of what is known as loaded.
            return None;
        }
        let has_foreign_changes = self
            .sequence
            .is_some_and(|sequence| sequence < report.sequence);
        if has_foreign_changes {
            self.change = None;
            self.reserved = None;
        }
        self.sequence = Some(report.sequence);
        let Some(change) = self.change.clone() else {
            self.set_loaded(now_ms, report);
            self.has_foreign_order = report.is_busy;
            if !report.is_busy && self.unloading_adapters.is_empty() {
                self.report_due_ms = now_ms + REPORT_IDLE_MS;
            }
            return None;
        };
        let is_loaded = report
            .models
            .iter()
            .any(|loaded| loaded.model == *change.model());
        let is_done = match change {
            ModelChange::Loading { due_ms, .. } => {
                is_loaded || (!report.is_busy && now_ms > due_ms + REPORT_RETRY_MS)
            }
            ModelChange::Unloading { .. } => !report.is_busy && !is_loaded,
        };
        if is_done {
            self.change = None;
            self.set_loaded(now_ms, report);
            if is_loaded {
                self.loaded_ms.insert(change.model().clone(), now_ms);
            }
            self.report_due_ms = now_ms + REPORT_IDLE_MS;
        }
        (is_done && is_loaded)
            .then(|| change.store_load_times_ms(now_ms))
            .flatten()
    }

    /// Records that an order was sent, and removes what it unloads from the loaded models.
    pub fn record_sent(&mut self, order: Order, retry_ms: u64) {
        match &order.kind {
            OrderKind::Unload => {
                self.loaded.remove(&order.model);
            }
            OrderKind::UnloadAdapter(adapter) => {
                if let Some(adapters) = self.loaded.get_mut(&order.model) {
                    adapters.remove(adapter);
                }
            }
            OrderKind::Load | OrderKind::LoadAdapter(_) => {}
        }
        self.outstanding = Some(OutstandingOrder { order, retry_ms });
    }

    /// Records that the engine accepted an order; `load_ms` is the expected duration of a load.
    pub fn record_accepted(&mut self, now_ms: u64, order: &Order, load_ms: u64) {
        self.sequence = Some(order.expected_sequence + 1);
        let model = order.model.clone();
        match &order.kind {
            OrderKind::Load => {
                let source = self.source(&model);
                let due_ms = now_ms + load_ms;
                self.reserved = None;
                self.report_due_ms = due_ms + REPORT_LAG_MS;
                self.change = Some(ModelChange::Loading {
                    model,
                    source,
                    accepted_ms: now_ms,
                    due_ms,
                });
            }
            OrderKind::Unload => {
                self.report_due_ms = now_ms + REPORT_RETRY_MS;
                self.wait_until_ms = now_ms + UNLOAD_MIN_MS;
                self.change = Some(ModelChange::Unloading {
                    model,
                    due_ms: now_ms,
                });
            }
            OrderKind::LoadAdapter(adapter) => {
                let adapter = AdapterRef {
                    model,
                    adapter: adapter.clone(),
                };
                self.loading_adapters.push((adapter, now_ms));
            }
            OrderKind::UnloadAdapter(adapter) => {
                self.unloading_adapters.push(AdapterRef {
                    model,
                    adapter: adapter.clone(),
                });
                // Engines may count the order only once no request uses the adapter any more.
                self.sequence = None;
                self.report_due_ms = now_ms + REPORT_LAG_MS;
            }
        }
    }

    /// Records that the engine is in the state that an order requested, without further work.
    pub fn record_satisfied(&mut self, now_ms: u64, order: &Order) {
        if matches!(order.kind, OrderKind::UnloadAdapter(_)) {
            // An adapter without requests is unloaded at once, which counts as an accepted order.
            self.sequence = Some(order.expected_sequence + 1);
            return;
        }
        self.invalidate(now_ms);
    }

    /// Invalidates the known state, so that a report is required before the next order.
    pub fn invalidate(&mut self, now_ms: u64) {
        self.sequence = None;
        self.reserved = None;
        self.report_due_ms = now_ms;
    }

    /// Marks adapters as loaded when their load time has passed, and expires the reservation.
    pub fn tick(&mut self, now_ms: u64) {
        for (adapter, accepted_ms) in std::mem::take(&mut self.loading_adapters) {
            if accepted_ms + ADAPTER_LOAD_MS > now_ms {
                self.loading_adapters.push((adapter, accepted_ms));
                continue;
            }
            if let Some(adapters) = self.loaded.get_mut(&adapter.model) {
                adapters.insert(adapter.adapter.clone());
            }
            self.recent_adapters.push((adapter, accepted_ms));
        }
        self.recent_adapters
            .retain(|(_, accepted_ms)| now_ms < accepted_ms + ADAPTER_OMITTED_MAX_MS);
        self.late_orders.expire(now_ms);
        let is_over = |(_, until_ms): &(ModelName, u64)| now_ms >= *until_ms;
        if self.reserved.as_ref().is_some_and(is_over) {
            self.reserved = None;
        }
    }

    /// Reserves the memory that an unload frees for a model.
    pub fn reserve(&mut self, now_ms: u64, model: ModelName) {
        self.reserved = Some((model, now_ms + RESERVATION_MS));
    }

    /// Ends the reservation of freed memory.
    pub fn cancel_reservation(&mut self) {
        self.reserved = None;
    }

    /// Forgets the unloading adapters that a report no longer lists, and takes the others out of the
    /// loaded ones.
    fn remove_unloading_adapters(&mut self) {
        let loaded = &mut self.loaded;
        self.unloading_adapters
            .retain(|adapter| remove_adapter(loaded, adapter));
    }

    fn set_loaded(&mut self, now_ms: u64, report: &EngineReport) {
        let loaded = report.models.iter().map(|loaded| {
            let adapters = loaded.adapters.iter().cloned().collect();
            (loaded.model.clone(), adapters)
        });
        self.loaded = loaded.collect();
        self.remove_unloading_adapters();
        self.tick(now_ms);
        for (adapter, _) in &self.recent_adapters {
            if let Some(adapters) = self.loaded.get_mut(&adapter.model) {
                adapters.insert(adapter.adapter.clone());
            }
        }
        self.on_disk.extend(self.loaded.keys().cloned());
        self.forget_former_sizes();
    }
}

/// Removes an adapter from the loaded ones; returns whether it was among them.
fn remove_adapter(
    loaded: &mut BTreeMap<ModelName, BTreeSet<AdapterName>>,
    adapter: &AdapterRef,
) -> bool {
    let adapters = loaded.get_mut(&adapter.model);
    adapters.is_some_and(|adapters| adapters.remove(&adapter.adapter))
}
