use chicorystage_api::name::AdapterName;
use chicorystage_api::work::Completion;
use chicorystage_core::replicas::ReplicaKey;

/// The replica and adapter that must be loaded before a completion can run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) key: ReplicaKey,
    pub(crate) memory_bytes: u64,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) adapter_memory_bytes: u64,
    /// Row version of the router's slot grant; 0 if the request has none.
    pub(crate) granted_version: u64,
}

impl Target {
    pub(crate) fn new(completion: &Completion, granted_version: u64) -> Self {
        Self {
            key: ReplicaKey::new(&completion.model, &completion.version),
            memory_bytes: completion.model_memory_bytes,
            adapter: completion.adapter.clone(),
            adapter_memory_bytes: completion.adapter_memory_bytes,
            granted_version,
        }
    }
}
