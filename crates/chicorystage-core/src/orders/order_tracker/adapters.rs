//! Orders to load adapters that requests wait for, and to unload others for them.

use crate::fleet::FleetView;
use crate::orders::order_tracker::EnginePool;
use crate::orders::{AdapterRef, DemandTracker, EngineRecord, Order, OrderKind, OrderTracker};

/// Time after its last request for which an adapter is not unloaded, in milliseconds.
const ADAPTER_KEEP_MS: u64 = 400;

impl OrderTracker {
    /// Plans one order for each adapter that requests wait for, where an engine has its model.
    pub(super) fn plan_adapters(
        &mut self,
        now_ms: u64,
        pool: EnginePool<'_>,
        fleet: &FleetView,
        demand: &DemandTracker,
        orders: &mut Vec<Order>,
    ) {
        let spec = pool.spec;
        for (adapter, _count) in demand.waiting_adapters(now_ms) {
            let Some(model) = spec.models.get(&adapter.model) else {
                continue;
            };
            let is_available = self.engines_of(pool.service).any(|engine| {
                let adapters = engine.loaded.get(&adapter.model);
                let is_loaded = adapters.is_some_and(|loaded| loaded.contains(&adapter.adapter));
                let has_free_slot = fleet.occupancy(&engine.id) < spec.slots;
                (is_loaded && has_free_slot) || engine.expects_adapter(&adapter)
            });
            if is_available {
                continue;
            }
            let candidates = self.engines_of(pool.service).filter(|engine| {
                engine.can_accept_order(now_ms)
                    && engine
                        .loaded
                        .get(&adapter.model)
                        .is_some_and(|loaded| !loaded.contains(&adapter.adapter))
            });
            let Some(id) = candidates
                .min_by_key(|engine| fleet.occupancy(&engine.id))
                .map(|engine| engine.id.clone())
            else {
                continue;
            };
            let engine = &self.engines[&id];
            let has_capacity = engine.adapter_count() < spec.adapters_max
                && engine.memory_mb(spec) + model.adapter_mb <= spec.memory_mb;
            if has_capacity {
                let kind = OrderKind::LoadAdapter(adapter.adapter.clone());
                self.send(now_ms, &id, adapter.model.clone(), kind, orders);
            } else if !engine.is_unloading_adapter()
                && let Some(unused) = least_recent_adapter(now_ms, engine, demand)
            {
                let kind = OrderKind::UnloadAdapter(unused.adapter);
                self.send(now_ms, &id, unused.model, kind, orders);
            }
        }
    }
}

/// Returns the least recently requested adapter, or `None` if all were requested recently.
fn least_recent_adapter(
    now_ms: u64,
    engine: &EngineRecord,
    demand: &DemandTracker,
) -> Option<AdapterRef> {
    let loaded = engine.loaded.iter().flat_map(|(model, adapters)| {
        adapters.iter().map(|adapter| AdapterRef {
            model: model.clone(),
            adapter: adapter.clone(),
        })
    });
    let oldest = loaded.min_by_key(|adapter| demand.adapter_requested_ms(adapter))?;
    let requested_ms = demand.adapter_requested_ms(&oldest);
    (requested_ms == 0 || requested_ms + ADAPTER_KEEP_MS <= now_ms).then_some(oldest)
}
