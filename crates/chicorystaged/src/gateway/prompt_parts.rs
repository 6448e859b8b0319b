//! Finds parts of prompts that crash endpoints, together with the other gateways.
//!
//! Each gateway tells the others which parts of prompts broke with an endpoint. One that knows a
//! reported part to be sound tells all. A gateway that had a request with the part that explains the
//! crashes quarantines it, like a request that crashes endpoints.

use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::{EndpointId, PromptPartId, ServiceName};
use chicorystage_api::peer::QuarantineEntry;
use chicorystage_core::suspects::DigestStatus;
use chicorystage_core::suspects::prompt_parts::{
    BrokenRequest, Candidate, CrashReport, Culprit, ServicePart, Verdict,
};
use derive_more::Display;
use rand::RngExt;

use crate::gateway::crash_checks::BrokenAttempt;
use crate::gateway::peer_message::PeerContent;
use crate::gateway::shared::Gateway;
use crate::gateway::{peers, poison};
use crate::timer::unix_ms;

/// Time from a report to the decision on it, in which other gateways report the crash or that a part
/// is sound, in milliseconds.
const DECISION_DELAY_MS: u64 = 250;
/// Longest delay before a gateway tells that a reported part is sound, in milliseconds; only the first
/// of those that know it does.
const TELL_DELAY_MAX_MS: u64 = 100;

/// Number of suspected parts that the log names where none is taken for the cause.
const LOGGED_CANDIDATES: usize = 4;

/// What a gateway knows of prompt parts that are suspected.
#[derive(Clone, Copy, Debug, Display)]
enum PartsKnown {
    /// An answer to a prompt with them got past its beginning a moment ago.
    #[display("sound")]
    Sound,
    /// The same, some time ago.
    #[display("formerly sound")]
    FormerlySound,
}

/// Records a crash with the parts of the prompts that broke, and decides whether one is its cause.
pub(super) async fn record_crash(
    gateway: &Rc<Gateway>,
    endpoint: &EndpointId,
    attempts: &[BrokenAttempt],
) {
    let Some(first) = attempts.first() else {
        return;
    };
    let broken = attempts.iter().filter_map(|attempt| attempt.broken.clone());
    let broken: Vec<BrokenRequest> = broken.collect();
    let now_ms = gateway.now_ms();
    let report = gateway.with(|view| {
        let evidence = &mut view.part_evidence;
        let report = evidence.report(now_ms, endpoint, &first.service, first.broke_ms, &broken)?;
        evidence.record_crash(now_ms, &report, true);
        Some(report)
    });
    let Some(report) = report else {
        return;
    };
    log::info!(
        event = "prompt_parts_suspected", endpoint = endpoint.as_str(),
        service = first.service.as_str(), broken = broken.len(), parts = parts_text(&report),
        begun = begun_text(&report), attempts_ms = attempts_text(&report);
        "endpoint crashed before these prompt parts were known to be sound"
    );
    peers::broadcast(gateway, PeerContent::Crash(report.clone())).await;
    tell_former_later(gateway, &report);
    decide_later(gateway);
}

/// Merges another gateway's report of a crash; tells all which of its parts are known to be sound.
pub(super) fn merge_crash(gateway: &Rc<Gateway>, report: CrashReport) {
    let now_ms = gateway.now_ms();
    let sound = gateway.with(|view| view.part_evidence.record_crash(now_ms, &report, false));
    tell_former_later(gateway, &report);
    tell_later(gateway, report.service, sound, PartsKnown::Sound);
    decide_later(gateway);
}

/// Merges which parts another gateway knows to be sound.
pub(super) fn merge_sound(gateway: &Gateway, service: &ServiceName, parts: &[PromptPartId]) {
    let now_ms = gateway.now_ms();
    gateway.with(|view| view.part_evidence.merge_sound(now_ms, service, parts));
}

