//! Results of orders: updates the replicas and refuses attempts whose load failed.

use chicorystage_api::name::AdapterName;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_borders::BorderError;
use chicorystage_core::ledger::ReservationOwner;
use chicorystage_core::replicas::{EndedOrder, OrderEnd};

use crate::agent::main_loop::AgentLoop;

/// Retry delay that a refusal suggests after a failed load, in milliseconds.
const LOAD_RETRY_AFTER_MS: u64 = 500;

impl AgentLoop {
    /// Applies the result of an order to the replica tracker, the policy and the queue.
    ///
    /// An error of unknown effect leaves the replica unresolved until a status of the
    /// engine shows its state.
    pub(super) fn on_order_ended(
        &mut self,
        order: u64,
        result: Result<(), BorderError>,
        took_ms: u64,
        paced_locally: bool,
    ) {
        let now_ms = self.clock.now_ms();
        self.locally_paced_orders = if paced_locally {
            self.locally_paced_orders.saturating_add(1)
        } else {
            0
        };
        let end = match &result {
            Ok(()) => OrderEnd::Done,
            Err(error) if error.had_no_effect() => OrderEnd::NoEffect,
            Err(_unknown) => OrderEnd::Unknown,
        };
        if let Some(ended) = self.replicas.end_order(order, end, now_ms) {
            if ended.is_load && ended.adapter.is_none() && end == OrderEnd::Done {
                self.policy.record_load(&ended.replica, took_ms);
            }
            self.apply_order_result(&ended, result.err(), now_ms);
        }
        self.dispatch_due = true;
    }

    fn apply_order_result(&mut self, ended: &EndedOrder, error: Option<BorderError>, now_ms: u64) {
        self.metrics
            .count_order(kind_name(ended), end_name(ended.end));
        let owner = ReservationOwner {
            replica: ended.replica.clone(),
            adapter: ended.adapter.clone(),
        };
        let model = ended.replica.model.as_str();
        let adapter = ended.adapter.as_ref().map_or("", AdapterName::as_str);
        let Some(error) = error else {
            if ended.is_load {
                self.loaded_ms.insert(owner, now_ms);
                log::info!(event = "loaded", model, adapter; "load order done");
            } else {
                self.loaded_ms.remove(&owner);
                log::info!(event = "unloaded", model, adapter; "unload order done");
            }
            return;
        };
        log::warn!(event = "order_failed", model, adapter, error:% = error; "order failed");
        if ended.is_load {
            self.refuse_waiting_for_load(ended, &error);
        }
    }

    /// Refuses the queued attempts that waited for a failed load.
    fn refuse_waiting_for_load(&mut self, ended: &EndedOrder, error: &BorderError) {
        let waiting = self.queue.remove_where(|entry| {
            entry.item.target.as_ref().is_some_and(|target| {
                let needs_it = ended.adapter.is_none() || target.adapter == ended.adapter;
                target.key == ended.replica && needs_it
            })
        });
        for entry in waiting {
            let refusal = Refusal::not_run(RefusalCode::LoadFailed, error.to_string())
                .retry_after_ms(LOAD_RETRY_AFTER_MS);
            self.refuse(&entry.item.attempt, refusal);
        }
    }
}

fn kind_name(ended: &EndedOrder) -> &'static str {
    match (ended.is_load, ended.adapter.is_some()) {
        (true, false) => "load",
        (false, false) => "unload",
        (true, true) => "load_adapter",
        (false, true) => "unload_adapter",
    }
}

fn end_name(end: OrderEnd) -> &'static str {
    match end {
        OrderEnd::Done => "done",
        OrderEnd::NoEffect => "no_effect",
        OrderEnd::Unknown => "unknown",
    }
}
