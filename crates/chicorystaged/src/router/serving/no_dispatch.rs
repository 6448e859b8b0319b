use chicorystage_api::name::VmId;
use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::ClaimTicket;
use chicorystage_borders::BoxFuture;
use chicorystage_borders::vm_list::VmEntry;

use crate::router::claims::{ClaimDispatch, StartFailure};

/// A dispatch that never delivers, for a call that was refused before its dispatch.
///
/// Lets the claim flow read the claim row of such a call without running it.
#[derive(Debug)]
pub(super) struct NoDispatch;

impl ClaimDispatch for NoDispatch {
    type Opened = ();

    fn time_left_ms(&self) -> u64 {
        0
    }

    fn choose<'a>(&'a self, _avoid: &'a [VmId]) -> BoxFuture<'a, Result<VmEntry, Refusal>> {
        Box::pin(async { Err(refused()) })
    }

    fn find<'a>(&'a self, _vm: &'a VmId) -> BoxFuture<'a, Result<Option<VmEntry>, Refusal>> {
        Box::pin(async { Err(refused()) })
    }

    fn start<'a>(
        &'a self,
        _vm: &'a VmEntry,
        _ticket: ClaimTicket,
    ) -> BoxFuture<'a, Result<(), StartFailure>> {
        Box::pin(async { Err(StartFailure::NotDelivered) })
    }

    fn attach<'a>(
        &'a self,
        _vm: &'a VmEntry,
        _attempt: AttemptRef,
    ) -> BoxFuture<'a, Result<(), StartFailure>> {
        Box::pin(async { Err(StartFailure::NotDelivered) })
    }
}

fn refused() -> Refusal {
    Refusal::not_run(RefusalCode::Internal, "the call was refused before")
}
