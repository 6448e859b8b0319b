//! Which models and adapters an endpoint holds.

use chicorystage_api::name::{AdapterName, ModelName};

use crate::fleet::{Endpoint, LoadedModel, LoadingModel};

/// Time for which models reported by the lease holder override those in the registry, in
/// milliseconds.
const REPORT_VALID_MS: u64 = 3_000;
/// Models of an endpoint as last reported by the lease holder, the router that sends load and
/// unload orders to engines.
#[derive(Clone, Debug)]
pub(super) struct ModelReport {
    models: Vec<LoadedModel>,
    loading: Option<LoadingModel>,
    received_ms: u64,
}

impl Endpoint {
    /// Returns the models that are probably loaded on the endpoint.
    ///
    /// A report of the lease holder from the last 3 seconds takes precedence over the registry,
    /// which lags behind.
    #[must_use]
    pub fn models(&self, now_ms: u64) -> &[LoadedModel] {
        match &self.report {
            Some(report) if now_ms < report.received_ms + REPORT_VALID_MS => &report.models,
            _ => &self.entry.models,
        }
    }

    /// Returns the model that the endpoint is probably loading; `None` without a recent report of
    /// the lease holder.
    #[must_use]
    pub fn loading(&self, now_ms: u64) -> Option<&LoadingModel> {
        let report = self.report.as_ref()?;
        let is_recent = now_ms < report.received_ms + REPORT_VALID_MS;
        report.loading.as_ref().filter(|_| is_recent)
    }

    /// Returns whether a model is probably loaded on the endpoint.
    ///
    /// The result is false for 0.6 seconds after the endpoint answered that the model is missing.
    #[must_use]
    pub fn holds(&self, now_ms: u64, model: &ModelName) -> bool {
        self.find_model(now_ms, model).is_some()
            && !self.misdirection.is_missing(now_ms, model, None)
    }

    /// Returns whether an adapter of a model is probably loaded on the endpoint.
    ///
    /// The result is false for 40 ms after the endpoint answered that the adapter is missing.
    #[must_use]
    pub fn holds_adapter(&self, now_ms: u64, model: &ModelName, adapter: &AdapterName) -> bool {
        let Some(loaded) = self.find_model(now_ms, model) else {
            return false;
        };
        loaded.adapters.contains(adapter)
            && !self.misdirection.is_missing(now_ms, model, Some(adapter))
    }

    /// Stores the models that the lease holder reported, and clears all records of missing
    /// models.
    pub fn models_reported(
        &mut self,
        now_ms: u64,
        models: Vec<LoadedModel>,
        loading: Option<LoadingModel>,
    ) {
        self.report = Some(ModelReport {
            models,
            loading,
            received_ms: now_ms,
        });
        self.misdirection.clear_missing();
    }

    /// Records that the endpoint answered that a model, or one adapter of it, is missing.
    ///
    /// After several such answers in a row the endpoint counts as another one.
    pub fn missing_reported(
        &mut self,
        now_ms: u64,
        model: ModelName,
        adapter: Option<AdapterName>,
    ) {
        self.misdirection.missing_reported(now_ms, model, adapter);
    }

    fn find_model(&self, now_ms: u64, model: &ModelName) -> Option<&LoadedModel> {
        self.models(now_ms)
            .iter()
            .find(|loaded| loaded.model == *model)
    }
}
