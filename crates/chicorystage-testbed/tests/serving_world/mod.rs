//! A real router loop whose agents are stubs that answer each attempt by script.

#![expect(dead_code, reason = "each test binary uses a part of the world")]

pub mod script;
mod scripted_agents;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chicorystage_api::inventory::{
    ApplicationItem, CallerItem, Class, Item, ItemRow, ModelItem, ModelVersion, Operation,
    PolicyItem, Snapshot,
};
use chicorystage_api::name::VmId;
use chicorystage_api::refusal::Refusal;
use chicorystage_api::work::Payload;
use chicorystage_borders::http::RpcRouterLink;
use chicorystage_borders::table::{Table, Transaction, Write};
use chicorystage_borders::vm_list::{VmEntry, VmState};
use chicorystage_core::token;
use chicorystage_testbed::fakes::{FakeObjectStore, FakeTable, FakeVmList};
use chicorystaged::router::borders::RouterBorders;
use chicorystaged::router::event::RouterEvent;
use chicorystaged::router::parts::RouterParts;
use chicorystaged::router::serving::{
    CallerHead, CallerRequest, CallerWork, Dispatcher, OpenedAnswer, WholeAnswer,
};
use chicorystaged::settings::{DaemonSettings, RouterSettings};
use chicorystaged::timer::Clock;

pub use script::{AgentAction, Script};
pub use scripted_agents::ScriptedAgents;

pub const TOKEN: &str = "caller-token";
const MODEL: &str = "moisture";
const LEDGER: &str = "libro";

/// A router with the stub agents, the fake table and the fake VM list that it uses.
pub struct World {
    pub parts: RouterParts,
    pub agents: Arc<ScriptedAgents>,
    pub table: Arc<FakeTable>,
    pub vms: Arc<FakeVmList>,
}

/// Starts a router with `agents` live agents; `script` decides how each attempt goes.
pub async fn start_world(agents: u16, script: impl Script) -> World {
    start_world_with(agents, caller(), script).await
}

/// Starts a router as [`start_world`] does, with this caller in its inventory.
pub async fn start_world_with(agents: u16, caller: CallerItem, script: impl Script) -> World {
    let addresses = (1..=agents).map(|i| (address(i), VmId::from(format!("worker-{i}"))));
    let vms_by_address: BTreeMap<SocketAddr, VmId> = addresses.collect();
    let stub_agents = Arc::new(ScriptedAgents::new(vms_by_address.clone(), script));
    let (table, vms) = (Arc::new(FakeTable::new()), Arc::new(FakeVmList::new()));
    for (address, id) in vms_by_address {
        vms.put(VmEntry {
            id,
            address,
            zone: "huehue-a".into(),
            group: "colmena-llm".into(),
            state: VmState::Live,
        });
    }
    let borders = RouterBorders {
        table: Arc::clone(&table) as _,
        object_store: Arc::new(FakeObjectStore::new()),
        vm_list: Arc::clone(&vms) as _,
        agents: Arc::clone(&stub_agents) as _,
        routers: Arc::new(RpcRouterLink::new(1, 1)),
    };
    let inventory = inventory(caller);
    store_inventory(&table, &inventory).await;
    let parts = RouterParts::start(&daemon(), &settings(), borders, Clock::start());
    let inventory_read = RouterEvent::InventoryRead(inventory);
    parts.handle.send(inventory_read).await;
    let vms_read = RouterEvent::VmsRead(
        chicorystage_borders::vm_list::VmList::read(&*vms)
            .await
            .unwrap(),
    );
    parts.handle.send(vms_read).await;
    World {
        parts,
        agents: stub_agents,
        table,
        vms,
    }
}

impl World {
    pub fn dispatcher(&self) -> &Dispatcher {
        &self.parts.dispatcher
    }

    pub async fn open(&self, prompt: &str, timeout_ms: u64) -> Result<OpenedAnswer, Refusal> {
        self.dispatcher().open(request(prompt, timeout_ms)).await
    }

    pub async fn whole(&self, prompt: &str, timeout_ms: u64) -> Result<WholeAnswer, Refusal> {
        self.dispatcher().whole(request(prompt, timeout_ms)).await
    }
}

