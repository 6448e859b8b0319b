//! Two production router loops on one table, with stub agents that acknowledge every
//! pushed placement row at once.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use chicorystage_api::inventory::{Item, ItemRow, ModelItem, ModelVersion, RuleItem, Snapshot};
use chicorystage_api::name::{ModelName, VmId};
use chicorystage_api::peer::{
    AgentStatus, AttemptRef, Changes, ChangesQuery, ClaimQuery, ClaimState, PermitAnswer,
    PermitRequest, PlaceRequest, PlacementAck, PlacementPush, QuarantineEntry, RevisionAck,
    RevisionHint, RouterStatus, SlotState,
};
use chicorystage_api::work::AttemptRequest;
use chicorystage_borders::link::{AgentLink, FrameStream, RouterLink};
use chicorystage_borders::table::{Table, Transaction, Write};
use chicorystage_borders::vm_list::{VmEntry, VmState};
use chicorystage_borders::{BorderError, BorderErrorKind, BoxFuture};
use chicorystage_testbed::fakes::{FakeObjectStore, FakeTable, FakeVmList};
use chicorystaged::router::borders::RouterBorders;
use chicorystaged::router::event::RouterEvent;
use chicorystaged::router::handle::RouterHandle;
use chicorystaged::router::main_loop::RouterLoop;
use chicorystaged::router::permits::PermitEvent;
use chicorystaged::router::planner::PlannerEvent;
use chicorystaged::settings::{DaemonSettings, RouterSettings};
use chicorystaged::timer::Clock;
use tokio::sync::{mpsc, oneshot};

pub const MODEL: &str = "varietal";
const ROUTERS: u16 = 2;
const WORKERS: u16 = 4;
const EVENT_QUEUE_CAPACITY: usize = 256;

type Answer<'a, T> = BoxFuture<'a, Result<T, BorderError>>;

/// The links from the routers to each other and to the agents.
#[derive(Default)]
struct Links {
    routers: Mutex<HashMap<SocketAddr, RouterHandle>>,
    silent: Mutex<HashSet<SocketAddr>>,
    probed: Mutex<HashSet<SocketAddr>>,
}

/// The routers, their shared table and their list of VMs.
pub struct World {
    pub table: Arc<FakeTable>,
    links: Arc<Links>,
    pub vms: Mutex<Vec<VmEntry>>,
    handles: Vec<RouterHandle>,
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn entry(name: &str, port: u16, group: &str) -> VmEntry {
    VmEntry {
        id: name.into(),
        address: address(port),
        zone: "huehue-a".into(),
        group: group.into(),
        state: VmState::Live,
    }
}

impl World {
    pub async fn new(cap: u32) -> Self {
        let routers = (1..=ROUTERS).map(|i| entry(&format!("entry-{i}"), i, "routers"));
        let workers = (1..=WORKERS).map(|i| entry(&format!("worker-{i}"), 100 + i, "colmena-llm"));
        let vms: Vec<VmEntry> = routers.chain(workers).collect();
        let world = Self {
            table: Arc::new(FakeTable::new()),
            links: Arc::default(),
            handles: vms[..usize::from(ROUTERS)]
                .iter()
                .map(|_| mpsc::channel(1).0)
                .map(RouterHandle::new)
                .collect(),
            vms: Mutex::new(vms),
        };
        let mut world = world;
        for i in 0..usize::from(ROUTERS) {
            world.handles[i] = world.start_router(i);
        }
        world.set_cap(cap, 1).await;
        world.list_vms().await;
        world
    }

