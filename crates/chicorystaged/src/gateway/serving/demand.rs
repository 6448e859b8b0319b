//! What a request needs of an endpoint, and what it adds to the demand for models.

use chicorystage_core::deployment::Configuration;
use chicorystage_core::fleet::{Prompt, Requirements};
use chicorystage_core::orders::AdapterRef;
use chicorystage_core::teams::Rank;

use crate::gateway::serving::Serving;

/// Divisor of the latency objective; the quotient limits how long a request is deferred while
/// endpoints process earlier prompts.
const DEFER_OBJECTIVE_DIVISOR: u64 = 3;

impl Serving {
    /// Returns what the request needs of an endpoint.
    ///
    /// Returns `None` where the route has no service, or the service runs models and the request
    /// names none or one that is not configured.
    pub(super) fn requirements(&self, configuration: &Configuration) -> Option<Requirements> {
        let service = self.work.route.service(rand::random::<u64>())?.clone();
        let engine = configuration
            .service(&service)
            .and_then(|service| service.engine.clone());
        let head = &self.work.head;
        let (model, adapter) = match engine {
            Some(engine) => {
                let model = head.model.clone()?;
                engine.models.get(&model)?;
                (Some(model), head.adapter.clone())
            }
            None => (None, None),
        };
        Some(Requirements {
            service,
            model,
            adapter,
            software: None,
            is_resumable: self.work.route.kind.is_resumable(),
            is_most_urgent: self.work.rank == Rank::default(),
            prompt: Prompt {
                tokens: head.prompt_tokens,
                defer_until_ms: self.work.arrived_ms
                    + self.work.route.objective_ms / DEFER_OBJECTIVE_DIVISOR,
            },
            avoid: Vec::new(),
        })
    }

    /// Counts the request for the retry budget and for the demand for its model and adapter.
    pub(super) fn record_demand(&self, requirements: &Requirements) {
        let now_ms = self.work.arrived_ms;
        let objective_ms = self.work.route.objective_ms;
        let service = &requirements.service;
        self.gateway.metrics.count_first_attempt(service);
        self.gateway.with(|view| {
            view.retries.record_first_attempt(now_ms, service);
            let Some(model) = &requirements.model else {
                return;
            };
            view.demand.record_requests(now_ms, model, 1, objective_ms);
            let requested = view
                .requested
                .entry(model.clone())
                .or_insert((0, objective_ms));
            requested.0 += 1;
            requested.1 = requested.1.min(objective_ms);
            if let Some(adapter) = &requirements.adapter {
                let adapter = AdapterRef {
                    model: model.clone(),
                    adapter: adapter.clone(),
                };
                view.demand.record_adapter_request(now_ms, &adapter);
                view.requested_adapters
                    .push((adapter.model, adapter.adapter));
            }
        });
    }
}
