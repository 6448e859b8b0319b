//! Quotas of teams that all gateways hold together.
//!
//! A team's requests may arrive at any gateway, all of them at one or some at each. No gateway sees the
//! others' requests as they arrive; it learns of them from the load reports that gateways exchange
//! anyway. So each gateway keeps a copy of the team's one token bucket ([`QuotaLedger`]):
//!
//! * its own requests are charged at once, those of the others when a report tells of them;
//! * until the next report it uses no more than its part of what is left, by its part of what was asked
//!   of all gateways; one that hears nobody goes on with that part;
//! * what was admitted beyond the quota all the same is a debt, and nothing is admitted until it is paid;
//! * what a gateway used that has fallen silent is assumed to go on for a while, as it may be cut off;
//! * a gateway that starts has empty buckets, so that a kill of all gives no team its burst again.
//!
//! The load it answers: one team at several times its quota among many that stay below theirs, at
//! gateways of unequal size, while gateways are lost, cut off and restarted.

mod peer_use;
mod quota_decision;
mod quota_ledger;
mod quota_terms;
mod rate_meter;
mod team_bucket;
mod team_level;
mod team_use;

pub use quota_decision::QuotaDecision;
pub use quota_ledger::QuotaLedger;
pub use quota_terms::QuotaTerms;
pub use team_level::TeamLevel;
pub use team_use::TeamUse;

const MS_PER_S: f64 = 1_000.0;

/// Returns a time between two readings of the clock, in seconds.
#[expect(clippy::cast_precision_loss, reason = "a time below a year")]
fn seconds(from_ms: u64, to_ms: u64) -> f64 {
    to_ms.saturating_sub(from_ms) as f64 / MS_PER_S
}
