use crate::replay::{Report, Scenario};

/// Name of the policy that expected outcomes are checked for; the others are baselines.
const CHECKED_POLICY: &str = "learned";

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
    let Some(learned) = reports
        .iter()
        .find(|report| report.policy == CHECKED_POLICY)
    else {
        return Vec::new();
    };
    let expected = &scenario.outcomes;
    let mut findings = Vec::new();
    let mut add_finding = |text: String, met: bool| {
        findings.push(Finding {
            trace: scenario.name.clone(),
            text,
            met,
        });
    };
    let mut at_most = |name: &str, bound: Option<u64>, value: u64| {
        if let Some(bound) = bound {
            add_finding(format!("{name} at most {bound}: {value}"), value <= bound);
        }
    };
    at_most("late", expected.late_max, learned.late);
    at_most(
        "first token p95 ms",
        expected.first_token_p95_ms_max,
        learned.first_token_p95_ms,
    );
    at_most(
        "loads a slot a minute",
        expected.loads_per_slot_max,
        learned.loads_per_slot_max,
    );
    let mut at_least = |name: &str, bound: Option<u64>, value: u64| {
        if let Some(bound) = bound {
            add_finding(format!("{name} at least {bound}: {value}"), value >= bound);
        }
    };
    let top = learned.top_class_percent.unwrap_or(0);
    at_least("top class %", expected.top_class_percent_min, top);
    at_least(
        "goodput %",
        expected.goodput_percent_min,
        learned.goodput_percent,
    );
    at_least(
        "least share %",
        expected.fair_share_percent_min,
        learned.fair_share_percent,
    );
    let fixed = || reports.iter().filter(|report| report.is_fixed_keep_alive);
    let compared = fixed().next().is_some();
    if expected.beats_fixed_on_cold_start && compared {
        let baselines = fixed().filter(|report| report.idle_millihours <= learned.idle_millihours);
        let not_beaten = baselines.filter(|report| report.cold_p99_ms <= learned.cold_p99_ms);
        let not_beaten: Vec<&str> = not_beaten.map(|report| report.policy.as_str()).collect();
        let met = not_beaten.is_empty();
        add_finding(
            format!(
                "cold-start p99 below fixed keep-alives with as many idle hours; not below: {not_beaten:?}"
            ),
            met,
        );
    }
    if expected.beats_fixed_on_idle && compared {
        let baselines = fixed().filter(|report| report.cold_p99_ms <= learned.cold_p99_ms);
        let not_beaten =
            baselines.filter(|report| report.idle_millihours <= learned.idle_millihours);
        let not_beaten: Vec<&str> = not_beaten.map(|report| report.policy.as_str()).collect();
        let met = not_beaten.is_empty();
        add_finding(
            format!(
                "idle hours below fixed keep-alives with as good a p99; not below: {not_beaten:?}"
            ),
            met,
        );
    }
    findings
}
