use std::collections::BTreeMap;

use chicorystage_api::refusal::Outcome;

use crate::audit::EndpointAudit;

/// Tracks the answers that callers received for each payout, by idempotency key.
#[derive(Debug, Default)]
pub(super) struct PayoutTracker {
    payouts: BTreeMap<String, Payout>,
}

/// Answers that the caller of one payout received.
#[derive(Debug, Default)]
struct Payout {
    sends: u32,
    served: u32,
    last: Option<Outcome>,
}

impl PayoutTracker {
    pub(super) fn record_served(&mut self, key: &str) {
        let payout = self.payouts.entry(key.to_owned()).or_default();
        payout.sends += 1;
        payout.served += 1;
        payout.last = None;
    }

    pub(super) fn record_refused(&mut self, key: &str, outcome: Option<Outcome>) {
        let payout = self.payouts.entry(key.to_owned()).or_default();
        payout.sends += 1;
        payout.last = outcome;
    }

    /// Returns a description of each payout whose runs contradict its answers.
    pub(super) fn breaches(&self, audit: &EndpointAudit) -> Vec<String> {
        let mut breaches = Vec::new();
        for (key, payout) in &self.payouts {
            let runs = audit.runs_containing(&body(key));
            if runs > 1 {
                breaches.push(format!("{key} ran {runs} times"));
            }
            if payout.served > 0 && runs == 0 {
                breaches.push(format!("{key} was served and never ran"));
            }
            if payout.last == Some(Outcome::NotRun) && runs > 0 {
                breaches.push(format!(
                    "{key} was answered not_run last and ran {runs} times"
                ));
            }
        }
        breaches
    }

    pub(super) fn print(&self) {
        let payouts = self.payouts.values();
        let sends: u32 = payouts.clone().map(|payout| payout.sends).sum();
        let served = payouts.clone().filter(|payout| payout.served > 0).count();
        let not_run = payouts
            .clone()
            .filter(|payout| payout.last == Some(Outcome::NotRun));
        let unknown = payouts.filter(|payout| payout.last == Some(Outcome::MayHaveRun));
        println!(
            "payouts: {} keys sent {sends} times; served {served}, last answer not_run {}, may_have_run {}",
            self.payouts.len(),
            not_run.count(),
            unknown.count()
        );
    }
}

/// Returns the body of a payout.
///
/// No body contains another, as the audit searches bodies for a text.
pub(super) fn body(key: &str) -> String {
    format!("payout {key}.")
}