/// Reads an answer to its end; returns its text and the refusal that ended it, if any.
pub async fn read_to_end(mut answer: OpenedAnswer) -> (String, Option<Refusal>) {
    let mut text = String::new();
    loop {
        match answer.next().await {
            Payload::Token(token) => text.push_str(&token),
            Payload::End(_) => return (text, None),
            Payload::Refused(refusal) => return (text, Some(refusal)),
            _ => {}
        }
    }
}

pub fn request(prompt: &str, timeout_ms: u64) -> CallerRequest {
    let head = CallerHead {
        token_sha256: token::sha256(TOKEN.as_bytes()),
        timeout_ms: Some(timeout_ms),
        class: None,
        key: None,
    };
    let work = CallerWork::Completion {
        model: chicorystage_api::inventory::ModelRef::parse(MODEL).unwrap(),
        prompt: prompt.into(),
        max_tokens: 8,
    };
    CallerRequest::new(head, prompt.len() as u64, work)
}

/// Returns a request for an idempotent service call.
pub fn balance_call(timeout_ms: u64) -> CallerRequest {
    let work = CallerWork::Call {
        application: LEDGER.into(),
        method: "GET".into(),
        path: "/balances/7".into(),
        content_type: "".into(),
        body: "".into(),
    };
    CallerRequest::new(request("", timeout_ms).head, 0, work)
}

/// Returns a request for a service call that is not idempotent, with its idempotency key.
pub fn payout_call(key: &str, timeout_ms: u64) -> CallerRequest {
    let mut head = request("", timeout_ms).head;
    head.key = Some(key.into());
    let work = CallerWork::Call {
        application: LEDGER.into(),
        method: "POST".into(),
        path: "/payouts".into(),
        content_type: "".into(),
        body: key.to_owned().into(),
    };
    CallerRequest::new(head, key.len() as u64, work)
}

pub fn caller() -> CallerItem {
    CallerItem {
        name: "field-agents".into(),
        owner: "field".into(),
        token_sha256: token::sha256(TOKEN.as_bytes()),
        class: Class::Interactive,
        models: vec!["*".into()],
        applications: vec!["*".into()],
        rate_per_s: 10_000,
        burst: 10_000,
        concurrent_max: 10_000,
        body_bytes_max: 1 << 20,
        weight: 1,
    }
}

fn inventory(caller: CallerItem) -> Snapshot {
    let model = ModelItem {
        name: MODEL.into(),
        owner: "field".into(),
        group: "colmena-llm".into(),
        default_version: "v1".into(),
        versions: vec![ModelVersion {
            version: "v1".into(),
            memory_bytes: 1,
        }],
    };
    let application = ApplicationItem {
        name: LEDGER.into(),
        owner: "ledger".into(),
        group: "colmena-llm".into(),
        operations: vec![Operation {
            method: "GET".into(),
            path_prefix: "/balances".into(),
            idempotent: true,
        }],
    };
    let items = [
        Item::Application(application),
        Item::Model(model),
        Item::Caller(caller),
        Item::Policy(PolicyItem::default()),
    ];
    let rows = items.map(|item| ItemRow {
        item,
        revision: 1,
        change_id: "test".into(),
        operator: "root".into(),
    });
    Snapshot {
        revision: 1,
        rows: rows.into(),
    }
}

/// Writes the inventory's item rows, which limit the number of slots, to the table.
async fn store_inventory(table: &FakeTable, inventory: &Snapshot) {
    let writes = inventory.rows.iter().map(|row| Write {
        key: row.item.key().row_key().into(),
        value: Some(serde_json::to_string(row).unwrap().into()),
    });
    let transaction = Transaction {
        id: "inventory".into(),
        checks: Vec::new(),
        writes: writes.collect(),
    };
    table.commit(transaction).await.unwrap();
}

fn daemon() -> DaemonSettings {
    DaemonSettings {
        vm: "entry-1".into(),
        zone: "huehue-a".into(),
        group: "entry".into(),
    }
}

pub fn settings() -> RouterSettings {
    RouterSettings {
        caller_api: address(0),
        admin_api: address(0),
        root_token_sha256: token::sha256(b"root"),
        freshness_max_ms: 60_000,
        drain_lag_ms: 0,
        drain_max_ms: 0,
        waiting_max: 4_096,
        body_bytes_held_max: 1 << 30,
    }
}

fn address(i: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i))
}
