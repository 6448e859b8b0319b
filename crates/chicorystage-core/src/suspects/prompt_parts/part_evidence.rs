use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

use chicorystage_api::name::{Digest, EndpointId, PromptPartId, ServiceName};

use crate::suspects::prompt_parts::recorded_crash::{PartSuspicion, RecordedCrash};
use crate::suspects::prompt_parts::{
    BrokenRequest, CrashReport, Culprit, PartAtCrash, ServicePart,
};

/// Crashes in a row, during answers that had begun, after which a part is taken for their cause.
const BEGUN_CRASHES: u32 = 3;
/// Crashes in a row after which a part is taken for their cause though no answer had begun.
const CRASHES: u32 = 5;
/// Number of crashes up to which equally likely parts wait for another crash.
const UNDECIDED_CRASHES: u32 = 5;
/// Time for which an answer that got past its beginning proves the parts of its prompt sound, in
/// milliseconds; software that changes may crash on a part later.
const SOUND_MS: u64 = 10_000;
/// Largest number of sound parts that are kept.
const SOUND_PARTS_MAX: usize = 16_384;
/// Largest number of crashes that are kept.
const CRASHES_MAX: usize = 64;
/// Time for which a crash is kept, in milliseconds.
const CRASH_KEPT_MS: u64 = 3_600_000;
/// Largest number of parts in a report, which must fit a datagram.
const REPORTED_PARTS_MAX: usize = 64;

/// Crashes of endpoints with the prompt parts that may have caused them.
///
/// Times are on the clock of this process.
#[derive(Clone, Debug, Default)]
pub struct PartEvidence {
    crashes: VecDeque<RecordedCrash>,
    sound: HashMap<ServicePart, Soundness>,
}

/// When a part was last known to be sound.
#[derive(Clone, Copy, Debug, Default)]
struct Soundness {
    /// Time of the last answer that got past its beginning.
    answered_ms: u64,
    /// Last time at which a process told all others; `None` if none did.
    told_ms: Option<u64>,
}

/// Order of parts by how likely they are the cause: the greatest is the likeliest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Likelihood {
    begun_crashes: u32,
    crashes: u32,
    position: usize,
    requests: Reverse<u32>,
}

/// A part at the crashes that it may have caused, oldest first.
#[derive(Debug, Default)]
struct PartHistory {
    crashes: Vec<(u64, PartSuspicion)>,
}

impl PartEvidence {
    /// Records that an answer got past its beginning, which proves the parts of its prompt sound.
    ///
    /// Returns the parts that were suspected; the other processes must be told of them.
    pub fn record_sound(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        parts: &[PromptPartId],
    ) -> Vec<PromptPartId> {
        let mut cleared = Vec::new();
        for part in parts {
            let was_suspected = self.clear(service, part);
            let soundness = self.soundness(now_ms, service, part);
            soundness.answered_ms = now_ms;
            if was_suspected {
                soundness.told_ms = Some(now_ms);
                cleared.push(part.clone());
            }
        }
        cleared
    }

    /// Records that another process has told all others that parts are sound.
    pub fn merge_sound(&mut self, now_ms: u64, service: &ServiceName, parts: &[PromptPartId]) {
        for part in parts {
            self.clear(service, part);
            *self.soundness(now_ms, service, part) = Soundness {
                answered_ms: now_ms,
                told_ms: Some(now_ms),
            };
        }
    }

    /// Returns the report of a crash that broke these requests; `None` if each part is known to be
    /// sound.
    #[must_use]
    pub fn report(
        &self,
        now_ms: u64,
        endpoint: &EndpointId,
        service: &ServiceName,
        broke_ms: u64,
        broken: &[BrokenRequest],
    ) -> Option<CrashReport> {
        let mut parts: HashMap<&PromptPartId, PartAtCrash> = HashMap::new();
        for request in broken {
            let attempt_ms = broke_ms.saturating_sub(request.attempt_began_ms);
            for (position, part) in request.parts.iter().enumerate() {
                if self.is_sound(now_ms, service, part) {
                    continue;
                }
                let known = parts.entry(part).or_insert_with(|| PartAtCrash {
                    part: part.clone(),
                    requests: 0,
                    is_begun: false,
                    attempt_ms,
                    position,
                });
                known.requests += 1;
                known.is_begun |= request.is_begun;
                known.attempt_ms = known.attempt_ms.min(attempt_ms);
                known.position = known.position.max(position);
            }
        }
        let mut parts: Vec<PartAtCrash> = parts.into_values().collect();
        parts.sort_by(|a, b| {
            let key = |part: &PartAtCrash| (!part.is_begun, part.requests, Reverse(part.position));
            key(a).cmp(&key(b)).then_with(|| a.part.cmp(&b.part))
        });
        parts.truncate(REPORTED_PARTS_MAX);
        (!parts.is_empty()).then(|| CrashReport {
            endpoint: endpoint.clone(),
            service: service.clone(),
            age_ms: now_ms.saturating_sub(broke_ms),
            parts,
        })
    }

