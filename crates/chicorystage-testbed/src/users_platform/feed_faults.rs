//! Faults of the store emulator's feeds that wait for changes.

use std::collections::BTreeMap;

use http::Request;
use hyper::body::Incoming;
use tokio::sync::watch;

/// Fault of the feeds that wait on a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FeedFault {
    /// Their connections break.
    Reset,
    /// They are never answered.
    Silence,
}

/// Faults injected so far.
#[derive(Debug, Default)]
pub(super) struct FeedFaults {
    /// Number of faults so far and the last one, by table.
    last: watch::Sender<BTreeMap<String, (u64, FeedFault)>>,
}

impl FeedFaults {
    /// Injects a fault into the feeds that wait on a table now.
    pub(super) fn inject(&self, table: &str, fault: FeedFault) {
        self.last.send_modify(|last| {
            let known = last.get(table).map_or(0, |(count, _)| *count);
            last.insert(table.to_owned(), (known + 1, fault));
        });
    }

    /// Waits for the next fault of a table's feeds; forever where there is no table.
    pub(super) async fn next(&self, table: Option<String>) -> FeedFault {
        let Some(table) = table else {
            return std::future::pending().await;
        };
        let mut last = self.last.subscribe();
        let before = last.borrow_and_update().get(&table).copied();
        let changed = last.wait_for(|last| last.get(&table).copied() != before);
        let fault = changed.await.ok();
        let fault = fault.and_then(|last| last.get(&table).copied());
        // The sender lives as long as the emulator, and a changed entry exists.
        fault.map_or(FeedFault::Reset, |(_, fault)| fault)
    }
}

/// Returns the table of a call for its feed; `None` for any other call.
pub(super) fn feed_table(request: &Request<Incoming>) -> Option<String> {
    let uri = request.uri();
    let mut pairs = uri
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    let (_, table) = pairs.find(|(name, _)| *name == "table")?;
    (uri.path() == "/rows-feed").then(|| table.to_owned())
}
