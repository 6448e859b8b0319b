//! What gateways of the simulation tell each other, decide and let through.

use std::collections::HashSet;

use chicorystage_api::name::{EndpointId, PromptPartId};
use chicorystage_core::suspects::prompt_parts::{
    BrokenRequest, CrashReport, PartEvidence, ServicePart,
};
use rand::RngExt;

use super::{FleetWorld, service};

const DECISION_MS: u64 = 250;
const TELL_MS: std::ops::Range<u64> = 0..100;
const DATAGRAM_MS: std::ops::Range<u64> = 1..60;
const DATAGRAM_LOSS: f64 = 0.02;
/// Time in which a row written by one gateway reaches another, in milliseconds.
const ROW_MS: std::ops::Range<u64> = 20..500;
/// Average interval between two trials of all gateways, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 1_000;

#[derive(Clone, Debug)]
pub(super) enum Message {
    CheckDone {
        engine: usize,
        incarnation: u64,
        broke_ms: u64,
        broken: Vec<BrokenRequest>,
    },
    Crash(CrashReport),
    Decide,
    Tell {
        since_ms: u64,
        parts: Vec<PromptPartId>,
    },
    Sound(Vec<PromptPartId>),
    TellFormer {
        since_ms: u64,
        parts: Vec<PromptPartId>,
    },
    FormerlySound(Vec<PromptPartId>),
    Quarantine(ServicePart),
    Lift(ServicePart),
}

#[derive(Debug, Default)]
pub(super) struct Gateway {
    pub(super) evidence: PartEvidence,
    pub(super) quarantined: HashSet<ServicePart>,
    /// Time from which a request may test a quarantine.
    trial_ms: u64,
}

impl Gateway {
    /// Returns the quarantined parts of a prompt.
    pub(super) fn quarantined_parts(&self, parts: &[PromptPartId]) -> Vec<ServicePart> {
        let quarantined = self.quarantined.iter();
        let of_prompt = quarantined.filter(|other| parts.contains(&other.part));
        of_prompt.cloned().collect()
    }
}

impl FleetWorld {
    /// Returns whether a gateway sends a prompt with these parts, which may test a quarantine.
    pub(super) fn let_through(&mut self, gateway: usize, parts: &[PromptPartId]) -> bool {
        let known = &self.gateways[gateway];
        let quarantined = known.quarantined_parts(parts);
        if quarantined.is_empty() {
            return true;
        }
        let mut doubtful = quarantined.iter();
        let is_telling = doubtful.all(|part| known.evidence.is_telling(part, parts));
        let is_trial = is_telling && self.now_ms >= known.trial_ms;
        if is_trial {
            self.defer_trial(gateway);
        }
        is_trial
    }

    pub(super) fn defer_trial(&mut self, gateway: usize) {
        let gateways = u64::try_from(self.gateways.len()).expect("a few");
        let defer_ms = self
            .random
            .random_range(0..2 * TRIAL_INTERVAL_MS * gateways);
        self.gateways[gateway].trial_ms = self.now_ms + defer_ms;
    }

    /// Ends a quarantine; the row that says so reaches all gateways.
    pub(super) fn lift(&mut self, from: usize, part: &ServicePart) {
        self.in_force.remove(part);
        self.receive(from, Message::Lift(part.clone()));
        self.broadcast(from, &Message::Lift(part.clone()));
        for to in (0..self.gateways.len()).filter(|&to| to != from) {
            self.deliver_in(ROW_MS, to, Message::Lift(part.clone()));
        }
    }

    pub(super) fn deliver_in(
        &mut self,
        delay_ms: std::ops::Range<u64>,
        gateway: usize,
        message: Message,
    ) {
        let at_ms = self.now_ms + self.random.random_range(delay_ms);
        self.messages.push((at_ms, gateway, message));
    }

    pub(super) fn broadcast(&mut self, from: usize, message: &Message) {
        for to in (0..self.gateways.len()).filter(|&to| to != from) {
            if !self.random.random_bool(DATAGRAM_LOSS) {
                self.deliver_in(DATAGRAM_MS, to, message.clone());
            }
        }
    }

