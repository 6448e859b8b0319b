//! Routers on tables that commit late, change during a read or have a trimmed log.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use chicorystage_api::inventory::{
    CHANGE_ROW_PREFIX, Change, ChangeRecord, HEAD_ROW_KEY, HeadRow, ITEM_ROW_PREFIX, ItemRow,
    LOG_ROW_PREFIX, OperatorItem, SNAPSHOT_OBJECT_KEY, Snapshot,
};
use chicorystage_borders::http::{Handler, RpcAgentLink, RpcRouterLink};
use chicorystage_borders::object_store::ObjectStore;
use chicorystage_borders::table::{CommitOutcome, Row, ScanPage, Table, Transaction, Write};
use chicorystage_borders::vm_list::{VmEntry, VmState};
use chicorystage_borders::{BorderError, BorderErrorKind, BoxFuture};
use chicorystage_core::token;
use chicorystage_testbed::fakes::{FakeObjectStore, FakeTable, FakeVmList};
use chicorystaged::router::borders::RouterBorders;
use chicorystaged::router::inventory::{Committer, InventoryEvent};
use chicorystaged::router::parts::RouterParts;
use chicorystaged::settings::{DaemonSettings, RouterSettings};
use chicorystaged::timer::Clock;
use googletest::prelude::*;

use crate::world::{change, model, wait_ms, write};

/// Time after which a late commit takes effect, in milliseconds.
const LATE_COMMIT_MS: u64 = 5_000;
const LINK_TIMEOUT_MS: u64 = 1_000;

/// A router that is alone on its VM list, and the committer of its inventory changes.
pub struct Router {
    committer: Committer,
    parts: RouterParts,
}

impl Router {
    pub fn start(table: Arc<dyn Table>, objects: Arc<FakeObjectStore>) -> Self {
        let address = ([127, 0, 0, 1], 0).into();
        let daemon = DaemonSettings {
            vm: "entry-1".into(),
            zone: "huehue-a".into(),
            group: "entry".into(),
        };
        let vms = FakeVmList::new();
        vms.put(VmEntry {
            id: daemon.vm.clone(),
            address,
            zone: daemon.zone.clone(),
            group: daemon.group.clone(),
            state: VmState::Live,
        });
        let borders = RouterBorders {
            table,
            object_store: objects,
            vm_list: Arc::new(vms),
            agents: Arc::new(RpcAgentLink::new(LINK_TIMEOUT_MS)),
            routers: Arc::new(RpcRouterLink::new(LINK_TIMEOUT_MS, LINK_TIMEOUT_MS)),
        };
        let settings = RouterSettings {
            caller_api: address,
            admin_api: address,
            root_token_sha256: token::sha256(b"root"),
            freshness_max_ms: 3_000,
            drain_lag_ms: 0,
            drain_max_ms: 0,
            waiting_max: 1,
            body_bytes_held_max: 1,
        };
        let clock = Clock::start();
        let identity = (daemon.vm.clone(), daemon.group.clone());
        let parts = RouterParts::start(&daemon, &settings, borders.clone(), clock);
        let committer = Committer::new(identity, borders, parts.handle.clone(), clock);
        Self { committer, parts }
    }

    pub fn admin_api(&self) -> Arc<dyn Handler> {
        Arc::clone(&self.parts.admin_api)
    }

    /// Commits a change and returns its revision, or the refusal as `Debug` text.
    async fn submit(&self, change: &Change) -> std::result::Result<u64, String> {
        let root = OperatorItem {
            name: "root".into(),
            token_sha256: token::sha256(b"root"),
            owners: vec!["*".into()],
        };
        let answer = self.committer.submit(&root, change).await;
        let answer = answer.map_err(|error| format!("{error:?}"));
        answer.map(|answer| answer.revision)
    }

    async fn items(&self) -> (u64, Vec<ItemRow>) {
        let items = self
            .parts
            .handle
            .ask_inventory(|reply| InventoryEvent::Items { reply });
        items.await.unwrap()
    }
}

/// A table whose first commit takes effect long after its client stopped waiting, and
/// which rejects every other commit.
#[derive(Default)]
struct LateTable {
    inner: Arc<FakeTable>,
    commits: AtomicU32,
}

impl Table for LateTable {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, std::result::Result<Option<Row>, BorderError>> {
        self.inner.get(key)
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> BoxFuture<'a, std::result::Result<ScanPage, BorderError>> {
        self.inner.scan(prefix, after, limit)
    }