/// Merges which parts another gateway knows to have been sound.
pub(super) fn merge_formerly_sound(
    gateway: &Gateway,
    service: &ServiceName,
    parts: &[PromptPartId],
) {
    let now_ms = gateway.now_ms();
    gateway.with(|view| {
        let evidence = &mut view.part_evidence;
        evidence.merge_formerly_sound(now_ms, service, parts);
    });
}

/// Records that an answer got past its beginning, which proves the parts of its prompt sound.
pub(super) fn record_sound(gateway: &Rc<Gateway>, service: &ServiceName, parts: &[PromptPartId]) {
    if parts.is_empty() {
        return;
    }
    let now_ms = gateway.now_ms();
    let wrong = wrongly_quarantined(gateway, service, parts);
    let cleared = gateway.with(|view| view.part_evidence.record_sound(now_ms, service, parts));
    if cleared.is_empty() {
        return;
    }
    let (gateway, service) = (Rc::clone(gateway), service.clone());
    tokio::task::spawn_local(async move {
        tell(&gateway, service, cleared, PartsKnown::Sound).await;
        for part in wrong {
            lift(&gateway, &part).await;
        }
    });
}

/// Returns the parts of an answered prompt whose quarantine is in doubt.
///
/// Where nothing else could be the cause, an answer does not end a quarantine: endpoints of another
/// software version may answer what crashes those of one.
fn wrongly_quarantined(
    gateway: &Gateway,
    service: &ServiceName,
    parts: &[PromptPartId],
) -> Vec<ServicePart> {
    let parts = parts.iter().map(|part| ServicePart::new(service, part));
    gateway.with(|view| {
        let (suspects, evidence) = (&view.suspects, &view.part_evidence);
        let quarantined =
            parts.filter(|part| suspects.status(&part.digest()) == DigestStatus::Quarantined);
        quarantined
            .filter(|part| evidence.has_rivals(part))
            .collect()
    })
}

/// Ends the quarantine of a part that is sound, and looks for the cause among the others.
async fn lift(gateway: &Rc<Gateway>, part: &ServicePart) {
    let digest = part.digest();
    let entry = gateway.with(|view| view.suspects.lift(unix_ms(), &digest));
    gateway.metrics.count_quarantine("lifted_part");
    log::warn!(
        event = "prompt_part_sound_after_all", part = part.part.as_str(),
        service = part.service.as_str(), digest = digest.as_str();
        "quarantined prompt part has been answered; another one crashes endpoints"
    );
    poison::publish_quarantine(gateway, entry).await;
    // No report is awaited, and requests with the cause get through until it is known.
    decide(gateway).await;
}

/// Merges another gateway's decision on a quarantine; after the end of one the cause is looked for anew.
pub(super) fn merge_decision(gateway: &Rc<Gateway>, entry: QuarantineEntry) {
    let (digest, is_end) = (entry.digest.clone(), !entry.active && entry.crashes == 0);
    let is_new = poison::merge(gateway, entry);
    if is_new && is_end {
        gateway.with(|view| view.part_evidence.forget(&digest));
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move { decide(&gateway).await });
    }
}

/// Tells the other gateways after a random delay which parts of a report were sound.
fn tell_former_later(gateway: &Rc<Gateway>, report: &CrashReport) {
    let now_ms = gateway.now_ms();
    let former = gateway.with(|view| view.part_evidence.formerly_sound(now_ms, report));
    let service = report.service.clone();
    tell_later(gateway, service, former, PartsKnown::FormerlySound);
}

/// Tells the other gateways after a random delay what is known of parts, unless another did meanwhile.
fn tell_later(
    gateway: &Rc<Gateway>,
    service: ServiceName,
    parts: Vec<PromptPartId>,
    known: PartsKnown,
) {
    if parts.is_empty() {
        return;
    }
    let since_ms = gateway.now_ms();
    let gateway = Rc::clone(gateway);
    let delay_ms = rand::rng().random_range(0..=TELL_DELAY_MAX_MS);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let now_ms = gateway.now_ms();
        let untold = gateway.with(|view| {
            let evidence = &mut view.part_evidence;
            evidence.take_untold(now_ms, since_ms, &service, parts)
        });
        if !untold.is_empty() {
            tell(&gateway, service, untold, known).await;
        }
    });
}

