use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

use chicorystage_api::name::{Digest, EndpointId, PromptPartId, ServiceName};

use crate::suspects::prompt_parts::part_history::{CrashOfPart, Likelihood, PartHistory};
use crate::suspects::prompt_parts::recorded_crash::RecordedCrash;
use crate::suspects::prompt_parts::sound_parts::SoundParts;
use crate::suspects::prompt_parts::{
    BrokenRequest, Candidate, CrashReport, Culprit, PartAtCrash, ServicePart, Verdict,
};

/// Number of crashes up to which equally likely parts wait for another crash.
const UNDECIDED_CRASHES: u32 = 5;
/// Largest number of crashes that are kept.
const CRASHES_MAX: usize = 64;
/// Time for which a crash is kept, in milliseconds.
const CRASH_KEPT_MS: u64 = 3_600_000;
/// Largest number of parts in a report, which must fit a datagram.
const REPORTED_PARTS_MAX: usize = 64;

/// A suspected part, how likely it is the cause, and its crashes.
type Suspect = (Likelihood, ServicePart, PartHistory);

/// Crashes of endpoints with the prompt parts that may have caused them.
///
/// Times are on the clock of this process.
#[derive(Clone, Debug, Default)]
pub struct PartEvidence {
    crashes: VecDeque<RecordedCrash>,
    sound: SoundParts,
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
            let key = ServicePart::new(service, part);
            self.sound.answered(now_ms, key, was_suspected);
            if was_suspected {
                cleared.push(part.clone());
            }
        }
        cleared
    }

    /// Records that another process has told all others that parts are sound.
    pub fn merge_sound(&mut self, now_ms: u64, service: &ServiceName, parts: &[PromptPartId]) {
        for part in parts {
            self.clear(service, part);
            let key = ServicePart::new(service, part);
            self.sound.answered(now_ms, key, true);
        }
    }

    /// Records that another process has told all others that parts were sound some time ago.
    pub fn merge_formerly_sound(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        parts: &[PromptPartId],
    ) {
        for part in parts {
            let key = ServicePart::new(service, part);
            self.sound.was_answered(now_ms, key);
        }
    }

    /// Returns the parts of a report that were sound some time ago, and are suspected now.
    #[must_use]
    pub fn formerly_sound(&self, now_ms: u64, report: &CrashReport) -> Vec<PromptPartId> {
        let parts = report.parts.iter().map(|part| &part.part);
        let former = parts.filter(|part| {
            let key = ServicePart::new(&report.service, part);
            self.sound.was_sound(&key) && !self.sound.is_sound(now_ms, &key)
        });
        former.cloned().collect()
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
        let crashed_ms = now_ms.saturating_sub(report.age_ms);
        let crash = self.crash(now_ms, crashed_ms, report);
        for part in suspects {
            crash.add(part, crashed_ms, is_own);
        }
        sound.into_iter().map(|part| part.part.clone()).collect()
    }

    /// Returns which of the parts no process has told the others of since `since_ms`, and counts them
    /// as told now.
    pub fn take_untold(
        &mut self,
        now_ms: u64,
        since_ms: u64,
        service: &ServiceName,
        parts: Vec<PromptPartId>,
    ) -> Vec<PromptPartId> {
        self.sound.take_untold(now_ms, since_ms, service, parts)
    }

    /// Returns what the crashes tell of their cause, with at most `len` candidates.
    ///
    /// A part that is quarantined already explains the crashes up to the last one with it.
    #[must_use]
    pub fn verdict(&self, is_quarantined: impl Fn(&ServicePart) -> bool, len: usize) -> Verdict {
        let mut ranked = self.ranked(is_quarantined);
        let cause = (0..ranked.len()).find(|&rank| is_cause(&ranked, rank));
        if let Some(rank) = cause {
            let (likelihood, part, _) = ranked.swap_remove(rank);
            let crashes = likelihood.crashes;
            return Verdict::Cause(Culprit { part, crashes });
        }
        ranked.sort_by_key(|(likelihood, ..)| Reverse(likelihood.crashes));
        let candidates = ranked.into_iter().take(len);
        Verdict::Undecided(candidates.map(candidate).collect())
    }

    /// Returns the part that causes the crashes, if they suffice to tell and this process had a
    /// request with it.
    #[must_use]
    pub fn culprit(&self, is_quarantined: impl Fn(&ServicePart) -> bool) -> Option<Culprit> {
        match self.verdict(is_quarantined, 0) {
            Verdict::Cause(culprit) if self.is_own(&culprit.part) => Some(culprit),
            Verdict::Cause(_) | Verdict::Undecided(_) => None,
        }
    }

    /// Returns whether this process had a request with a part that broke in a crash.
    #[must_use]
    pub fn is_own(&self, part: &ServicePart) -> bool {
        let crashes = self.crashes.iter();
        let of_service = crashes.filter(|crash| crash.service == part.service);
        let mut suspicions = of_service.filter_map(|crash| crash.suspects.get(&part.part));
        suspicions.any(|suspicion| suspicion.is_own)
    }

    /// Returns the suspected parts, the likeliest cause first.
    fn ranked(&self, is_quarantined: impl Fn(&ServicePart) -> bool) -> Vec<Suspect> {
        let histories = self.histories(is_quarantined).into_iter();
        let ranked = histories.map(|(part, history)| {
            let was_sound = self.sound.was_sound(&part);
            (history.likelihood(was_sound), part, history)
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        ranked
    }

    /// Returns whether parts other than this one could as well be the cause of its crashes.
    #[must_use]
    pub fn has_rivals(&self, part: &ServicePart) -> bool {
        !self.rivals(part).is_empty()
    }

    /// Returns whether the outcome of a request would tell a part from others that could as well be the
    /// cause of its crashes: the request has the part, and not all of the others.
    #[must_use]
    pub fn is_telling(&self, part: &ServicePart, request_parts: &[PromptPartId]) -> bool {
        let rivals = self.rivals(part);
        rivals.iter().any(|rival| !request_parts.contains(rival))
    }

    /// Returns the parts that are in each crash of this one and no less likely the cause but for their
    /// position.
    fn rivals(&self, part: &ServicePart) -> Vec<PromptPartId> {
        let mut crashes = self
            .crashes
            .iter()
            .filter(|crash| crash.service == part.service)
            .filter(|crash| crash.suspects.contains_key(&part.part));
        let Some(first) = crashes.next() else {
            return Vec::new();
        };
        let others = first.suspects.keys().filter(|other| **other != part.part);
        let mut rivals: Vec<PromptPartId> = others.cloned().collect();
        for crash in crashes {
            rivals.retain(|rival| crash.suspects.contains_key(rival));
        }
        let was_sound = self.sound.was_sound(part);
        rivals.retain(|rival| {
            let rival = ServicePart::new(&part.service, rival);
            was_sound || !self.sound.was_sound(&rival)
        });
        rivals
    }

    /// Forgets the crashes of the part with this digest, whose quarantine an operator has lifted.
    pub fn forget(&mut self, digest: &Digest) {
        for crash in &mut self.crashes {
            let service = &crash.service;
            crash
                .suspects
                .retain(|part, _| ServicePart::new(service, part).digest() != *digest);
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
            parts.any(|part| is_quarantined(&ServicePart::new(&crash.service, part)))
        };
        let explained_ms = self.crashes.iter().filter(is_explained);
        let explained_ms = explained_ms.map(|crash| crash.crashed_ms).max();
        let crashes = self.crashes.iter().enumerate();
        let unexplained = crashes.filter(|(_, crash)| Some(crash.crashed_ms) > explained_ms);
        let mut histories: HashMap<ServicePart, PartHistory> = HashMap::new();
        for (index, crash) in unexplained {
            for (part, suspicion) in &crash.suspects {
                let history = histories
                    .entry(ServicePart::new(&crash.service, part))
                    .or_default();
                history.crashes.push(CrashOfPart {
                    crash: index,
                    crashed_ms: crash.crashed_ms,
                    suspicion: *suspicion,
                });
            }
        }
        histories
    }

    /// Returns the record of a report's crash, a new one if there is none.
    fn crash(&mut self, now_ms: u64, crashed_ms: u64, report: &CrashReport) -> &mut RecordedCrash {
        let is_old = |crash: &RecordedCrash| crash.crashed_ms + CRASH_KEPT_MS <= now_ms;
        self.crashes.retain(|crash| !is_old(crash));
        let known = self
            .crashes
            .iter()
            .position(|crash| crash.is_of(report, crashed_ms));
        let known = known.and_then(|at| self.crashes.remove(at));
        if known.is_none() && self.crashes.len() >= CRASHES_MAX {
            self.crashes.pop_front();
        }
        let mut crash = known.unwrap_or_else(|| RecordedCrash::new(report, crashed_ms));
        crash.crashed_ms = crash.crashed_ms.max(crashed_ms);
        // Reports of several processes may arrive in another order than the crashes.
        let at = self
            .crashes
            .partition_point(|other| other.crashed_ms <= crash.crashed_ms);
        self.crashes.insert(at, crash);
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
        self.sound
            .is_sound(now_ms, &ServicePart::new(service, part))
    }
}

/// Returns whether the suspect with this rank is the cause of its crashes: they suffice, and no likelier part
/// was present at them.
///
/// A likelier part of other crashes says nothing of these.
fn is_cause(ranked: &[Suspect], rank: usize) -> bool {
    let (likelihood, _, history) = &ranked[rank];
    if !history.is_sufficient() {
        return false;
    }
    let is_few = likelihood.crashes < UNDECIDED_CRASHES;
    let mut others = ranked.iter().enumerate().filter(|(other, suspect)| {
        let is_likelier = *other < rank;
        let is_as_likely = is_few && *other != rank && suspect.0 == *likelihood;
        is_likelier || is_as_likely
    });
    !others.any(|(_, suspect)| suspect.2.could_explain(history))
}

fn candidate(suspect: Suspect) -> Candidate {
    let (likelihood, part, history) = suspect;
    Candidate {
        part,
        crashes: likelihood.crashes,
        begun_crashes: likelihood.begun_crashes,
        in_a_row: history.in_a_row(),
        begun_in_a_row: history.begun_in_a_row(),
    }
}
