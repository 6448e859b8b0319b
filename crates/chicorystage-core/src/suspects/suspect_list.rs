use std::collections::HashMap;
use std::sync::Arc;

use chicorystage_api::name::Digest;
use chicorystage_api::peer::QuarantineEntry;

use crate::suspects::DigestStatus;

/// Maximum number of entries that are not quarantined; the oldest is evicted above it.
const INACTIVE_ENTRIES_MAX: usize = 10_000;

/// Tracks suspected and quarantined digests.
///
/// Processes exchange entries as [`QuarantineEntry`]: active for a quarantined
/// digest, inactive with crashes for a suspect, and inactive without crashes
/// for a digest that was cleared or whose quarantine an operator lifted.
#[derive(Clone, Debug, Default)]
pub struct SuspectList {
    entries: HashMap<Digest, QuarantineEntry>,
}

impl SuspectList {
    /// Returns the status of a digest.
    #[must_use]
    pub fn status(&self, digest: &Digest) -> DigestStatus {
        match self.entries.get(digest) {
            Some(entry) if entry.active => DigestStatus::Quarantined,
            Some(entry) if entry.crashes > 0 => DigestStatus::Suspect,
            _ => DigestStatus::Clear,
        }
    }

    /// Returns whether no entry is kept for any digest.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of times that an endpoint crashed while it ran a digest.
    #[must_use]
    pub fn crashes(&self, digest: &Digest) -> u32 {
        self.entries.get(digest).map_or(0, |entry| entry.crashes)
    }

    /// Returns the highest crash count of any digest; 0 if the list is empty.
    #[must_use]
    pub fn crashes_max(&self) -> u32 {
        let crashes = self.entries.values().map(|entry| entry.crashes);
        crashes.max().unwrap_or(0)
    }

    /// Returns whether a crash during an attempt that began at `began_unix_ms` says more about a
    /// digest than the crashes before.
    ///
    /// Attempts that were under way together may all be victims of one crash, or of several endpoints
    /// that crash for another reason. Only one that began after the last crash counts.
    #[must_use]
    pub fn is_new_evidence(&self, digest: &Digest, began_unix_ms: u64) -> bool {
        let Some(known) = self.entries.get(digest) else {
            return true;
        };
        !is_suspect(known) || began_unix_ms >= known.decided_unix_ms
    }

    /// Records that an endpoint crashed while it ran a digest, alone or among others.
    ///
    /// Returns the entry to send to the other processes.
    pub fn record_crash(
        &mut self,
        now_unix_ms: u64,
        digest: &Digest,
        alone: bool,
    ) -> QuarantineEntry {
        let known = self.entries.get(digest);
        let quarantined = known.is_some_and(|entry| entry.active);
        let crashes = known.map_or(0, |entry| entry.crashes) + 1;
        let reason = if alone {
            "the endpoint died while it ran this request alone"
        } else {
            "the endpoint died while it ran this request among others"
        };
        let entry = QuarantineEntry {
            digest: digest.clone(),
            active: alone || quarantined,
            crashes,
            reason: Arc::from(reason),
            decided_unix_ms: decision_time_ms(known, now_unix_ms),
        };
        self.insert(entry.clone());
        entry
    }

    /// Quarantines a digest that is known to crash endpoints.
    ///
    /// Returns the entry to send to the other processes.
    pub fn quarantine(
        &mut self,
        now_unix_ms: u64,
        digest: &Digest,
        crashes: u32,
        reason: &str,
    ) -> QuarantineEntry {
        let entry = QuarantineEntry {
            digest: digest.clone(),
            active: true,
            crashes,
            reason: Arc::from(reason),
            decided_unix_ms: decision_time_ms(self.entries.get(digest), now_unix_ms),
        };
        self.insert(entry.clone());
        entry
    }

    /// Records that a request with a digest completed, which clears a suspect; returns whether it
    /// was one.
    ///
    /// The cleared entry is not sent to other processes: it would count as newer
    /// there than a quarantine that was decided meanwhile. They may be told of the
    /// completion itself, for [`Self::merge_completion`].
    pub fn record_completion(&mut self, now_unix_ms: u64, digest: &Digest) -> bool {
        let is_suspect = self.status(digest) == DigestStatus::Suspect;
        if is_suspect {
            self.clear(now_unix_ms, digest, "the request completed");
        }
        is_suspect
    }

    /// Clears a suspect of which another process reports a completion after the last known crash.
    ///
    /// A quarantine stays: the process that decided it did not know of the completion, and only an
    /// operator lifts it.
    pub fn merge_completion(&mut self, completed_unix_ms: u64, digest: &Digest) {
        let last_crash_unix_ms = self.entries.get(digest).map(|entry| entry.decided_unix_ms);
        if last_crash_unix_ms.is_some_and(|crash_unix_ms| crash_unix_ms <= completed_unix_ms) {
            self.record_completion(completed_unix_ms, digest);
        }
    }

    /// Lifts the quarantine of a digest on an operator's command.
    ///
    /// Returns the entry to send to the other processes.
    pub fn lift(&mut self, now_unix_ms: u64, digest: &Digest) -> QuarantineEntry {
        self.clear(now_unix_ms, digest, "lifted by an operator")
    }

    /// Merges an entry from another process and returns whether it changed the list.
    pub fn merge(&mut self, entry: QuarantineEntry) -> bool {
        let known = self.entries.get(&entry.digest);
        let is_older = |known: &QuarantineEntry| known.decided_unix_ms >= entry.decided_unix_ms;
        // A router that has not received the quarantine may report a further crash later.
        let is_weaker = |known: &QuarantineEntry| known.active && is_suspect(&entry);
        if known.is_some_and(|known| is_older(known) || is_weaker(known)) {
            return false;
        }
        self.insert(entry);
        true
    }

    /// Returns the quarantined digests.
    pub fn quarantined(&self) -> impl Iterator<Item = &QuarantineEntry> {
        self.entries.values().filter(|entry| entry.active)
    }

    /// Replaces the entry by a cleared one, which outdates late updates of the digest.
    fn clear(&mut self, now_unix_ms: u64, digest: &Digest, reason: &str) -> QuarantineEntry {
        let entry = QuarantineEntry {
            digest: digest.clone(),
            active: false,
            crashes: 0,
            reason: Arc::from(reason),
            decided_unix_ms: decision_time_ms(self.entries.get(digest), now_unix_ms),
        };
        self.insert(entry.clone());
        entry
    }

    fn insert(&mut self, entry: QuarantineEntry) {
        self.entries.insert(entry.digest.clone(), entry);
        let inactive = self.entries.values().filter(|entry| !entry.active);
        if self.entries.len() <= INACTIVE_ENTRIES_MAX
            || inactive.clone().count() <= INACTIVE_ENTRIES_MAX
        {
            return;
        }
        let oldest = inactive.min_by_key(|entry| entry.decided_unix_ms);
        if let Some(digest) = oldest.map(|entry| entry.digest.clone()) {
            self.entries.remove(&digest);
        }
    }
}

fn is_suspect(entry: &QuarantineEntry) -> bool {
    !entry.active && entry.crashes > 0
}

/// Returns the time of a new decision, always later than that of the known decision.
///
/// The clocks of two VMs differ, so the current time alone may lie before the known decision.
fn decision_time_ms(known: Option<&QuarantineEntry>, now_unix_ms: u64) -> u64 {
    known.map_or(now_unix_ms, |entry| {
        now_unix_ms.max(entry.decided_unix_ms + 1)
    })
}
