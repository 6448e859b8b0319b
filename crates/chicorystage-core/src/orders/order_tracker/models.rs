//! Orders to load and unload models.

use std::collections::HashSet;

use chicorystage_api::name::{EndpointId, ModelName};

use crate::deployment::{EngineSpec, ModelSpec};
use crate::fleet::FleetView;
use crate::orders::order_tracker::EnginePool;
use crate::orders::placement::{PlacementContext, PlacementStep};
use crate::orders::plan_table::PlanTable;
use crate::orders::{DemandTracker, EngineRecord, LoadSource, Order, OrderKind, OrderTracker};

/// Maximum number of new load or unload orders for models in one plan of a service.
const MODEL_ORDERS_MAX: usize = 6;
const MS_PER_S: f64 = 1_000.0;

impl OrderTracker {
    /// Plans orders that bring the models that requests wait for, or that are worth more replicas.
    pub(super) fn plan_models(
        &mut self,
        now_ms: u64,
        pool: EnginePool<'_>,
        fleet: &FleetView,
        demand: &DemandTracker,
        orders: &mut Vec<Order>,
    ) {
        self.load_reserved(now_ms, pool, orders);
        let mut table = PlanTable::new(now_ms, pool.spec, fleet, demand);
        for _ in 0..MODEL_ORDERS_MAX {
            let Some(step) = self.next_model_order(now_ms, pool, fleet, demand, &mut table) else {
                return;
            };
            if step.kind == OrderKind::Load && step.source == LoadSource::Store {
                self.store_limiter.record_start(now_ms);
            }
            if let (Some(reserved), Some(engine)) =
                (step.reserved, self.engines.get_mut(&step.endpoint))
            {
                engine.reserve(now_ms, reserved);
            }
            self.send(now_ms, &step.endpoint, step.model, step.kind, orders);
        }
    }

    /// Orders the loads of models that memory was freed for.
    ///
    /// A reservation ends if its model is not listed any more or does not fit after all.
    fn load_reserved(&mut self, now_ms: u64, pool: EnginePool<'_>, orders: &mut Vec<Order>) {
        let mut ready: Vec<(EndpointId, ModelName, LoadSource)> = Vec::new();
        for (id, engine) in &mut self.engines {
            if engine.service != *pool.service {
                continue;
            }
            let Some(model) = engine.loadable_reserved(now_ms).cloned() else {
                continue;
            };
            let listed = pool.spec.models.get(&model);
            if listed.is_some_and(|listed| engine.fits_after_unload(pool.spec, listed)) {
                let source = engine.source(&model);
                ready.push((id.clone(), model, source));
            } else {
                engine.cancel_reservation();
            }
        }
        for (id, model, source) in ready {
            if source == LoadSource::Store {
                self.store_limiter.record_start(now_ms);
            }
            self.send(now_ms, &id, model, OrderKind::Load, orders);
        }
    }

    fn next_model_order(
        &mut self,
        now_ms: u64,
        pool: EnginePool<'_>,
        fleet: &FleetView,
        demand: &DemandTracker,
        table: &mut PlanTable,
    ) -> Option<PlacementStep> {
        let spec = pool.spec;
        let store_has_capacity = self.store_has_capacity(now_ms, spec);
        let is_reachable = |engine: &&EngineRecord| {
            fleet
                .get(&engine.id)
                .is_some_and(|endpoint| endpoint.is_reachable(now_ms))
        };
        let engines = self.engines_of(pool.service).filter(is_reachable);
        let engines: Vec<&EngineRecord> = engines.collect();
        table.count_replicas(&engines);
        let mut context = PlacementContext {
            now_ms,
            spec,
            engines: &engines,
            states: &table.states,
            fleet,
            in_progress: &table.in_progress,
            store_has_capacity,
            displaced_value_min: 0.0,
        };
        context.displaced_value_min = context.lowest_displaced_value();
        let loading: HashSet<&ModelName> = engines
            .iter()
            .filter_map(|engine| engine.expected_model())
            .collect();
        let mut candidates: Vec<(f64, &ModelSpec)> = spec
            .models
            .values()
            .filter(|model| !loading.contains(&model.name))
            .filter_map(|model| Some((table.states.get(&model.name)?.next_replica_value(), model)))
            .filter(|(value, _)| context.can_displace(*value))
            .collect();
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name)));
        candidates.into_iter().find_map(|(value, model)| {
            let waited_ms = demand.waited_ms(now_ms, &model.name);
            context.best_step(model, value, waited_ms)
        })
    }

    fn store_has_capacity(&mut self, now_ms: u64, spec: &EngineSpec) -> bool {
        let running = self.loads_from_store();
        let changes = self
            .engines
            .values()
            .filter_map(|engine| engine.change.as_ref());
        for (expected_ms, elapsed_ms) in
            changes.filter_map(|change| change.store_load_times_ms(now_ms))
        {
            self.store_limiter
                .observe_running(now_ms, running, expected_ms, elapsed_ms);
        }
        let window_ms = self.settings.ceiling_window_ms;
        #[expect(
            clippy::cast_precision_loss,
            reason = "a window of seconds is far below the mantissa"
        )]
        let limit = spec.loads_per_s * self.settings.ceiling_factor * window_ms as f64 / MS_PER_S;
        self.store_limiter.allows(now_ms, running, window_ms, limit)
    }
}