    fn commit(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, std::result::Result<CommitOutcome, BorderError>> {
        Box::pin(async move {
            if self.commits.fetch_add(1, Ordering::Relaxed) > 0 {
                return Err(BorderError::new(BorderErrorKind::NotDelivered, "busy"));
            }
            let inner = Arc::clone(&self.inner);
            tokio::spawn(async move {
                wait_ms(LATE_COMMIT_MS).await;
                inner.commit(transaction).await
            });
            Err(BorderError::new(BorderErrorKind::Unknown, "no answer"))
        })
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn commit_that_takes_effect_late_is_not_reported_as_not_run() {
    let table = Arc::new(LateTable::default());
    let router = Router::start(Arc::clone(&table) as _, Arc::default());
    wait_ms(1_000).await;
    let late = change("late", vec![write(None, model("m", "field"))]);
    expect_that!(router.submit(&late).await, ok(eq(&1)));
}

/// A table that returns one item per page and commits a change after the first page.
struct ChangingTable {
    inner: Arc<FakeTable>,
    other: Router,
    scans: AtomicU32,
}

impl Table for ChangingTable {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, std::result::Result<Option<Row>, BorderError>> {
        self.inner.get(key)
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> BoxFuture<'a, std::result::Result<ScanPage, BorderError>> {
        Box::pin(async move {
            if prefix != ITEM_ROW_PREFIX {
                return self.inner.scan(prefix, after, limit).await;
            }
            let page = self.inner.scan(prefix, after, 1).await;
            if self.scans.fetch_add(1, Ordering::Relaxed) == 0 {
                let moved = change("moved", change_two_models(Some(1), "export"));
                assert_eq!(self.other.submit(&moved).await, Ok(2));
            }
            page
        })
    }

    fn commit(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, std::result::Result<CommitOutcome, BorderError>> {
        self.inner.commit(transaction)
    }
}

fn change_two_models(
    expected: Option<u64>,
    owner: &str,
) -> Vec<chicorystage_api::inventory::ItemChange> {
    let names = ["m", "n"].into_iter();
    names
        .map(|name| write(expected, model(name, owner)))
        .collect()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn full_read_never_exposes_a_partial_change() {
    let inner = Arc::new(FakeTable::new());
    let other = Router::start(Arc::clone(&inner) as _, Arc::default());
    wait_ms(1_000).await;
    expect_that!(
        other
            .submit(&change("first", change_two_models(None, "field")))
            .await,
        ok(eq(&1))
    );
    let changing = ChangingTable {
        inner,
        other,
        scans: AtomicU32::new(0),
    };
    let router = Router::start(Arc::new(changing), Arc::default());
    for _ in 0..300 {
        wait_ms(10).await;
        let (revision, rows) = router.items().await;
        let owners: Vec<&str> = rows
            .iter()
            .filter_map(|row| Some(row.item.owner()?.as_str()))
            .collect();
        match revision {
            0 => expect_that!(owners, is_empty()),
            1 => expect_that!(owners, elements_are![eq(&"field"), eq(&"field")]),
            _ => expect_that!(owners, elements_are![eq(&"export"), eq(&"export")]),
        }
    }
    expect_that!(router.items().await.0, eq(2));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn router_reaches_the_head_despite_a_stale_or_invalid_snapshot() {
    let table = Arc::new(FakeTable::new());
    let objects = Arc::new(FakeObjectStore::new());
    let writer = Router::start(Arc::clone(&table) as _, Arc::clone(&objects));
    wait_ms(1_000).await;
    writer
        .submit(&change("c1", change_two_models(None, "a")))
        .await
        .unwrap();
    for revision in 1..=130 {
        let items = change_two_models(Some(revision), "a");
        let next = change(&format!("c{}", revision + 1), items);
        writer.submit(&next).await.unwrap();
    }
    let stored = objects.get(SNAPSHOT_OBJECT_KEY).await.unwrap().unwrap();
    let stored: Snapshot = serde_json::from_slice(&stored).unwrap();
    expect_that!(stored.revision, ge(128));
    let current = writer.items().await;
    // First a snapshot older than the trimmed log, then invalid JSON.
    let older = Snapshot {
        revision: 1,
        rows: Vec::new(),
    };
    trim_log(&*table, 60).await;
    for content in [serde_json::to_vec(&older).unwrap(), b"{".to_vec()] {
        objects
            .put(SNAPSHOT_OBJECT_KEY, content.into())
            .await
            .unwrap();
        let starting = Router::start(Arc::clone(&table) as _, Arc::clone(&objects));
        wait_ms(1_000).await;
        expect_that!(starting.items().await, eq(&current));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn router_behind_the_trimmed_log_reads_all_items() {
    let table = Arc::new(FakeTable::new());
    let lagging = Router::start(Arc::clone(&table) as _, Arc::default());
    let writer = Router::start(Arc::clone(&table) as _, Arc::default());
    wait_ms(1_000).await;
    writer
        .submit(&change("c1", change_two_models(None, "a")))
        .await
        .unwrap();
    wait_ms(2_000).await;
    expect_that!(lagging.items().await.0, eq(1));
    for revision in 1..=20 {
        let next = change(
            &format!("c{}", revision + 1),
            change_two_models(Some(revision), "b"),
        );
        writer.submit(&next).await.unwrap();
    }
    trim_log(&*table, 10).await;
    expect_that!(lagging.items().await.0, eq(1));
    wait_ms(2_000).await;
    expect_that!(lagging.items().await, eq(&writer.items().await));
}

/// Writes the log of `revisions` empty changes to a table, dated long ago.
async fn fill_log(table: &dyn Table, revisions: u64) {
    let mut writes = Vec::new();
    let mut put = |key: String, value: String| {
        writes.push(Write {
            key: key.into(),
            value: Some(value.into()),
        });
    };
    for revision in 1..=revisions {
        let record = ChangeRecord {
            revision,
            change_id: format!("c{revision}").into(),
            operator: "root".into(),
            accepted_unix_ms: 0,
            reason: String::new(),
            items: Vec::new(),
        };
        let key = format!("{LOG_ROW_PREFIX}{revision:020}");
        put(key, serde_json::to_string(&record).unwrap());
        put(format!("{CHANGE_ROW_PREFIX}c{revision}"), String::new());
    }
    let head = HeadRow {
        revision: revisions,
        change_id: format!("c{revisions}").into(),
    };
    put(
        HEAD_ROW_KEY.to_owned(),
        serde_json::to_string(&head).unwrap(),
    );
    let transaction = Transaction {
        id: "fill".into(),
        checks: Vec::new(),
        writes,
    };
    table.commit(transaction).await.unwrap();
}

async fn first_key(table: &dyn Table, prefix: &str) -> String {
    let page = table.scan(prefix, None, 1).await.unwrap();
    page.rows[0].key.to_string()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn log_is_trimmed_only_far_below_a_stored_snapshot() {
    let table = Arc::new(FakeTable::new());
    fill_log(&*table, 20_300).await;
    let objects = Arc::new(FakeObjectStore::new());
    objects.set_down(true);
    let router = Router::start(Arc::clone(&table) as _, Arc::clone(&objects));
    wait_ms(2_000).await;
    expect_that!(router.items().await.0, eq(20_300));
    let oldest = first_key(&*table, LOG_ROW_PREFIX).await;
    expect_that!(oldest, ends_with("00001"));
    objects.set_down(false);
    let next = change("next", vec![write(None, model("m", "field"))]);
    expect_that!(router.submit(&next).await, ok(eq(&20_301)));
    wait_ms(2_000).await;
    let oldest = first_key(&*table, LOG_ROW_PREFIX).await;
    expect_that!(oldest, ends_with("00302"));
    let change_row = format!("{CHANGE_ROW_PREFIX}c301");
    expect_that!(table.get(&change_row).await.unwrap(), none());
    let change_row = format!("{CHANGE_ROW_PREFIX}c302");
    expect_that!(table.get(&change_row).await.unwrap(), some(anything()));
}

/// Deletes the log rows up to and including a revision.
async fn trim_log(table: &dyn Table, up_to_revision: u64) {
    let keys = (1..=up_to_revision).map(|revision| format!("inventory/log/{revision:020}"));
    let writes = keys.map(|key| Write {
        key: key.into(),
        value: None,
    });
    let transaction = Transaction {
        id: "trim".into(),
        checks: Vec::new(),
        writes: writes.collect(),
    };
    table.commit(transaction).await.unwrap();
    assert!(table.get(HEAD_ROW_KEY).await.unwrap().is_some());
}
