use std::sync::Arc;

use bytes::Bytes;
use chicorystage_borders::object_store::ObjectStore;
use chicorystage_borders::table::{CommitOutcome, Row, ScanPage, Table, Transaction};
use chicorystage_borders::vm_list::{VmEntry, VmList};
use chicorystage_borders::{BorderError, BoxFuture};

use crate::fakes::{FakeObjectStore, FakeTable, FakeVmList};
use crate::harness::gate::VmGate;

/// The fake platform behind the gate of one process.
///
/// The table cut of the gate applies to the table and the object store, but not to the list of VMs.
#[derive(Clone, Debug)]
pub(super) struct GatedPlatform {
    pub(super) gate: VmGate,
    pub(super) table: Arc<FakeTable>,
    pub(super) objects: Arc<FakeObjectStore>,
    pub(super) vms: Arc<FakeVmList>,
}

impl Table for GatedPlatform {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, BorderError>> {
        Box::pin(async move {
            self.gate.pass_to_table().await?;
            let row = self.table.get(key).await;
            self.gate.pass().await;
            row
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> BoxFuture<'a, Result<ScanPage, BorderError>> {
        Box::pin(async move {
            self.gate.pass_to_table().await?;
            let page = self.table.scan(prefix, after, limit).await;
            self.gate.pass().await;
            page
        })
    }

    fn commit(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<CommitOutcome, BorderError>> {
        Box::pin(async move {
            self.gate.pass_to_table().await?;
            let outcome = self.table.commit(transaction).await;
            self.gate.pass().await;
            outcome
        })
    }
}

impl ObjectStore for GatedPlatform {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, BorderError>> {
        Box::pin(async move {
            self.gate.pass_to_table().await?;
            self.objects.get(key).await
        })
    }

    fn put<'a>(&'a self, key: &'a str, content: Bytes) -> BoxFuture<'a, Result<(), BorderError>> {
        Box::pin(async move {
            self.gate.pass_to_table().await?;
            self.objects.put(key, content).await
        })
    }
}

impl VmList for GatedPlatform {
    fn read(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, BorderError>> {
        Box::pin(async move {
            self.gate.pass().await;
            self.vms.read().await
        })
    }
}
