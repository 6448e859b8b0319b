use chicorystage_api::name::VmId;
use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::Refusal;
use chicorystage_api::work::ClaimTicket;
use chicorystage_borders::BoxFuture;
use chicorystage_borders::vm_list::VmEntry;

/// How a claimed call reaches an agent.
pub trait ClaimDispatch: Send + Sync {
    /// Answer whose first frame has come.
    type Opened: Send;

    /// Returns the time left until the caller's deadline, in milliseconds.
    fn time_left_ms(&self) -> u64;

    /// Chooses a VM of the call's group.
    fn choose<'a>(&'a self, avoid: &'a [VmId]) -> BoxFuture<'a, Result<VmEntry, Refusal>>;

    /// Returns a VM's entry, or none where the platform's list has no such VM.
    fn find<'a>(&'a self, vm: &'a VmId) -> BoxFuture<'a, Result<Option<VmEntry>, Refusal>>;

    /// Dispatches a claimed epoch and waits for the first frame.
    fn start<'a>(
        &'a self,
        vm: &'a VmEntry,
        ticket: ClaimTicket,
    ) -> BoxFuture<'a, Result<Self::Opened, StartFailure>>;

    /// Opens the attempt of another dispatch from its first frame.
    fn attach<'a>(
        &'a self,
        vm: &'a VmEntry,
        attempt: AttemptRef,
    ) -> BoxFuture<'a, Result<Self::Opened, StartFailure>>;
}

/// Why a dispatch gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartFailure {
    /// The agent certainly never saw it.
    NotDelivered,
    /// The agent may have seen it.
    Unknown,
    /// The agent refused it.
    Refused(Refusal),
}
