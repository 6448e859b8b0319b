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
    /// A periodic tick.
    Tick(Tick),
    /// The reader task is about to read the head row.
    ReadStarting {
        /// Receives a signal if the head should be read again without delay.
        wake: oneshot::Sender<()>,
        /// Receives the revision in force.
        reply: oneshot::Sender<u64>,
    },
    /// The head row and the changes after the revision in force were read.
    HeadRead {
        /// Time at which the read of the head row was started, in milliseconds.
        started_ms: u64,
        /// Revision of the head; 0 if there is no head row.
        head_revision: u64,
        /// Changes after the revision in force.
        update: InventoryUpdate,
    },
    /// The head row or the changes after the revision in force could not be read.
    HeadReadFailed,
    /// Another router announces a revision.
    Hint {
        /// Revision of the sender, with the change record if it was just committed.
        hint: RevisionHint,
        /// Receives the revision in force once it is as new as the hint's, or after a timeout.
        reply: oneshot::Sender<RevisionAck>,
    },
    /// Another router acknowledged a hint and reported its own revision.
    PeerAnswered(PeerAnswer),
    /// A fetch of changes from another router ended; `None` if it failed.
    ChangesFetched(Option<Changes>),
    /// An agent's long poll, or another router's fetch of changes.
    Poll {
        /// Revision that the sender has, and its maximum wait.
        query: ChangesQuery,
        /// Receives the answer.
        reply: oneshot::Sender<Changes>,
    },
    /// An operator's change is to be validated.
    Prepare {
        /// The change.
        change: Change,
        /// Operator who submits the change.
        operator: OperatorItem,
        /// Revision of the head that the commit will replace.
        head_revision: u64,
        /// Receives the result of the validation.
        reply: oneshot::Sender<ChangeVerdict>,
    },
    /// This router committed a change.
    Committed {
        /// Record of the change.
        record: ChangeRecord,
        /// Receives whether the record's revision is in force here.
        reply: oneshot::Sender<bool>,
    },
    /// A snapshot write ended with the written revision; `None` if it failed.
    SnapshotWriteEnded(Option<u64>),
    /// The admin API looks up the operator of a token.
    FindOperator {
        /// Digest of the token.
        token_sha256: Digest,
        /// Receives the operator; `None` if the token is unknown.
        reply: oneshot::Sender<Option<OperatorItem>>,
    },
    /// The admin API reads the items in force.
    Items {
        /// Receives the revision and the rows.
        reply: oneshot::Sender<(u64, Vec<ItemRow>)>,
    },
    /// The listed VMs are read.
    Vms {
        /// Receives the VMs; `None` if the list was never read.
        reply: oneshot::Sender<Option<HashMap<VmId, VmEntry>>>,
    },
}

/// Changes after the revision in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InventoryUpdate {
    /// There are no changes.
    Unchanged,
    /// The records that follow the revision in force, oldest first.
    Tail(Vec<ChangeRecord>),
    /// A snapshot of the whole inventory.
    Whole(Snapshot),
}

/// Result of the validation of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeVerdict {
    /// The revision in force here differs from the head's; read the head again.
    OtherRevision,
    /// The operator does not own these items.
    Forbidden(Vec<ItemKey>),
    /// Changes committed earlier conflict with this one.
    Conflict(Vec<ChangeConflict>),
    /// The change would make the inventory invalid.
    Invalid(Vec<ItemFinding>),
    /// The change may be committed on top of the head.
    Ready,
}