    /// Merges the report of a crash; `is_own` is whether it is this process's.
    ///
    /// Returns the parts that this process knows to be sound, of which the others must be told.
    pub fn record_crash(
        &mut self,
        now_ms: u64,
        report: &CrashReport,
        is_own: bool,
    ) -> Vec<PromptPartId> {
        let (sound, suspects): (Vec<_>, Vec<_>) = report
            .parts
            .iter()
            .partition(|part| self.is_sound(now_ms, &report.service, &part.part));
        let crash = self.crash(now_ms, report);
        for part in suspects {
            crash.add(part, is_own);
        }
        sound.into_iter().map(|part| part.part.clone()).collect()
    }

    /// Returns which of the parts no process has told the others to be sound since `since_ms`, and
    /// counts them as told now.
    pub fn take_untold(
        &mut self,
        now_ms: u64,
        since_ms: u64,
        service: &ServiceName,
        parts: Vec<PromptPartId>,
    ) -> Vec<PromptPartId> {
        let untold = parts.into_iter().filter(|part| {
            let Some(soundness) = self.sound.get_mut(&key(service, part)) else {
                return false;
            };
            let is_untold = soundness.told_ms.is_none_or(|told_ms| told_ms < since_ms);
            if is_untold {
                soundness.told_ms = Some(now_ms);
            }
            is_untold
        });
        untold.collect()
    }

    /// Returns the part that causes the crashes, if they suffice to tell and this process had a
    /// request with it.
    ///
    /// A part that is quarantined already explains the crashes up to the last one with it.
    #[must_use]
    pub fn culprit(&self, is_quarantined: impl Fn(&ServicePart) -> bool) -> Option<Culprit> {
        let histories = self.histories(is_quarantined);
        let mut ranked: Vec<(Likelihood, ServicePart, PartHistory)> = histories
            .into_iter()
            .map(|(part, history)| (history.likelihood(), part, history))
            .collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let (best, part, history) = ranked.first()?;
        let is_undecided = ranked.get(1).is_some_and(|(next, ..)| next == best);
        if !history.is_sufficient() || (is_undecided && best.crashes < UNDECIDED_CRASHES) {
            return None;
        }
        let is_own = self
            .crashes
            .iter()
            .filter(|crash| crash.service == part.service)
            .filter_map(|crash| crash.suspects.get(&part.part))
            .any(|suspicion| suspicion.is_own);
        is_own.then(|| Culprit {
            part: part.clone(),
            crashes: best.crashes,
        })
    }

    /// Forgets the crashes of the part with this digest, whose quarantine an operator has lifted.
    pub fn forget(&mut self, digest: &Digest) {
        for crash in &mut self.crashes {
            let service = &crash.service;
            crash
                .suspects
                .retain(|part, _| key(service, part).digest() != *digest);
        }
    }

    /// Returns each suspected part with its crashes that no quarantined part explains.
    ///
    /// Crashes up to the last one that such a part explains are left out, since the report of it at an
    /// earlier one may have been lost.
    fn histories(
        &self,
        is_quarantined: impl Fn(&ServicePart) -> bool,
    ) -> HashMap<ServicePart, PartHistory> {
        let is_explained = |crash: &&RecordedCrash| {
            let mut parts = crash.suspects.keys();
            parts.any(|part| is_quarantined(&key(&crash.service, part)))
        };
        let explained_ms = self.crashes.iter().filter(is_explained);
        let explained_ms = explained_ms.map(|crash| crash.crashed_ms).max();
        let unexplained = self
            .crashes
            .iter()
            .filter(|crash| Some(crash.crashed_ms) > explained_ms);
        let mut histories: HashMap<ServicePart, PartHistory> = HashMap::new();
        for crash in unexplained {
            for (part, suspicion) in &crash.suspects {
                let history = histories.entry(key(&crash.service, part)).or_default();
                history.crashes.push((crash.crashed_ms, *suspicion));
            }
        }
        histories
    }