/// Tells the other gateways what is known of parts.
async fn tell(
    gateway: &Rc<Gateway>,
    service: ServiceName,
    parts: Vec<PromptPartId>,
    known: PartsKnown,
) {
    log::info!(
        event = "prompt_parts_sound", service = service.as_str(), parts = ids_text(&parts), known:%;
        "prompt parts that were suspected have been answered"
    );
    let content = match known {
        PartsKnown::Sound => PeerContent::SoundParts { service, parts },
        PartsKnown::FormerlySound => PeerContent::FormerlySoundParts { service, parts },
    };
    peers::broadcast(gateway, content).await;
}

/// Decides after a delay whether a part of prompts causes the crashes.
fn decide_later(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(DECISION_DELAY_MS)).await;
        decide(&gateway).await;
    });
}

/// Quarantines the part of prompts that causes the crashes, if one is found.
async fn decide(gateway: &Rc<Gateway>) {
    let verdict = gateway.with(|view| {
        let (suspects, evidence) = (&view.suspects, &view.part_evidence);
        let is_quarantined =
            |part: &ServicePart| suspects.status(&part.digest()) == DigestStatus::Quarantined;
        evidence.verdict(is_quarantined, LOGGED_CANDIDATES)
    });
    let Culprit { part, crashes } = match verdict {
        Verdict::Cause(culprit) => culprit,
        Verdict::Undecided(candidates) => return log_undecided(&candidates),
    };
    if !gateway.with(|view| view.part_evidence.is_own(&part)) {
        return;
    }
    let digest = part.digest();
    let reason = part.to_string();
    let entry = gateway.with(|view| {
        let suspects = &mut view.suspects;
        suspects.quarantine(unix_ms(), &digest, crashes, &reason)
    });
    gateway.metrics.count_quarantine("prompt_part");
    log::warn!(
        event = "prompt_part_quarantined", part = part.part.as_str(),
        service = part.service.as_str(), crashes, digest = digest.as_str();
        "prompt part crashes endpoints; requests with it are refused"
    );
    poison::publish_quarantine(gateway, entry).await;
}

/// Logs which parts are suspected where none is taken for the cause.
fn log_undecided(candidates: &[Candidate]) {
    let Some(first) = candidates.first() else {
        return;
    };
    let texts: Vec<String> = candidates.iter().map(Candidate::to_string).collect();
    log::info!(
        event = "prompt_parts_undecided", service = first.part.service.as_str(),
        candidates = texts.join(", ");
        "no prompt part is known to crash endpoints yet"
    );
}

fn parts_text(report: &CrashReport) -> String {
    let ids: Vec<PromptPartId> = report.parts.iter().map(|part| part.part.clone()).collect();
    ids_text(&ids)
}

/// Returns the parts of answers that had begun.
fn begun_text(report: &CrashReport) -> String {
    let begun = report.parts.iter().filter(|part| part.is_begun);
    let ids: Vec<PromptPartId> = begun.map(|part| part.part.clone()).collect();
    ids_text(&ids)
}

/// Returns the times from the start of attempts to the crash, in the order of the parts.
fn attempts_text(report: &CrashReport) -> String {
    let times = report.parts.iter().map(|part| part.attempt_ms.to_string());
    times.collect::<Vec<_>>().join(",")
}

/// Returns identifiers separated by commas.
fn ids_text(ids: &[PromptPartId]) -> String {
    let ids: Vec<&str> = ids.iter().map(PromptPartId::as_str).collect();
    ids.join(",")
}
