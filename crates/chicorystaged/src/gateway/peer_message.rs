//! JSON messages that gateways send each other as datagrams.

use chicorystage_api::name::{
    AdapterName, Digest, EndpointId, ModelName, PromptPartId, ServiceName, SoftwareVersion,
    StreamId, VmId,
};
use chicorystage_api::peer::QuarantineEntry;
use chicorystage_core::fleet::UncachedModel;
use chicorystage_core::quota::{TeamLevel, TeamUse};
use chicorystage_core::request_limit::{KnownLimit, RequestGrant, TokenWish};
use chicorystage_core::suspects::prompt_parts::CrashReport;
use serde::{Deserialize, Serialize};

/// A datagram from one gateway to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// VM of the sender.
    pub from: VmId,
    /// Start of the sender's process on its VM's boot clock, in milliseconds.
    pub incarnation: u64,
    /// Version of the configuration in force at the sender; 0 before it has one.
    pub configuration: u64,
    /// Content by kind of message.
    pub content: PeerContent,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerContent {
    /// The sender's load and demand, for the lease holder.
    Load(LoadUpdate),
    /// Models and adapters of engines, from the lease holder.
    Placement(PlacementUpdate),
    /// Load of all gateways together, from the lease holder.
    Sum(TotalLoadUpdate),
    /// What teams have used of their quotas at the sender, for all while no lease holder is heard.
    TeamUse(Vec<TeamUse>),
    /// A request suspected to crash endpoints, after a crash.
    Suspect(QuarantineEntry),
    /// A request that was suspected to crash endpoints and has been answered.
    Cleared {
        /// Digest of the request.
        digest: Digest,
        /// Time of the answer, in milliseconds since the Unix epoch.
        answered_unix_ms: u64,
    },
    /// Prompt parts that may have caused an endpoint's crash.
    Crash(CrashReport),
    /// Prompt parts that another gateway suspects and the sender has seen answered.
    SoundParts {
        /// Service whose endpoint answered.
        service: ServiceName,
        /// The parts.
        parts: Vec<PromptPartId>,
    },
    /// Prompt parts that are suspected and that the sender saw answered some time ago.
    FormerlySoundParts {
        /// Service whose endpoint answered.
        service: ServiceName,
        /// The parts.
        parts: Vec<PromptPartId>,
    },
    /// A stream that has begun, or that the sender was asked for.
    Stream {
        /// The stream.
        stream: StreamId,
        /// Software version of the endpoint that began it.
        software: SoftwareVersion,
    },
    /// The sender needs the software version that began a stream.
    StreamWanted(StreamId),
    /// Limits that endpoints have named or named no more.
    Limits(Vec<KnownLimit>),
    /// Requests of the sender that want limited endpoints, for the lease holder.
    LimitWanted(Vec<LimitWish>),
    /// What the receiver may send to limited endpoints, from the lease holder.
    LimitGrants {
        /// Epoch of the sender's lease.
        epoch: u64,
        /// The grants.
        grants: Vec<LimitGrant>,
    },
}

/// Number of requests that want a limited endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitWish {
    /// The limit as the sender knows it.
    pub limit: KnownLimit,
    /// Tokens that requests wait for.
    pub wish: TokenWish,
}

/// What a gateway may send to one limited endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitGrant {
    /// The limit as the lease holder knows it.
    pub limit: KnownLimit,
    /// Tokens, and when more are expected.
    pub grant: RequestGrant,
}

/// Load and demand of one gateway.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Requests in progress by endpoint and model; no model for a plain application.
    pub in_progress: Vec<(EndpointId, Option<ModelName>, u32)>,
    /// Requests received since the last message by model, with the shortest latency objective in
    /// milliseconds.
    #[serde(rename = "asked")]
    pub requested: Vec<(ModelName, u32, u64)>,
    /// Number of requests that wait for a model, by model.
    pub waiting: Vec<(ModelName, u32)>,
    /// Number of requests that wait for an adapter of a loaded model, by model and adapter.
    pub waiting_adapters: Vec<(ModelName, AdapterName, u32)>,
    /// Adapters requested since the last message, one entry for each request.
    #[serde(rename = "asked_adapters")]
    pub requested_adapters: Vec<(ModelName, AdapterName)>,
    /// What teams have used of their quotas at the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamUse>,
}

/// Models and adapters of several engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementUpdate {
    /// Epoch of the sender's lease.
    pub epoch: u64,
    /// Engines whose state has changed, or all of them in a periodic repeat.
    pub engines: Vec<EngineUpdate>,
}

/// Models and adapters that one engine has loaded and is loading.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// Endpoint of the engine.
    pub endpoint: EndpointId,
    /// Start of the engine in Unix milliseconds, as registered; tells restarts apart.
    pub born_unix_ms: Option<u64>,
    /// Loaded models, each with its loaded adapters.
    pub models: Vec<(ModelName, Vec<AdapterName>)>,
    /// Model that is being loaded, and the expected time until it is loaded, in milliseconds.
    #[serde(default, rename = "coming")]
    pub loading: Option<(ModelName, u64)>,
}

impl EngineUpdate {
    /// Returns whether two updates are equal apart from the remaining time of a load.
    #[must_use]
    pub fn is_same_state(&self, other: &Self) -> bool {
        let loading = self.loading.as_ref().map(|(model, _)| model);
        let other_loading = other.loading.as_ref().map(|(model, _)| model);
        self.endpoint == other.endpoint
            && self.born_unix_ms == other.born_unix_ms
            && self.models == other.models
            && loading == other_loading
    }
}

/// Load of all gateways together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TotalLoadUpdate {
    /// Epoch of the sender's lease.
    pub epoch: u64,
    /// Requests in progress by endpoint, over all gateways; endpoints without any are left out.
    pub in_progress: Vec<(EndpointId, u32)>,
    /// Number of requests that wait for a model, by model, over all gateways.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waiting: Vec<(ModelName, u32)>,
    /// Models that only the weight store can bring.
    #[serde(default)]
    pub uncached: Vec<UncachedModel>,
    /// Limits that endpoints name, and those that ended lately.
    #[serde(default)]
    pub limits: Vec<KnownLimit>,
    /// What is left of the quotas of teams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamLevel>,
}