    /// Returns the record of a report's crash, a new one if there is none.
    fn crash(&mut self, now_ms: u64, report: &CrashReport) -> &mut RecordedCrash {
        let crashed_ms = now_ms.saturating_sub(report.age_ms);
        let is_old = |crash: &RecordedCrash| crash.crashed_ms + CRASH_KEPT_MS <= now_ms;
        self.crashes.retain(|crash| !is_old(crash));
        let known = self
            .crashes
            .iter()
            .position(|crash| crash.is_of(report, crashed_ms));
        let at = known.unwrap_or_else(|| {
            if self.crashes.len() >= CRASHES_MAX {
                self.crashes.pop_front();
            }
            // Reports of several processes may arrive in another order than the crashes.
            let at = self
                .crashes
                .partition_point(|crash| crash.crashed_ms <= crashed_ms);
            self.crashes
                .insert(at, RecordedCrash::new(report, crashed_ms));
            at
        });
        &mut self.crashes[at]
    }

    /// Removes a part from all crashes; returns whether it was suspected.
    fn clear(&mut self, service: &ServiceName, part: &PromptPartId) -> bool {
        let mut was_suspected = false;
        for crash in &mut self.crashes {
            if crash.service == *service {
                was_suspected |= crash.suspects.remove(part).is_some();
            }
        }
        was_suspected
    }

    fn is_sound(&self, now_ms: u64, service: &ServiceName, part: &PromptPartId) -> bool {
        let soundness = self.sound.get(&key(service, part));
        soundness.is_some_and(|soundness| now_ms < soundness.answered_ms + SOUND_MS)
    }

    /// Returns the record of a sound part; forgets old ones if there are too many.
    fn soundness(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        part: &PromptPartId,
    ) -> &mut Soundness {
        if self.sound.len() >= SOUND_PARTS_MAX {
            self.sound
                .retain(|_, soundness| now_ms < soundness.answered_ms + SOUND_MS);
        }
        if self.sound.len() >= SOUND_PARTS_MAX {
            // What is forgotten is proved anew by the next answers.
            self.sound.clear();
        }
        self.sound.entry(key(service, part)).or_default()
    }
}

impl PartHistory {
    fn is_sufficient(&self) -> bool {
        self.in_a_row(|suspicion| suspicion.is_begun) >= BEGUN_CRASHES
            || self.in_a_row(|_| true) >= CRASHES
    }

    /// Counts the crashes whose attempt began after the one counted before.
    fn in_a_row(&self, counts: impl Fn(&PartSuspicion) -> bool) -> u32 {
        let mut count = 0;
        let mut last_crash_ms = None;
        for (crashed_ms, suspicion) in &self.crashes {
            let is_later =
                last_crash_ms.is_none_or(|last_ms| suspicion.attempt_began_ms >= last_ms);
            if counts(suspicion) && is_later {
                count += 1;
                last_crash_ms = Some(*crashed_ms);
            }
        }
        count
    }

    fn likelihood(&self) -> Likelihood {
        let suspicions = || self.crashes.iter().map(|(_, suspicion)| suspicion);
        let count = |len: usize| u32::try_from(len).unwrap_or(u32::MAX);
        Likelihood {
            begun_crashes: count(suspicions().filter(|suspicion| suspicion.is_begun).count()),
            crashes: count(self.crashes.len()),
            requests: Reverse(suspicions().map(|suspicion| suspicion.requests).sum()),
            position: suspicions()
                .map(|suspicion| suspicion.position)
                .max()
                .unwrap_or(0),
        }
    }
}

fn key(service: &ServiceName, part: &PromptPartId) -> ServicePart {
    ServicePart {
        service: service.clone(),
        part: part.clone(),
    }
}