    fn start_router(&self, i: usize) -> RouterHandle {
        let vm = self.lock_vms()[i].clone();
        let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let handle = RouterHandle::new(sender);
        let borders = RouterBorders {
            table: Arc::<FakeTable>::clone(&self.table),
            object_store: Arc::new(FakeObjectStore::new()),
            vm_list: Arc::new(FakeVmList::new()),
            agents: Arc::<Links>::clone(&self.links),
            routers: Arc::<Links>::clone(&self.links),
        };
        let daemon = DaemonSettings {
            vm: vm.id,
            zone: vm.zone,
            group: vm.group,
        };
        let settings = RouterSettings {
            caller_api: address(0),
            admin_api: address(0),
            root_token_sha256: "".into(),
            freshness_max_ms: 4_000,
            drain_lag_ms: 0,
            drain_max_ms: 0,
            waiting_max: 100,
            body_bytes_held_max: 1_000_000,
        };
        let main_loop = RouterLoop::new(daemon, settings, borders, handle.clone(), Clock::start());
        tokio::spawn(main_loop.run(events));
        self.links
            .routers
            .lock()
            .unwrap()
            .insert(vm.address, handle.clone());
        handle
    }

    pub fn lock_vms(&self) -> MutexGuard<'_, Vec<VmEntry>> {
        self.vms.lock().unwrap()
    }

    /// Writes a replica cap to the table and sends it to every router.
    pub async fn set_cap(&self, cap: u32, revision: u64) {
        let model = ModelItem {
            name: MODEL.into(),
            owner: "co-op".into(),
            group: "colmena-llm".into(),
            default_version: "v1".into(),
            versions: vec![ModelVersion {
                version: "v1".into(),
                memory_bytes: 1,
            }],
        };
        let rule = RuleItem {
            model: MODEL.into(),
            owner: "co-op".into(),
            replicas_max: cap,
            keep_alive_min_ms: 0,
            keep_alive_max_ms: 0,
        };
        let row = |item| ItemRow {
            item,
            revision,
            change_id: "c".into(),
            operator: "o".into(),
        };
        let rows = vec![row(Item::Model(model)), row(Item::Rule(rule))];
        let writes = rows.iter().map(|row| Write {
            key: row.item.key().row_key().into(),
            value: Some(serde_json::to_string(row).unwrap().into()),
        });
        let transaction = Transaction {
            id: "cap".into(),
            checks: Vec::new(),
            writes: writes.collect(),
        };
        self.table.commit(transaction).await.unwrap();
        self.send_to_routers(|| {
            RouterEvent::InventoryRead(Snapshot {
                revision,
                rows: rows.clone(),
            })
        })
        .await;
    }

    /// Sends the current list of VMs to every router.
    pub async fn list_vms(&self) {
        let vms = self.lock_vms().clone();
        self.send_to_routers(|| RouterEvent::VmsRead(vms.clone()))
            .await;
    }

    async fn send_to_routers(&self, event: impl Fn() -> RouterEvent) {
        for handle in &self.handles {
            handle.send(event()).await;
        }
    }

    /// Makes a router or agent unreachable, or reachable again.
    pub fn set_silent(&self, vm: &VmId, silent: bool) {
        let address = self
            .lock_vms()
            .iter()
            .find(|entry| entry.id == *vm)
            .unwrap()
            .address;
        let mut silent_addresses = self.links.silent.lock().unwrap();
        if silent {
            silent_addresses.insert(address);
        } else {
            silent_addresses.remove(&address);
        }
    }

    /// Requests a slot from one router, as another router would.
    pub async fn place(
        &self,
        router: usize,
        additional: bool,
        seen_row_version: u64,
    ) -> Option<PlacementPush> {
        let (reply, answer) = oneshot::channel();
        let request = PlaceRequest {
            model: MODEL.into(),
            additional,
            avoid: Vec::new(),
            seen_row_version,
        };
        let event = PlannerEvent::Place { request, reply };
        self.handles[router].send(RouterEvent::Planner(event)).await;
        answer.await.unwrap()
    }

    /// Requests a permit from one router.
    pub async fn permit(&self, router: usize, request: PermitRequest) -> PermitAnswer {
        let (reply, answer) = oneshot::channel();
        let event = PermitEvent::Acquire { request, reply };
        self.handles[router].send(RouterEvent::Permit(event)).await;
        answer.await.unwrap()
    }

    /// Reads the slots of the model from its placement row in the table.
    pub async fn slots(&self) -> Vec<(VmId, SlotState)> {
        let row = self.table.get(&format!("placement/{MODEL}")).await.unwrap();
        let row: chicorystage_api::peer::PlacementRow =
            serde_json::from_str(&row.unwrap().value).unwrap();
        row.slots
            .into_iter()
            .map(|slot| (slot.vm, slot.state))
            .collect()
    }
}