    /// Handles the messages that have arrived.
    pub(super) fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let all = std::mem::take(&mut self.messages);
        let (due, waiting) = all
            .into_iter()
            .partition::<Vec<_>, _>(|(at_ms, _, _)| *at_ms <= now_ms);
        self.messages = waiting;
        for (_, gateway, message) in due {
            self.receive(gateway, message);
        }
    }

    pub(super) fn receive(&mut self, gateway: usize, message: Message) {
        let now_ms = self.now_ms;
        match message {
            Message::CheckDone {
                engine,
                incarnation,
                broke_ms,
                broken,
            } => {
                let endpoint = EndpointId::from(format!("e{engine}-{incarnation}"));
                let evidence = &mut self.gateways[gateway].evidence;
                let report = evidence.report(now_ms, &endpoint, &service(), broke_ms, &broken);
                let Some(report) = report else {
                    return;
                };
                evidence.record_crash(now_ms, &report, true);
                self.tell_former(gateway, &report);
                self.broadcast(gateway, &Message::Crash(report));
                self.deliver_in(DECISION_MS..DECISION_MS + 20, gateway, Message::Decide);
            }
            Message::Crash(report) => {
                let evidence = &mut self.gateways[gateway].evidence;
                let parts = evidence.record_crash(now_ms, &report, false);
                self.tell_former(gateway, &report);
                if !parts.is_empty() {
                    let tell = Message::Tell {
                        since_ms: now_ms,
                        parts,
                    };
                    self.deliver_in(TELL_MS, gateway, tell);
                }
                self.deliver_in(DECISION_MS..DECISION_MS + 20, gateway, Message::Decide);
            }
            Message::Tell { since_ms, parts } => {
                let evidence = &mut self.gateways[gateway].evidence;
                let untold = evidence.take_untold(now_ms, since_ms, &service(), parts);
                if !untold.is_empty() {
                    self.broadcast(gateway, &Message::Sound(untold));
                }
            }
            Message::Sound(parts) => {
                let evidence = &mut self.gateways[gateway].evidence;
                evidence.merge_sound(now_ms, &service(), &parts);
            }
            Message::TellFormer { since_ms, parts } => {
                let evidence = &mut self.gateways[gateway].evidence;
                let untold = evidence.take_untold(now_ms, since_ms, &service(), parts);
                if !untold.is_empty() {
                    self.broadcast(gateway, &Message::FormerlySound(untold));
                }
            }
            Message::FormerlySound(parts) => {
                let evidence = &mut self.gateways[gateway].evidence;
                evidence.merge_formerly_sound(now_ms, &service(), &parts);
            }
            Message::Decide => self.decide(gateway),
            Message::Quarantine(part) => {
                self.gateways[gateway].quarantined.insert(part);
                self.defer_trial(gateway);
            }
            Message::Lift(part) => {
                let known = &mut self.gateways[gateway];
                known.quarantined.remove(&part);
                known.evidence.forget(&part.digest());
                self.decide(gateway);
            }
        }
    }

    /// Tells the other gateways after a delay which parts of a report were sound.
    pub(super) fn tell_former(&mut self, gateway: usize, report: &CrashReport) {
        let now_ms = self.now_ms;
        let evidence = &self.gateways[gateway].evidence;
        let parts = evidence.formerly_sound(now_ms, report);
        if !parts.is_empty() {
            let tell = Message::TellFormer {
                since_ms: now_ms,
                parts,
            };
            self.deliver_in(TELL_MS, gateway, tell);
        }
    }

    pub(super) fn decide(&mut self, gateway: usize) {
        let Gateway {
            evidence,
            quarantined,
            ..
        } = &mut self.gateways[gateway];
        let Some(culprit) = evidence.culprit(|part| quarantined.contains(part)) else {
            return;
        };
        let part = culprit.part;
        quarantined.insert(part.clone());
        self.rows.push(part.clone());
        self.in_force.insert(part.clone());
        self.defer_trial(gateway);
        self.broadcast(gateway, &Message::Quarantine(part.clone()));
        for to in (0..self.gateways.len()).filter(|&to| to != gateway) {
            self.deliver_in(ROW_MS, to, Message::Quarantine(part.clone()));
        }
    }
}
