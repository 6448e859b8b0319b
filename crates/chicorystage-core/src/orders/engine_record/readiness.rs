//! What an engine is doing and whether it accepts an order now.

use chicorystage_api::name::ModelName;

use crate::fleet::LoadingModel;
use crate::orders::{AdapterRef, EngineRecord, LoadSource, ModelChange, OrderKind};

impl EngineRecord {
    /// Returns the model that freed memory is reserved for.
    #[must_use]
    pub fn reserved(&self) -> Option<&ModelName> {
        self.reserved.as_ref().map(|(model, _)| model)
    }

    /// Returns the model that is being loaded, with the expected time of completion.
    #[must_use]
    pub fn loading_model(&self) -> Option<LoadingModel> {
        let Some(ModelChange::Loading { model, due_ms, .. }) = &self.change else {
            return None;
        };
        Some(LoadingModel {
            model: model.clone(),
            due_ms: *due_ms,
        })
    }

    /// Returns the fastest source from which the engine could load a model.
    #[must_use]
    pub fn source(&self, model: &ModelName) -> LoadSource {
        if self.in_memory.contains(model) {
            LoadSource::Memory
        } else if self.on_disk.contains(model) {
            LoadSource::Disk
        } else {
            LoadSource::Store
        }
    }

    /// Returns the models that the engine has loaded, is to load or has a copy of; one may come
    /// several times.
    pub fn cached_models(&self) -> impl Iterator<Item = &ModelName> {
        let copies = self.in_memory.iter().chain(&self.on_disk);
        copies
            .chain(self.loaded.keys())
            .chain(self.expected_model())
    }

    /// Returns whether a report has told which copies of weights the engine has.
    #[must_use]
    pub fn has_reported(&self) -> bool {
        self.has_reported
    }

    /// Returns the model whose load is requested, in progress or planned after an unload.
    #[must_use]
    pub fn expected_model(&self) -> Option<&ModelName> {
        let sent = self.outstanding.as_ref().map(|sent| &sent.order);
        let sent = sent.filter(|order| order.kind == OrderKind::Load);
        let loading = match &self.change {
            Some(ModelChange::Loading { model, .. }) => Some(model),
            Some(ModelChange::Unloading { .. }) | None => None,
        };
        sent.map(|order| &order.model)
            .or(loading)
            .or_else(|| self.reserved())
    }

    /// Returns whether the load of an adapter is requested or in progress.
    #[must_use]
    pub fn expects_adapter(&self, adapter: &AdapterRef) -> bool {
        let is_sent = self.outstanding.as_ref().is_some_and(|sent| {
            sent.order.model == adapter.model
                && sent.order.kind == OrderKind::LoadAdapter(adapter.adapter.clone())
        });
        is_sent
            || self
                .loading_adapters
                .iter()
                .any(|(loading, _)| loading == adapter)
    }

    /// Returns whether a load from the weight store is in progress, may be, or follows an unload.
    #[must_use]
    pub fn loads_from_store(&self) -> bool {
        let is_sent = self.outstanding.as_ref().is_some_and(|sent| {
            sent.order.kind == OrderKind::Load
                && self.source(&sent.order.model) == LoadSource::Store
        });
        let is_loading = matches!(
            &self.change,
            Some(ModelChange::Loading {
                source: LoadSource::Store,
                ..
            })
        );
        let is_reserved = self
            .reserved()
            .is_some_and(|model| self.source(model) == LoadSource::Store);
        is_sent || is_loading || is_reserved
    }

    /// Returns whether an order may be sent; an engine accepts none while one is in progress.
    #[must_use]
    pub fn can_accept_order(&self, now_ms: u64) -> bool {
        self.is_ready(now_ms) && self.change.is_none()
    }

    /// Returns the model whose load may be ordered into memory that an unload frees for it.
    ///
    /// The engine refuses the load while the unload is in progress, so the order is retried.
    #[must_use]
    pub fn loadable_reserved(&self, now_ms: u64) -> Option<&ModelName> {
        let is_not_loading = !matches!(self.change, Some(ModelChange::Loading { .. }));
        let reserved = self.reserved()?;
        (self.is_ready(now_ms) && is_not_loading).then_some(reserved)
    }

    fn is_ready(&self, now_ms: u64) -> bool {
        self.sequence.is_some()
            && self.outstanding.is_none()
            && !self.has_foreign_order
            && now_ms >= self.wait_until_ms
    }

    /// Returns whether a model was loaded within `recent_ms`.
    #[must_use]
    pub fn is_recently_loaded(&self, now_ms: u64, model: &ModelName, recent_ms: u64) -> bool {
        self.loaded_ms
            .get(model)
            .is_some_and(|loaded_ms| now_ms < loaded_ms + recent_ms)
    }
}
