//! Announces a revision to the other routers.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::admin::{ChangeAnswer, ChangeStatus};
use chicorystage_api::inventory::ChangeRecord;
use chicorystage_api::name::{GroupName, VmId};
use chicorystage_api::peer::RevisionHint;
use chicorystage_borders::link::RouterLink;
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::freshness::PeerAnswer;
use tokio::sync::mpsc;

use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::inventory::InventoryEvent;
use crate::timer::Clock;

/// Maximum time to collect acknowledgements, in milliseconds.
const ACKNOWLEDGE_MAX_MS: u64 = 2_500;
/// Capacity of the channel of acknowledgements that are not counted yet.
const ANSWERS_BUFFERED: usize = 64;

/// Announces a commit to the listed routers and counts their acknowledgements.
#[derive(Clone)]
pub(crate) struct Announcer {
    own_vm: VmId,
    group: GroupName,
    routers: Arc<dyn RouterLink>,
    handle: RouterHandle,
    clock: Clock,
}

impl Announcer {
    pub(crate) fn new(
        (own_vm, group): (VmId, GroupName),
        routers: Arc<dyn RouterLink>,
        handle: RouterHandle,
        clock: Clock,
    ) -> Self {
        Self {
            own_vm,
            group,
            routers,
            handle,
            clock,
        }
    }

    /// Applies a committed record here and at the other listed routers.
    ///
    /// The status is `Accepted` once a majority of the listed routers have
    /// acknowledged the revision, else `Committed`.
    pub(crate) async fn announce(&self, record: ChangeRecord) -> ChangeAnswer {
        let (change_id, revision) = (record.change_id.clone(), record.revision);
        let applied_here = self
            .handle
            .ask_inventory(|reply| InventoryEvent::Committed {
                record: record.clone(),
                reply,
            })
            .await;
        let vms = self
            .handle
            .ask_inventory(|reply| InventoryEvent::Vms { reply })
            .await
            .flatten();
        let routers: HashMap<VmId, VmEntry> = vms
            .unwrap_or_default()
            .into_iter()
            .filter(|(_, vm)| vm.group == self.group)
            .collect();
        let mut acknowledged = self.collect_acknowledgements(&routers, record).await;
        if applied_here == Some(true) {
            acknowledged.push(self.own_vm.clone());
        }
        acknowledged.sort();
        // Only listed routers count for the majority; this one may not be listed.
        let listed = routers.len();
        let mut unconfirmed: Vec<VmId> = routers.into_keys().collect();
        unconfirmed.retain(|vm| !acknowledged.contains(vm));
        unconfirmed.sort();
        let votes = listed - unconfirmed.len();
        let status = if votes * 2 > listed {
            ChangeStatus::Accepted
        } else {
            ChangeStatus::Committed
        };
        ChangeAnswer {
            change_id,
            revision,
            status,
            acknowledged,
            unconfirmed,
        }
    }

    async fn collect_acknowledgements(
        &self,
        routers: &HashMap<VmId, VmEntry>,
        record: ChangeRecord,
    ) -> Vec<VmId> {
        let revision = record.revision;
        let hint = RevisionHint {
            from: self.own_vm.clone(),
            revision,
            confirmed_age_ms: 0,
            record: Some(record),
        };
        let (answers, mut answered) = mpsc::channel::<PeerAnswer>(ANSWERS_BUFFERED);
        for vm in routers.values().filter(|vm| vm.id != self.own_vm) {
            tokio::spawn(send_hint(
                Arc::clone(&self.routers),
                (vm.id.clone(), vm.address),
                hint.clone(),
                (self.handle.clone(), self.clock),
                Some(answers.clone()),
            ));
        }
        drop(answers);
        let mut acknowledged = Vec::new();
        let count_answers = async {
            while let Some(answer) = answered.recv().await {
                if answer.revision >= revision {
                    acknowledged.push(answer.vm);
                }
            }
        };
        // Routers that have not answered by then are reported as unconfirmed.
        let _all_answered =
            tokio::time::timeout(Duration::from_millis(ACKNOWLEDGE_MAX_MS), count_answers).await;
        acknowledged
    }
}

impl fmt::Debug for Announcer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Announcer")
            .field("own", &self.own_vm)
            .finish_non_exhaustive()
    }
}

/// Sends a hint to one router and passes its answer to the main loop and to `answers`.
///
/// A failed call is ignored.
pub(crate) async fn send_hint(
    routers: Arc<dyn RouterLink>,
    (vm, address): (VmId, SocketAddr),
    hint: RevisionHint,
    (handle, clock): (RouterHandle, Clock),
    answers: Option<mpsc::Sender<PeerAnswer>>,
) {
    let asked_ms = clock.now_ms();
    let Ok(ack) = routers.hint(address, hint).await else {
        return;
    };
    let answer = PeerAnswer {
        vm,
        query_sent_ms: asked_ms,
        revision: ack.revision,
        confirmed_age_ms: ack.confirmed_age_ms,
    };
    if let Some(answers) = answers {
        // The receiver is dropped once the time to collect answers has passed.
        let _sent = answers.send(answer.clone()).await;
    }
    let event = InventoryEvent::PeerAnswered(answer);
    handle.send(RouterEvent::Inventory(event)).await;
}
