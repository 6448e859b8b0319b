//! Events of the router's main loop.

use chicorystage_api::inventory::ModelRef;
use chicorystage_api::inventory::{CallerItem, Snapshot};
use chicorystage_api::name::{ApplicationName, Digest, GroupName, ModelName, VmId};
use chicorystage_api::peer::{PlacementPush, QuarantineEntry, RouterStatus};
use chicorystage_api::refusal::Refusal;
use chicorystage_api::work::{EndpointLoad, SlotGrant};
use chicorystage_borders::vm_list::VmEntry;
use tokio::sync::oneshot;

use crate::router::inventory::InventoryEvent;
use crate::router::permits::PermitEvent;
use crate::router::planner::PlannerEvent;
use crate::router::serving::{ChooseRequest, InFlightGuard, ServingEvent};

/// One event of the router's main loop.
#[derive(Debug)]
pub enum RouterEvent {
    /// A caller's request asks to be admitted.
    Admit {
        /// Digest of the bearer token.
        token_sha256: Digest,
        /// What the request is for.
        target: Target,
        /// Receives the decision.
        reply: oneshot::Sender<Result<Admission, Refusal>>,
    },
    /// An admitted request asks where to run.
    Choose {
        /// What it needs.
        request: ChooseRequest,
        /// Receives the decision.
        reply: oneshot::Sender<Result<Choice, Refusal>>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// VM that it ran on.
        vm: VmId,
        /// Load that the endpoint last reported with it.
        load: Option<EndpointLoad>,
    },
    /// The serving path has news or a question.
    Serving(ServingEvent),
    /// A newer inventory was read.
    InventoryRead(Snapshot),
    /// The list of VMs was read.
    VmsRead(Vec<VmEntry>),
    /// A placement row was read or written.
    PlacementRead(PlacementPush),
    /// A placement that a request waits for could not be decided.
    PlacementFailed {
        /// Model without a slot.
        model: ModelName,
        /// Why.
        refusal: Refusal,
    },
    /// An event of the inventory's part.
    Inventory(InventoryEvent),
    /// A router or operator delivers quarantined digests.
    PushQuarantine {
        /// The digests.
        entries: Vec<QuarantineEntry>,
        /// Receives the acknowledgement once they are in force.
        reply: oneshot::Sender<()>,
    },
    /// An operator asks for a graceful stop.
    Drain {
        /// Receives the acknowledgement.
        reply: oneshot::Sender<()>,
    },
    /// The planner has news or a question.
    Planner(PlannerEvent),
    /// An agent asks for or returns a permit.
    Permit(PermitEvent),
    /// Somebody asks for the router's state.
    Status {
        /// Receives the state.
        reply: oneshot::Sender<RouterStatus>,
    },
}

/// What a request is for.
#[derive(Clone, Debug)]
pub enum Target {
    /// A completion on a model.
    Model(ModelRef),
    /// A call of a plain service.
    Application {
        /// Service that is called.
        application: ApplicationName,
        /// HTTP method in capitals.
        method: String,
        /// Path below the service's root.
        path: String,
    },
}

/// Decision to take a request on.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Caller who sent the request.
    pub caller: CallerItem,
    /// Inventory revision by which it was admitted.
    pub revision: u64,
    /// Group of endpoints that can run it.
    pub group: GroupName,
    /// Time that it has where it names none, in milliseconds.
    pub timeout_default_ms: u64,
    /// Longest time that it may ask for, in milliseconds.
    pub timeout_max_ms: u64,
    /// What was resolved from the inventory.
    pub resolved: Resolved,
}

/// A target as resolved from the inventory.
#[derive(Clone, Debug)]
pub enum Resolved {
    /// A model with its version and sizes.
    Model {
        /// Reference with the version filled in.
        model: ModelRef,
        /// Memory of a replica, in bytes.
        model_memory_bytes: u64,
        /// Memory of the adapter, in bytes; 0 without one.
        adapter_memory_bytes: u64,
    },
    /// A service call.
    Application {
        /// Whether it may be repeated without a second effect.
        idempotent: bool,
    },
}

/// Decision where to run a request.
#[derive(Debug)]
pub struct Choice {
    /// VM whose agent is tried next.
    pub vm: VmEntry,
    /// Evidence of the VM's slot, for a model request.
    pub grant: Option<SlotGrant>,
    /// Estimated wait there, in milliseconds.
    pub estimated_wait_ms: u64,
    /// Counts the attempt as sent there until it is dropped.
    pub flight: InFlightGuard,
}
