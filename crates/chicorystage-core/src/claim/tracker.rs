use std::collections::{HashMap, VecDeque};

use chicorystage_api::name::{CallerName, IdempotencyKey};
use chicorystage_api::peer::{AttemptRef, ClaimQuery, ClaimState};
use chicorystage_api::work::ClaimTicket;
use displaydoc::Display;

/// Default number of ended claims to keep.
const ENDED_MAX_DEFAULT: usize = 65_536;

/// Configuration of a [`ClaimTracker`].
#[derive(Clone, Debug)]
pub struct ClaimTrackerConfig {
    ended_max: usize,
}

impl Default for ClaimTrackerConfig {
    fn default() -> Self {
        Self {
            ended_max: ENDED_MAX_DEFAULT,
        }
    }
}

impl ClaimTrackerConfig {
    /// Creates the default configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of ended claims to keep; 65 536 by default.
    #[must_use]
    pub fn ended_max(mut self, count: usize) -> Self {
        self.ended_max = count;
        self
    }

    /// Creates an empty tracker for one agent incarnation.
    #[must_use]
    pub fn build(self, incarnation: u64) -> ClaimTracker {
        ClaimTracker {
            incarnation,
            config: self,
            entries: HashMap::new(),
            ended: VecDeque::new(),
            evicted_row_version_max: 0,
        }
    }
}

/// Tracks the claims that were dispatched to one agent incarnation, so that each runs at most once.
///
/// Beginning, ending and querying a claim take constant time.
#[derive(Debug)]
pub struct ClaimTracker {
    incarnation: u64,
    config: ClaimTrackerConfig,
    entries: HashMap<ClaimId, Entry>,
    /// Ended claims in the order in which they ended, oldest first.
    ended: VecDeque<(ClaimId, u64)>,
    evicted_row_version_max: u64,
}

/// Reason for which a dispatched claim must not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ClaimRejection {
    /// the claim names another agent incarnation
    OtherIncarnation,
    /// this or a higher epoch of the claim was run, tombstoned or forgotten
    Stale,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClaimId {
    caller: CallerName,
    key: IdempotencyKey,
}

#[derive(Debug)]
struct Entry {
    epoch: u32,
    row_version: u64,
    phase: Phase,
}

#[derive(Debug)]
enum Phase {
    Running(AttemptRef),
    Finished(AttemptRef),
    Tombstoned,
}

impl ClaimTracker {
    /// Returns the agent incarnation whose claims are tracked.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Records that a dispatched claim starts to run; its call may run only if this succeeds.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimRejection::OtherIncarnation`] if the ticket names another agent incarnation,
    /// and [`ClaimRejection::Stale`] if the epoch has run, is tombstoned or may have been evicted.
    pub fn begin(
        &mut self,
        caller: &CallerName,
        ticket: &ClaimTicket,
        attempt: AttemptRef,
    ) -> Result<(), ClaimRejection> {
        if ticket.incarnation != self.incarnation {
            return Err(ClaimRejection::OtherIncarnation);
        }
        let id = ClaimId::new(caller, &ticket.key);
        match self.entries.get(&id) {
            None if ticket.row_version <= self.evicted_row_version_max => {
                return Err(ClaimRejection::Stale);
            }
            Some(entry) if !entry.can_begin(ticket.epoch) => return Err(ClaimRejection::Stale),
            None | Some(_) => {}
        }
        let entry = Entry {
            epoch: ticket.epoch,
            row_version: ticket.row_version,
            phase: Phase::Running(attempt),
        };
        self.entries.insert(id, entry);
        Ok(())
    }

    /// Records that a running call has answered or may have had its effect.
    pub fn finish(&mut self, caller: &CallerName, key: &IdempotencyKey) {
        self.end(caller, key, |attempt| Phase::Finished(attempt.clone()));
    }

    /// Records that a begun claim was abandoned before its call ran.
    pub fn abandon(&mut self, caller: &CallerName, key: &IdempotencyKey) {
        self.end(caller, key, |_attempt| Phase::Tombstoned);
    }

    /// Returns the state of a claim; a claim that has not arrived is tombstoned.
    ///
    /// A tombstoned epoch can never run, so the querying router may claim the next one.
    pub fn query(&mut self, query: &ClaimQuery) -> ClaimState {
        if query.incarnation != self.incarnation {
            return ClaimState::OtherIncarnation {
                incarnation: self.incarnation,
            };
        }
        let id = ClaimId::new(&query.caller, &query.key);
        match self.entries.get(&id) {
            Some(entry) if entry.epoch >= query.epoch => entry.state(query.epoch),
            Some(entry) if !entry.can_begin(query.epoch) => ClaimState::Unknown,
            None if query.row_version <= self.evicted_row_version_max => ClaimState::Unknown,
            None | Some(_) => {
                let entry = Entry {
                    epoch: query.epoch,
                    row_version: query.row_version,
                    phase: Phase::Tombstoned,
                };
                self.entries.insert(id.clone(), entry);
                self.record_ended(id, query.row_version);
                ClaimState::Tombstoned
            }
        }
    }

    fn end(
        &mut self,
        caller: &CallerName,
        key: &IdempotencyKey,
        phase: impl FnOnce(&AttemptRef) -> Phase,
    ) {
        let id = ClaimId::new(caller, key);
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let Phase::Running(attempt) = &entry.phase else {
            return;
        };
        entry.phase = phase(attempt);
        let row_version = entry.row_version;
        self.record_ended(id, row_version);
    }

    /// Records an ended claim, evicts the oldest ones above the bound and raises the floor.
    ///
    /// A running claim is never evicted: if it began again under a higher
    /// epoch, its row version is above that of its older entry in the list.
    fn record_ended(&mut self, id: ClaimId, row_version: u64) {
        self.ended.push_back((id, row_version));
        while self.ended.len() > self.config.ended_max {
            let Some((oldest, row_version)) = self.ended.pop_front() else {
                return;
            };
            let superseded = self
                .entries
                .get(&oldest)
                .is_none_or(|entry| entry.row_version != row_version);
            if !superseded {
                self.entries.remove(&oldest);
            }
            self.evicted_row_version_max = self.evicted_row_version_max.max(row_version);
        }
    }
}

impl ClaimId {
    fn new(caller: &CallerName, key: &IdempotencyKey) -> Self {
        Self {
            caller: caller.clone(),
            key: key.clone(),
        }
    }
}

impl Entry {
    /// Returns whether an epoch may begin, which requires a tombstone of a lower epoch.
    fn can_begin(&self, epoch: u32) -> bool {
        epoch > self.epoch && matches!(self.phase, Phase::Tombstoned)
    }

    /// Returns the state to report for `epoch`, which is at most the recorded epoch.
    fn state(&self, epoch: u32) -> ClaimState {
        if epoch < self.epoch {
            // A higher epoch exists only because the lower one did not run.
            return ClaimState::Tombstoned;
        }
        match &self.phase {
            Phase::Running(attempt) => ClaimState::Running {
                attempt: attempt.clone(),
            },
            Phase::Finished(attempt) => ClaimState::Finished {
                attempt: attempt.clone(),
            },
            Phase::Tombstoned => ClaimState::Tombstoned,
        }
    }
}
