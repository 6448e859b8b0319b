//! Messages between gateways.

use chicorystage_api::name::{AdapterName, EndpointId, ModelName, VmId};
use chicorystage_api::peer::QuarantineEntry;
use serde::{Deserialize, Serialize};

/// A datagram from one gateway to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// VM of the sender.
    pub from: VmId,
    /// Start of the sender's process.
    pub incarnation: u64,
    /// Version of the configuration that the sender follows.
    pub configuration: u64,
    /// What the message says.
    pub content: PeerContent,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerContent {
    /// What the sender has in progress and is asked for.
    Load(LoadNews),
    /// What engines hold, from the gateway that gives orders.
    Placement(PlacementNews),
    /// What all gateways together have in progress, from the gateway that gives orders.
    Sum(SumNews),
    /// A request under which a connection broke.
    Suspect(QuarantineEntry),
}

/// What a gateway has in progress and is asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNews {
    /// Requests in progress by endpoint and model.
    pub in_progress: Vec<(EndpointId, Option<ModelName>, u32)>,
    /// Requests since the last message by model, with the shortest objective in milliseconds.
    pub asked: Vec<(ModelName, u32, u64)>,
    /// Requests that wait for a model.
    pub waiting: Vec<(ModelName, u32)>,
    /// Requests that wait for an adapter.
    pub waiting_adapters: Vec<(ModelName, AdapterName, u32)>,
    /// Adapters asked for since the last message.
    pub asked_adapters: Vec<(ModelName, AdapterName)>,
}

/// What engines hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementNews {
    /// Epoch of the sender's lease.
    pub epoch: u64,
    /// Engines, each with its models and their adapters.
    pub engines: Vec<EngineNews>,
}

/// What one engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineNews {
    /// Endpoint of the engine.
    pub endpoint: EndpointId,
    /// Start of the engine.
    pub born_unix_ms: Option<u64>,
    /// Models with their adapters.
    pub models: Vec<(ModelName, Vec<AdapterName>)>,
    /// Model that is being loaded, and the time until it should be, in milliseconds.
    #[serde(default)]
    pub coming: Option<(ModelName, u64)>,
}

impl EngineNews {
    /// Returns whether two messages say the same but for the time until a load is done.
    #[must_use]
    pub fn says_same(&self, other: &Self) -> bool {
        let coming = self.coming.as_ref().map(|(model, _)| model);
        let other_coming = other.coming.as_ref().map(|(model, _)| model);
        self.endpoint == other.endpoint
            && self.born_unix_ms == other.born_unix_ms
            && self.models == other.models
            && coming == other_coming
    }
}

/// What all gateways together have in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SumNews {
    /// Epoch of the sender's lease.
    pub epoch: u64,
    /// Requests in progress by endpoint.
    pub in_progress: Vec<(EndpointId, u32)>,
}
