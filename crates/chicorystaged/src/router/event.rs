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
    /// A caller's request is to be admitted or refused.
    Admit {
        /// Digest of the bearer token.
        token_sha256: Digest,
        /// Model or application that is requested.
        target: Target,
        /// Receives the decision.
        reply: oneshot::Sender<Result<Admission, Refusal>>,
    },
    /// An admitted request needs an endpoint for an attempt.
    Choose {
        /// Requirements of the request.
        request: ChooseRequest,
        /// Receives the decision.
        reply: oneshot::Sender<Result<Choice, Refusal>>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// VM that the attempt ran on.
        vm: VmId,
        /// Load that the endpoint last reported; `None` if the attempt carried no report.
        load: Option<EndpointLoad>,
    },
    /// An event of the serving path.
    Serving(ServingEvent),
    /// A snapshot of the newest inventory was read.
    InventoryRead(Snapshot),
    /// The list of VMs was read.
    VmsRead(Vec<VmEntry>),
    /// A placement row was read or written.
    PlacementRead(PlacementPush),
    /// The planner could not provide a slot that requests wait for.
    PlacementFailed {
        /// Model for which a slot was requested.
        model: ModelName,
        /// Refusal for the waiting requests.
        refusal: Refusal,
    },
    /// An event of the inventory.
    Inventory(InventoryEvent),
    /// Another process pushes quarantine entries.
    PushQuarantine {
        /// Entries to merge into the suspect list.
        entries: Vec<QuarantineEntry>,
        /// Receives the acknowledgement once the entries are in force.
        reply: oneshot::Sender<()>,
    },
    /// An operator requests a graceful stop.
    Drain {
        /// Receives the acknowledgement.
        reply: oneshot::Sender<()>,
    },
    /// An event of the planner.
    Planner(PlannerEvent),
    /// An agent requests or returns a permit to fetch weights.
    Permit(PermitEvent),
    /// A query for the router's state.
    Status {
        /// Receives the state.
        reply: oneshot::Sender<RouterStatus>,
    },
}

/// Model or application that a request names.
#[derive(Clone, Debug)]
pub enum Target {
    /// A completion on a model.
    Model(ModelRef),
    /// A call of a plain service.
    Application {
        /// Name of the service that is called.
        application: ApplicationName,
        /// HTTP method in upper case.
        method: String,
        /// Path below the service's root.
        path: String,
    },
}

/// Result of the admission of a request.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Caller who sent the request.
    pub caller: CallerItem,
    /// Inventory revision that the admission is based on.
    pub revision: u64,
    /// Group of endpoints that can run the request.
    pub group: GroupName,
    /// Timeout if the request names none, in milliseconds.
    pub timeout_default_ms: u64,
    /// Maximum timeout that the request may name, in milliseconds.
    pub timeout_max_ms: u64,
    /// The target's data from the inventory.
    pub resolved: Resolved,
}

/// A target with its data from the inventory.
#[derive(Clone, Debug)]
pub enum Resolved {
    /// A model with its version and sizes.
    Model {
        /// Reference with the version filled in.
        model: ModelRef,
        /// Memory of a replica, in bytes.
        model_memory_bytes: u64,
        /// Memory of the adapter, in bytes; 0 if the request names none.
        adapter_memory_bytes: u64,
    },
    /// A service call.
    Application {
        /// Whether repeating the call has no further effect.
        idempotent: bool,
    },
}

/// Endpoint chosen for an attempt.
#[derive(Debug)]
pub struct Choice {
    /// VM whose agent receives the attempt.
    pub vm: VmEntry,
    /// Placement row that shows the VM's slot; `None` if the request names no model.
    pub grant: Option<SlotGrant>,
    /// Estimated wait at the endpoint, in milliseconds.
    pub estimated_wait_ms: u64,
    /// Guard that counts the attempt as in flight on the VM until it is dropped.
    pub flight: InFlightGuard,
}
