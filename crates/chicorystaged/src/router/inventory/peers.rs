use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::name::{GroupName, VmId};
use chicorystage_api::peer::{ChangesQuery, RevisionHint};
use chicorystage_borders::link::RouterLink;
use chicorystage_borders::vm_list::{VmEntry, VmState};
use chicorystage_core::freshness::Probe;
use chicorystage_core::rendezvous;
use tokio::time::timeout;

use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::inventory::InventoryEvent;
use crate::router::inventory::announce::send_hint;
use crate::timer::Clock;

/// Minimum interval between two rounds of probes to peers, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;
/// Maximum time to fetch changes from a peer, in milliseconds.
const FETCH_MAX_MS: u64 = 2_000;
/// Number of peers in a [`Probe::Few`] round, which needs one peer that has read the head.
const PROBE_FEW: usize = 3;

/// The other routers: which are listed, and the probes and fetches sent to them.
pub(crate) struct Peers {
    own_vm: VmId,
    group: GroupName,
    routers: Arc<dyn RouterLink>,
    handle: RouterHandle,
    clock: Clock,
    vms: Option<HashMap<VmId, VmEntry>>,
    fetching: bool,
    probed_ms: Option<u64>,
}

impl Peers {
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
            vms: None,
            fetching: false,
            probed_ms: None,
        }
    }

    /// Returns the listed VMs; `None` if the list was never read.
    pub(crate) fn vms(&self) -> Option<&HashMap<VmId, VmEntry>> {
        self.vms.as_ref()
    }

    pub(crate) fn set_vms(&mut self, vms: HashMap<VmId, VmEntry>) {
        self.vms = Some(vms);
    }

    /// Returns the listed routers, this one included.
    pub(crate) fn listed_routers(&self) -> BTreeSet<VmId> {
        self.listed().map(|vm| vm.id.clone()).collect()
    }

    /// Returns whether this router ranks first among the live routers for a rendezvous key.
    pub(crate) fn is_first_router(&self, key: &str) -> bool {
        let live = self.listed().filter(|vm| vm.state == VmState::Live);
        let first = live.max_by_key(|vm| rendezvous::weight(key, vm.id.as_str()));
        first.is_some_and(|vm| vm.id == self.own_vm)
    }

    /// Fetches the changes after a revision from a peer.
    ///
    /// Does nothing if another fetch is in progress or the peer is not listed.
    pub(crate) fn fetch_from(&mut self, vm: &VmId, since_revision: u64) {
        let entry = self.vms.as_ref().and_then(|vms| vms.get(vm));
        let Some(address) = entry.map(|entry| entry.address) else {
            return;
        };
        if std::mem::replace(&mut self.fetching, true) {
            return;
        }
        let query = ChangesQuery {
            vm: self.own_vm.clone(),
            since_revision,
            wait_ms: 0,
        };
        let (routers, handle) = (Arc::clone(&self.routers), self.handle.clone());
        tokio::spawn(async move {
            let max_wait = Duration::from_millis(FETCH_MAX_MS);
            let fetched = timeout(max_wait, routers.changes(address, query)).await;
            let changes = fetched.ok().and_then(Result::ok);
            let event = InventoryEvent::ChangesFetched(changes);
            handle.send(RouterEvent::Inventory(event)).await;
        });
    }

    pub(crate) fn fetch_ended(&mut self) {
        self.fetching = false;
    }

    /// Probes peers for their revision, at most once per [`PROBE_INTERVAL_MS`].
    pub(crate) fn probe(&mut self, probe: Probe, hint: &RevisionHint, now_ms: u64) {
        let recently = self
            .probed_ms
            .is_some_and(|at_ms| now_ms < at_ms + PROBE_INTERVAL_MS);
        if recently || probe == Probe::None {
            return;
        }
        self.probed_ms = Some(now_ms);
        let others = self.listed().filter(|vm| vm.id != self.own_vm);
        let mut peers: Vec<(VmId, SocketAddr)> =
            others.map(|vm| (vm.id.clone(), vm.address)).collect();
        if probe == Probe::Few {
            rendezvous::rank(self.own_vm.as_str(), &mut peers, |(vm, _)| vm.as_str());
            peers.truncate(PROBE_FEW);
        }
        for peer in peers {
            let routers = Arc::clone(&self.routers);
            let to_loop = (self.handle.clone(), self.clock);
            tokio::spawn(send_hint(routers, peer, hint.clone(), to_loop, None));
        }
    }

    fn listed(&self) -> impl Iterator<Item = &VmEntry> {
        let vms = self.vms.iter().flat_map(HashMap::values);
        vms.filter(|vm| vm.group == self.group)
    }
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peers")
            .field("own", &self.own_vm)
            .field("fetching", &self.fetching)
            .finish_non_exhaustive()
    }
}
