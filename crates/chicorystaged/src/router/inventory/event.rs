use std::collections::HashMap;

use chicorystage_api::admin::{ChangeConflict, ItemFinding};
use chicorystage_api::inventory::{Change, ChangeRecord, ItemKey, ItemRow, OperatorItem, Snapshot};
use chicorystage_api::name::{Digest, VmId};
use chicorystage_api::peer::{Changes, ChangesQuery, RevisionAck, RevisionHint};
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::freshness::PeerAnswer;
use tokio::sync::oneshot;

use crate::timer::Tick;

/// One event of the inventory's part of the main loop.
#[derive(Debug)]
pub enum InventoryEvent {
    /// Time passes.
    Tick(Tick),
    /// The reader task is about to read the head.
    Position {
        /// Is told when the head should be read at once.
        wake: oneshot::Sender<()>,
        /// Receives the revision in force.
        reply: oneshot::Sender<u64>,
    },
    /// The head was read, and what is newer than the revision in force.
    HeadRead {
        /// Time at which the head was asked for, in milliseconds.
        asked_ms: u64,
        /// Revision of the head; 0 where there is none.
        head_revision: u64,
        /// What is newer.
        news: News,
    },
    /// The head or what is newer could not be read.
    HeadFailed,
    /// Another router tells of a revision.
    Hint {
        /// What it tells.
        hint: RevisionHint,
        /// Receives the revision in force, once it is as new or a bound passed.
        reply: oneshot::Sender<RevisionAck>,
    },
    /// Another router answered a question about its revision.
    PeerAnswered(PeerAnswer),
    /// Another router sent what is newer than the revision in force.
    PeerSent(Option<Changes>),
    /// An agent long-polls.
    Poll {
        /// What it asks.
        query: ChangesQuery,
        /// Receives the answer.
        reply: oneshot::Sender<Changes>,
    },
    /// An operator's change is to be judged.
    Prepare {
        /// The change.
        change: Change,
        /// Who submits it.
        operator: OperatorItem,
        /// Revision of the head that its commit will replace.
        head_revision: u64,
        /// Receives the verdict.
        reply: oneshot::Sender<Prepared>,
    },
    /// A change of this router is committed.
    Committed {
        /// Its record.
        record: ChangeRecord,
        /// Receives whether it is in force here.
        reply: oneshot::Sender<bool>,
    },
    /// A snapshot was written up to a revision, or could not be.
    SnapshotWritten(Option<u64>),
    /// The admin API asks who holds a token.
    Operator {
        /// Digest of the token.
        token_sha256: Digest,
        /// Receives the operator.
        reply: oneshot::Sender<Option<OperatorItem>>,
    },
    /// The admin API asks for the items in force.
    Items {
        /// Receives the revision and the rows.
        reply: oneshot::Sender<(u64, Vec<ItemRow>)>,
    },
    /// The admin API asks for the listed VMs.
    Vms {
        /// Receives the VMs; none where the list was never read.
        reply: oneshot::Sender<Option<HashMap<VmId, VmEntry>>>,
    },
}

/// What is newer than the revision in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// Nothing.
    Nothing,
    /// The next records, oldest first.
    Tail(Vec<ChangeRecord>),
    /// The whole inventory.
    Whole(Snapshot),
}

/// Verdict on an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prepared {
    /// Another revision than the head's is in force here; read the head again.
    OtherRevision,
    /// The operator does not own these items.
    Forbidden(Vec<ItemKey>),
    /// Other changes came first.
    Conflict(Vec<ChangeConflict>),
    /// The inventory does not allow the change.
    Invalid(Vec<ItemFinding>),
    /// The change may be committed on top of the head.
    Ready,
}