impl Links {
    fn check_reachable(&self, address: SocketAddr) -> Result<(), BorderError> {
        if self.silent.lock().unwrap().contains(&address) {
            return Err(BorderError::new(BorderErrorKind::Unknown, "silent"));
        }
        Ok(())
    }
}

impl AgentLink for Links {
    fn start(&self, _: SocketAddr, _: AttemptRequest) -> Answer<'_, FrameStream> {
        unimplemented!("no attempts run here")
    }

    fn resume(&self, _: SocketAddr, _: AttemptRef, _: u64) -> Answer<'_, FrameStream> {
        unimplemented!("no attempts run here")
    }

    fn cancel(&self, _: SocketAddr, _: AttemptRef) -> Answer<'_, ()> {
        unimplemented!("no attempts run here")
    }

    fn query_claim(&self, _: SocketAddr, _: ClaimQuery) -> Answer<'_, ClaimState> {
        unimplemented!("no claims here")
    }

    fn push_placements(
        &self,
        agent: SocketAddr,
        pushes: Vec<PlacementPush>,
    ) -> Answer<'_, Vec<PlacementAck>> {
        Box::pin(async move {
            self.check_reachable(agent)?;
            let vm = VmId::from(format!("worker-{}", agent.port() - 100));
            let ack = |push: PlacementPush| {
                let mut slots = push.row.slots.iter();
                let held = slots.any(|slot| slot.vm == vm && slot.state == SlotState::Held);
                PlacementAck {
                    model: ModelName::from(MODEL),
                    row_version: push.row_version,
                    held,
                    released: !held,
                }
            };
            Ok(pushes.into_iter().map(ack).collect())
        })
    }

    fn push_quarantine(&self, _: SocketAddr, _: Vec<QuarantineEntry>) -> Answer<'_, ()> {
        Box::pin(async { Ok(()) })
    }

    fn status(&self, agent: SocketAddr) -> Answer<'_, AgentStatus> {
        Box::pin(async move {
            self.probed.lock().unwrap().insert(agent);
            Err(BorderError::new(
                BorderErrorKind::NotDelivered,
                "status is not emulated",
            ))
        })
    }

    fn drain(&self, _: SocketAddr) -> Answer<'_, ()> {
        unimplemented!("nothing is drained here")
    }
}

impl RouterLink for Links {
    fn hint(&self, _: SocketAddr, _: RevisionHint) -> Answer<'_, RevisionAck> {
        unimplemented!("no hints here")
    }

    fn changes(&self, _: SocketAddr, _: ChangesQuery) -> Answer<'_, Changes> {
        unimplemented!("no polls here")
    }

    fn place(
        &self,
        router: SocketAddr,
        request: PlaceRequest,
    ) -> Answer<'_, Option<PlacementPush>> {
        Box::pin(async move {
            self.check_reachable(router)?;
            let handle = self.routers.lock().unwrap()[&router].clone();
            let (reply, answer) = oneshot::channel();
            let event = PlannerEvent::Place { request, reply };
            handle.send(RouterEvent::Planner(event)).await;
            Ok(answer.await.unwrap())
        })
    }

    fn acquire_permit(&self, _: SocketAddr, _: PermitRequest) -> Answer<'_, PermitAnswer> {
        unimplemented!("permits are requested from the router loops directly")
    }

    fn release_permit(&self, _: SocketAddr, _: u64) -> Answer<'_, ()> {
        unimplemented!("permits are requested from the router loops directly")
    }

    fn push_quarantine(&self, _: SocketAddr, _: Vec<QuarantineEntry>) -> Answer<'_, ()> {
        Box::pin(async { Ok(()) })
    }

    fn status(&self, _: SocketAddr) -> Answer<'_, RouterStatus> {
        unimplemented!("no status here")
    }

    fn drain(&self, _: SocketAddr) -> Answer<'_, ()> {
        unimplemented!("nothing is drained here")
    }
}
