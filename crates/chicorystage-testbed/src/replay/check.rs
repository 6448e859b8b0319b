use crate::replay::{Report, Scenario};

/// Name of the policy that expected outcomes are checked for; the others are baselines.
const JUDGED_POLICY: &str = "learned";

/// Result of checking one expected outcome of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the trace.
    pub trace: String,
    /// Expected bound and measured value, for the printed list.
    pub text: String,
    /// Whether the measured value is within the bound.
    pub met: bool,
}

/// Checks the reports of one trace against its expected outcomes.
///
/// Returns nothing where no report is of the `learned` policy. The comparisons
/// with fixed keep-alives are left out where no such policy was replayed.
#[must_use]
pub fn check(scenario: &Scenario, reports: &[Report]) -> Vec<Finding> {
    let Some(own) = reports.iter().find(|report| report.policy == JUDGED_POLICY) else {
        return Vec::new();
    };
    let stated = &scenario.outcomes;
    let mut findings = Vec::new();
    let mut note = |text: String, met: bool| {
        findings.push(Finding {
            trace: scenario.name.clone(),
            text,
            met,
        });
    };
    let mut at_most = |name: &str, bound: Option<u64>, value: u64| {
        if let Some(bound) = bound {
            note(format!("{name} at most {bound}: {value}"), value <= bound);
        }
    };
    at_most("late", stated.late_max, own.late);
    at_most(
        "first token p95 ms",
        stated.first_token_p95_ms_max,
        own.first_token_p95_ms,
    );
    at_most(
        "loads a slot a minute",
        stated.loads_per_slot_max,
        own.loads_per_slot_max,
    );
    let mut at_least = |name: &str, bound: Option<u64>, value: u64| {
        if let Some(bound) = bound {
            note(format!("{name} at least {bound}: {value}"), value >= bound);
        }
    };
    let top = own.top_class_percent.unwrap_or(0);
    at_least("top class %", stated.top_class_percent_min, top);
    at_least("goodput %", stated.goodput_percent_min, own.goodput_percent);
    at_least(
        "least share %",
        stated.fair_share_percent_min,
        own.fair_share_percent,
    );
    let fixed = || reports.iter().filter(|report| report.is_fixed_keep_alive);
    let compared = fixed().next().is_some();
    if stated.beats_fixed_on_cold_start && compared {
        let rivals = fixed().filter(|report| report.idle_millihours <= own.idle_millihours);
        let ahead = rivals.filter(|report| report.cold_p99_ms <= own.cold_p99_ms);
        let ahead: Vec<&str> = ahead.map(|report| report.policy.as_str()).collect();
        let met = ahead.is_empty();
        note(
            format!(
                "cold-start p99 below fixed keep-alives with as many idle hours; not below: {ahead:?}"
            ),
            met,
        );
    }
    if stated.beats_fixed_on_idle && compared {
        let rivals = fixed().filter(|report| report.cold_p99_ms <= own.cold_p99_ms);
        let ahead = rivals.filter(|report| report.idle_millihours <= own.idle_millihours);
        let ahead: Vec<&str> = ahead.map(|report| report.policy.as_str()).collect();
        let met = ahead.is_empty();
        note(
            format!("idle hours below fixed keep-alives with as good a p99; not below: {ahead:?}"),
            met,
        );
    }
    findings
}
