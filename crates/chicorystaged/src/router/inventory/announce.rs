//! Telling the other routers of a revision.

use std::net::SocketAddr;
use std::sync::Arc;

use chicorystage_api::name::VmId;
use chicorystage_api::peer::RevisionHint;
use chicorystage_core::freshness::PeerContact;
use chicorystage_platform::link::RouterLink;
use tokio::sync::mpsc;

use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::inventory::InventoryEvent;
use crate::timer::Clock;

/// Tells one router and passes its answer to the loop and to `answers`.
pub(crate) async fn tell_router(
    routers: Arc<dyn RouterLink>,
    (vm, address): (VmId, SocketAddr),
    hint: RevisionHint,
    (handle, clock): (RouterHandle, Clock),
    answers: Option<mpsc::Sender<PeerContact>>,
) {
    let asked_ms = clock.now_ms();
    let Ok(ack) = routers.hint(address, hint).await else {
        return;
    };
    let contact = PeerContact {
        vm,
        asked_ms,
        revision: ack.revision,
        confirmed_age_ms: ack.confirmed_age_ms,
    };
    if let Some(answers) = answers {
        // Whoever counts the answers may have enough of them.
        let _sent = answers.send(contact.clone()).await;
    }
    let event = InventoryEvent::PeerAnswered(contact);
    handle.tell(RouterEvent::Inventory(event)).await;
}
