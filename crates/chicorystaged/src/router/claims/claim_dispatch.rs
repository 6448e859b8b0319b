use chicorystage_api::name::VmId;
use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::Refusal;
use chicorystage_api::work::ClaimTicket;
use chicorystage_borders::BoxFuture;
use chicorystage_borders::vm_list::VmEntry;

/// Transport of a claimed call to an agent, used by the claim flow.
pub trait ClaimDispatch: Send + Sync {
    /// An answer whose first content frame was received.
    type Opened: Send;

    /// Returns the time left until the caller's deadline, in milliseconds; 0 once it has passed.
    fn time_left_ms(&self) -> u64;

    /// Chooses a VM of the call's group that is not in `avoid`.
    fn choose<'a>(&'a self, avoid: &'a [VmId]) -> BoxFuture<'a, Result<VmEntry, Refusal>>;

    /// Returns a VM's entry; `None` if the platform's list has no such VM.
    fn find<'a>(&'a self, vm: &'a VmId) -> BoxFuture<'a, Result<Option<VmEntry>, Refusal>>;

    /// Dispatches a claimed epoch and waits for the first content frame.
    fn start<'a>(
        &'a self,
        vm: &'a VmEntry,
        ticket: ClaimTicket,
    ) -> BoxFuture<'a, Result<Self::Opened, StartFailure>>;

    /// Follows an attempt that was dispatched earlier, from its first frame.
    fn attach<'a>(
        &'a self,
        vm: &'a VmEntry,
        attempt: AttemptRef,
    ) -> BoxFuture<'a, Result<Self::Opened, StartFailure>>;
}

/// Reason why a dispatch produced no first frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartFailure {
    /// The agent certainly did not receive the dispatch.
    NotDelivered,
    /// The agent may have received the dispatch.
    Unknown,
    /// The agent refused the dispatch, or the deadline passed; the refusal says whether it may have run.
    Refused(Refusal),
}
