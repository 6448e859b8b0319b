//! Collects this gateway's load and demand.

use std::collections::HashMap;
use std::rc::Rc;

use chicorystage_api::name::{AdapterName, ModelName};
use chicorystage_core::fleet::{Choice, waiting_valid_ms};
use chicorystage_core::orders::{AdapterRef, WaitQueueReport};

use crate::gateway::peer_message::LoadUpdate;
use crate::gateway::shared::Gateway;

/// Returns the load update to send now, and starts new counts of requested models and adapters.
///
/// A request that waits counts as demand for its model, or for its adapter where the model is
/// loaded. It counts as neither where an endpoint can be reserved or the request waits only
/// for endpoints to process earlier prompts.
pub(super) fn collect_load_update(gateway: &Rc<Gateway>) -> LoadUpdate {
    let now_ms = gateway.now_ms();
    gateway.with(|view| {
        let mut waiting: HashMap<ModelName, u32> = HashMap::new();
        let mut adapters: HashMap<(ModelName, AdapterName), u32> = HashMap::new();
        for waiter in &view.waiters {
            let Some(model) = &waiter.requirements.model else {
                continue;
            };
            let choice = view
                .fleet
                .choose(now_ms, &gateway.settings.zone, &waiter.requirements);
            match (choice, &waiter.requirements.adapter) {
                (Choice::NoAdapter, Some(adapter)) => {
                    *adapters
                        .entry((model.clone(), adapter.clone()))
                        .or_default() += 1;
                }
                (Choice::Endpoint(_) | Choice::Reading, _) => {}
                _ => *waiting.entry(model.clone()).or_default() += 1,
            }
        }
        let in_progress = view.fleet.endpoints().flat_map(|(id, endpoint)| {
            endpoint
                .in_progress()
                .map(move |(model, count)| (id.clone(), model.clone(), count))
        });
        let in_progress = in_progress.collect();
        let requested = std::mem::take(&mut view.requested);
        LoadUpdate {
            in_progress,
            requested: requested
                .into_iter()
                .map(|(model, (count, objective_ms))| (model, count, objective_ms))
                .collect(),
            waiting: waiting.into_iter().collect(),
            waiting_adapters: adapters
                .into_iter()
                .map(|((model, adapter), count)| (model, adapter, count))
                .collect(),
            requested_adapters: std::mem::take(&mut view.requested_adapters),
            teams: view.quotas.own_use(now_ms),
        }
    })
}

/// Records this gateway's own waiting requests as demand, like those of the others.
pub(super) fn record_own_waiting(gateway: &Rc<Gateway>, update: &LoadUpdate) {
    let now_ms = gateway.now_ms();
    let vm = gateway.settings.vm.clone();
    let models = update.waiting.iter().cloned().collect();
    let adapters = adapter_counts(update.waiting_adapters.clone());
    gateway.with(|view| {
        let report = WaitQueueReport {
            valid_until_ms: now_ms + waiting_valid_ms(view.gateways()),
            models,
            adapters,
        };
        view.demand.update_waiting(now_ms, vm, report);
    });
}

/// Returns the counts by adapter.
pub(super) fn adapter_counts(
    counts: Vec<(ModelName, AdapterName, u32)>,
) -> HashMap<AdapterRef, u32> {
    counts
        .into_iter()
        .map(|(model, adapter, count)| (AdapterRef { model, adapter }, count))
        .collect()
}
