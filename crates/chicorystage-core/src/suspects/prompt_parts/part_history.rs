use std::cmp::Reverse;
use std::collections::HashSet;

use crate::suspects::prompt_parts::recorded_crash::PartSuspicion;

/// Crashes in a row after which a part may be taken for their cause.
const CRASHES_IN_A_ROW: u32 = 3;
/// Separate crashes after which it is, though no answer had begun.
const SEPARATE_CRASHES: u32 = 5;

/// Order of parts by how likely they are the cause: the greatest is the likeliest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Likelihood {
    pub begun_crashes: u32,
    pub crashes: u32,
    /// Whether no process has seen an answer to a prompt with the part.
    pub was_never_sound: bool,
    pub position: usize,
    pub requests: Reverse<u32>,
}

/// Crashes that a part may be missing from and still be taken for present at all of them, since the
/// report of a gateway may be lost.
const MISSED_CRASHES: usize = 1;
/// Time between two crashes from which they are separate ones, whenever their attempts began, in
/// milliseconds.
const SEPARATE_MS: u64 = 20;

/// A part at one crash that it may have caused.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashOfPart {
    /// Index of the crash.
    pub crash: usize,
    /// Time of the crash, in milliseconds.
    pub crashed_ms: u64,
    /// What is known of the part there.
    pub suspicion: PartSuspicion,
}

/// A part at the crashes that it may have caused, oldest first.
#[derive(Debug, Default)]
pub(super) struct PartHistory {
    /// The crashes.
    pub crashes: Vec<CrashOfPart>,
}

impl PartHistory {
    /// Returns whether the crashes suffice to take the part for their cause.
    pub fn is_sufficient(&self) -> bool {
        let is_in_a_row = self.in_a_row() >= CRASHES_IN_A_ROW;
        self.begun_in_a_row() >= CRASHES_IN_A_ROW
            || (is_in_a_row && self.separate() >= SEPARATE_CRASHES)
    }

    /// Returns the number of crashes in a row during answers that had begun.
    pub fn begun_in_a_row(&self) -> u32 {
        let begun = self.crashes.iter().filter(|at| at.suspicion.is_begun);
        count_after(begun, CrashOfPart::is_of_later_attempt)
    }

    /// Returns the number of crashes in a row, each of an attempt that began after the crash before.
    pub fn in_a_row(&self) -> u32 {
        count_after(self.crashes.iter(), CrashOfPart::is_of_later_attempt)
    }

    /// Returns the number of crashes that did not come together with the one before.
    fn separate(&self) -> u32 {
        count_after(self.crashes.iter(), |at, last_ms| {
            at.is_of_later_attempt(last_ms) || at.crashed_ms >= last_ms + SEPARATE_MS
        })
    }

    /// Returns whether the part could have caused the crashes of another one, too.
    pub fn could_explain(&self, other: &Self) -> bool {
        let own: HashSet<usize> = self.crashes.iter().map(|at| at.crash).collect();
        let missed = other.crashes.iter().filter(|at| !own.contains(&at.crash));
        missed.count() <= MISSED_CRASHES
    }

    /// Returns how likely the part is the cause; `was_sound` is whether it was ever answered.
    pub fn likelihood(&self, was_sound: bool) -> Likelihood {
        let suspicions = || self.crashes.iter().map(|at| at.suspicion);
        let count = |len: usize| u32::try_from(len).unwrap_or(u32::MAX);
        let positions = suspicions().map(|suspicion| suspicion.position);
        Likelihood {
            begun_crashes: count(suspicions().filter(|suspicion| suspicion.is_begun).count()),
            crashes: count(self.crashes.len()),
            was_never_sound: !was_sound,
            position: positions.max().unwrap_or(0),
            requests: Reverse(suspicions().map(|suspicion| suspicion.requests).sum()),
        }
    }
}

impl CrashOfPart {
    /// Returns whether an attempt at the crash began after a time, in milliseconds.
    fn is_of_later_attempt(&self, last_ms: u64) -> bool {
        self.suspicion.attempt_began_ms >= last_ms
    }
}

/// Counts the crashes that come after the one counted before, whose time the condition is given.
fn count_after<'a>(
    crashes: impl Iterator<Item = &'a CrashOfPart>,
    is_after: impl Fn(&CrashOfPart, u64) -> bool,
) -> u32 {
    let mut count = 0;
    let mut last_ms = None;
    for at in crashes {
        if last_ms.is_none_or(|last_ms| is_after(at, last_ms)) {
            count += 1;
            last_ms = Some(at.crashed_ms);
        }
    }
    count
}
