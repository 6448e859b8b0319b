//! What a request needs of an endpoint, and what it adds to the demand for models.

use chicorystage_api::name::{AdapterName, ModelName, ServiceName};
use chicorystage_core::deployment::{Configuration, Route};
use chicorystage_core::fleet::{Prompt, Requirements};
use chicorystage_core::orders::AdapterRef;
use chicorystage_core::teams::Rank;

use crate::gateway::serving::Serving;

/// Divisor of the latency objective; the quotient limits how long a request is deferred while
/// endpoints process earlier prompts.
const DEFER_OBJECTIVE_DIVISOR: u64 = 3;

/// What a request names, from which its requirements follow.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Service that the request goes to.
    pub service: ServiceName,
    /// Model that the request names.
    pub model: Option<ModelName>,
    /// Adapter that the request names.
    pub adapter: Option<AdapterName>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Arrival on the gateway's clock, in milliseconds.
    pub arrived_ms: u64,
    /// Priority of team and route.
    pub rank: Rank,
}

impl Wanted {
    /// Returns what the request needs of an endpoint.
    ///
    /// Returns `None` where the service runs models and the request names none or one that is not
    /// configured.
    #[must_use]
    pub fn requirements(
        self,
        configuration: &Configuration,
        route: &Route,
    ) -> Option<Requirements> {
        let engine = configuration
            .service(&self.service)
            .and_then(|service| service.engine.as_ref());
        let (model, adapter) = match engine {
            Some(engine) => {
                let model = self.model?;
                engine.models.get(&model)?;
                (Some(model), self.adapter)
            }
            None => (None, None),
        };
        let is_most_urgent = configuration.goes_first(&self.service, self.rank);
        Some(Requirements {
            service: self.service,
            model,
            adapter,
            software: None,
            is_resumable: route.kind.is_resumable(),
            is_most_urgent,
            prompt: Prompt {
                tokens: self.prompt_tokens,
                defer_until_ms: self.arrived_ms + route.objective_ms / DEFER_OBJECTIVE_DIVISOR,
            },
            avoid: Vec::new(),
        })
    }
}

impl Serving {
    /// Returns what the request needs of an endpoint; `None` where the route has no service or the
    /// request names no model of it.
    pub(super) fn requirements(&self, configuration: &Configuration) -> Option<Requirements> {
        let route = &self.work.route;
        let head = &self.work.head;
        let wanted = Wanted {
            service: route.service(rand::random::<u64>())?.clone(),
            model: head.model.clone(),
            adapter: head.adapter.clone(),
            prompt_tokens: head.prompt_tokens,
            arrived_ms: self.work.arrived_ms,
            rank: self.work.rank,
        };
        wanted.requirements(configuration, route)
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
