use std::collections::HashMap;
use std::sync::Arc;

use chicorystage_api::name::Digest;
use chicorystage_api::peer::QuarantineEntry;

use crate::suspects::Standing;

/// Suspects kept at once; the oldest is dropped for a newer one.
const SUSPECTS_MAX: usize = 10_000;

/// Digests that are suspected or quarantined.
///
/// An entry is shared between processes as a [`QuarantineEntry`]: active for a
/// quarantine, inactive with crashes for a suspect, inactive without crashes
/// for one that an operator lifted.
#[derive(Clone, Debug, Default)]
pub struct SuspectList {
    entries: HashMap<Digest, QuarantineEntry>,
}

impl SuspectList {
    /// Returns what is held against a digest.
    #[must_use]
    pub fn standing(&self, digest: &Digest) -> Standing {
        match self.entries.get(digest) {
            Some(entry) if entry.active => Standing::Quarantined,
            Some(entry) if entry.crashes > 0 => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// Returns whether nothing is held against any digest.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how often an endpoint died while it ran a digest.
    #[must_use]
    pub fn crashes(&self, digest: &Digest) -> u32 {
        self.entries.get(digest).map_or(0, |entry| entry.crashes)
    }

    /// Returns the most crashes that are held against any digest.
    #[must_use]
    pub fn crashes_most(&self) -> u32 {
        let crashes = self.entries.values().map(|entry| entry.crashes);
        crashes.max().unwrap_or(0)
    }

    /// Notes that an endpoint died while it ran a digest.
    ///
    /// Returns the entry that the other processes need to know.
    pub fn crashed(&mut self, now_unix_ms: u64, digest: &Digest, alone: bool) -> QuarantineEntry {
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
            decided_unix_ms: newer_than(known, now_unix_ms),
        };
        self.insert(entry.clone());
        entry
    }

    /// Notes that a digest completed, which clears a suspect here.
    ///
    /// The others are not told: it would reach them as newer than a quarantine
    /// that was decided meanwhile. They clear the suspect by completing it too.
    pub fn completed(&mut self, now_unix_ms: u64, digest: &Digest) {
        if self.standing(digest) == Standing::Suspect {
            self.clear(now_unix_ms, digest, "the request completed");
        }
    }

    /// Lifts the quarantine of a digest by an operator's order.
    pub fn lift(&mut self, now_unix_ms: u64, digest: &Digest) -> QuarantineEntry {
        self.clear(now_unix_ms, digest, "lifted by an operator")
    }

    /// Takes over what another process decided and returns whether it was news.
    pub fn learn(&mut self, entry: QuarantineEntry) -> bool {
        let known = self.entries.get(&entry.digest);
        let is_older = |known: &QuarantineEntry| known.decided_unix_ms >= entry.decided_unix_ms;
        // A router that had not heard of the quarantine may report one more crash later.
        let is_weaker = |known: &QuarantineEntry| known.active && is_suspicion(&entry);
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

    /// Keeps the cleared entry, so that older news of the digest stays old.
    fn clear(&mut self, now_unix_ms: u64, digest: &Digest, reason: &str) -> QuarantineEntry {
        let entry = QuarantineEntry {
            digest: digest.clone(),
            active: false,
            crashes: 0,
            reason: Arc::from(reason),
            decided_unix_ms: newer_than(self.entries.get(digest), now_unix_ms),
        };
        self.insert(entry.clone());
        entry
    }

    fn insert(&mut self, entry: QuarantineEntry) {
        self.entries.insert(entry.digest.clone(), entry);
        let suspects = self.entries.values().filter(|entry| !entry.active);
        if self.entries.len() <= SUSPECTS_MAX || suspects.clone().count() <= SUSPECTS_MAX {
            return;
        }
        let oldest = suspects.min_by_key(|entry| entry.decided_unix_ms);
        if let Some(digest) = oldest.map(|entry| entry.digest.clone()) {
            self.entries.remove(&digest);
        }
    }
}

fn is_suspicion(entry: &QuarantineEntry) -> bool {
    !entry.active && entry.crashes > 0
}

/// Clocks of two VMs differ; a decision that follows a known one is newer than it.
fn newer_than(known: Option<&QuarantineEntry>, now_unix_ms: u64) -> u64 {
    known.map_or(now_unix_ms, |entry| {
        now_unix_ms.max(entry.decided_unix_ms + 1)
    })
}
