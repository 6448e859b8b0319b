use std::collections::HashMap;

use chicorystage_api::name::{AdapterName, ModelName};

/// Time for which no request for a model goes to an endpoint that answered that it does not have
/// the model, in milliseconds.
const MODEL_MISSING_MS: u64 = 600;
/// Time for which no request for an adapter goes to an endpoint that answered that it does not
/// have the adapter, in milliseconds.
const ADAPTER_MISSING_MS: u64 = 40;
/// Time for which no request goes to an endpoint at whose address another one answered, in
/// milliseconds; by then its registry entry has expired unless it lives.
const IDENTITY_REFUSED_MS: u64 = 3_000;
/// Number of answers in a row that something is missing after which an endpoint counts as another
/// one.
const MISSING_IN_ROW_MAX: u32 = 3;

/// What an endpoint's answers say about requests that were sent to the wrong place: models and
/// adapters that it lacks, and whether it is another endpoint than the registered one.
#[derive(Clone, Debug, Default)]
pub(super) struct Misdirection {
    missing_until_ms: HashMap<(ModelName, Option<AdapterName>), u64>,
    /// Number of answers in a row that a model or adapter is missing.
    missing_in_row: u32,
    identity_refused_until_ms: u64,
}

impl Misdirection {
    /// Records that another endpoint answered at the address.
    pub(super) fn identity_refused(&mut self, now_ms: u64) {
        self.identity_refused_until_ms = now_ms + IDENTITY_REFUSED_MS;
    }

    /// Records an answer that a model, or one adapter of it, is missing.
    ///
    /// An endpoint that has another one's address answers the same to every request, so after
    /// several such answers in a row it counts as another one.
    pub(super) fn missing_reported(
        &mut self,
        now_ms: u64,
        model: ModelName,
        adapter: Option<AdapterName>,
    ) {
        let missing_ms = if adapter.is_some() {
            ADAPTER_MISSING_MS
        } else {
            MODEL_MISSING_MS
        };
        self.missing_until_ms
            .insert((model, adapter), now_ms + missing_ms);
        self.missing_in_row += 1;
        if self.missing_in_row >= MISSING_IN_ROW_MAX {
            self.identity_refused(now_ms);
        }
    }

    /// Records that the endpoint served a request.
    pub(super) fn served(&mut self) {
        self.missing_in_row = 0;
    }

    /// Records that the endpoint has written its registry entry.
    pub(super) fn entry_written(&mut self) {
        self.identity_refused_until_ms = 0;
        self.missing_in_row = 0;
    }

    /// Forgets the missing models and adapters.
    pub(super) fn clear_missing(&mut self) {
        self.missing_until_ms.clear();
    }

    /// Forgets what the answers before a restart said.
    pub(super) fn restarted(&mut self) {
        self.missing_until_ms.clear();
        self.missing_in_row = 0;
    }

    /// Returns whether another endpoint answered at the address lately.
    #[must_use]
    pub(super) fn is_identity_refused(&self, now_ms: u64) -> bool {
        now_ms < self.identity_refused_until_ms
    }

    /// Returns whether the endpoint answered lately that a model, or one adapter of it, is missing.
    #[must_use]
    pub(super) fn is_missing(
        &self,
        now_ms: u64,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        let key = (model.clone(), adapter.cloned());
        let until_ms = self.missing_until_ms.get(&key);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }
}
