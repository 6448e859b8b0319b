use std::path::Path;

use anyhow::Context;
use ini::{Ini, Properties};

/// A trace's deployment, faults and stated outcomes: the INI file beside it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the trace, that of its file.
    pub name: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Length of the trace, in milliseconds.
    pub length_ms: u64,
    /// What fails meanwhile.
    pub faults: Faults,
    /// What is stated of the result.
    pub outcomes: Outcomes,
}

/// What fails during a trace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Factor by which the weight store is slower.
    pub weight_store_slowdown: u64,
    /// Time at which an availability zone is lost, in milliseconds.
    pub zone_lost_at_ms: Option<u64>,
    /// Availability zone that is lost, as an index into the deployment's.
    pub zone_lost: usize,
}

/// What is stated of a trace's result; what is absent is not stated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Answers that came after their deadline, or never, at most.
    pub late_max: Option<u64>,
    /// First token of 95 in 100, in milliseconds, at most.
    pub first_token_p95_ms_max: Option<u64>,
    /// Whether the cold-start p99 is below that of every fixed keep-alive
    /// with as many idle hours or fewer.
    pub beats_fixed_on_cold_start: bool,
    /// Whether idle hours are below those of every fixed keep-alive with a
    /// cold-start p99 as good or better.
    pub beats_fixed_on_idle: bool,
    /// Loads of one slot within a minute, at most.
    pub loads_per_slot_max: Option<u64>,
    /// Goodput of the top class in percent of what it gets alone, at least.
    pub top_class_percent_min: Option<u64>,
    /// Goodput in percent of capacity, at least.
    pub goodput_percent_min: Option<u64>,
    /// Goodput of each well-behaved tenant in percent of its fair share, at least.
    pub fair_share_percent_min: Option<u64>,
}

impl Scenario {
    /// Reads the INI file beside a trace.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be read or lacks what it must say.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let file = Ini::load_from_file(path).with_context(|| format!("{}", path.display()))?;
        let empty = Properties::new();
        let section = |name| file.section(Some(name)).unwrap_or(&empty);
        let (trace, faults, outcomes) = (section("trace"), section("faults"), section("outcomes"));
        let name = path.file_stem().and_then(|stem| stem.to_str());
        Ok(Self {
            name: name.context("trace without a name")?.to_owned(),
            deployment: trace.get("deployment").context("deployment")?.to_owned(),
            length_ms: number(trace, "length_ms")?.context("length_ms")?,
            faults: Faults {
                weight_store_slowdown: number(faults, "weight_store_slowdown")?.unwrap_or(1),
                zone_lost_at_ms: number(faults, "zone_lost_at_ms")?,
                zone_lost: usize::try_from(number(faults, "zone_lost")?.unwrap_or(0))?,
            },
            outcomes: Outcomes {
                late_max: number(outcomes, "late_max")?,
                first_token_p95_ms_max: number(outcomes, "first_token_p95_ms_max")?,
                beats_fixed_on_cold_start: flag(outcomes, "beats_fixed_on_cold_start"),
                beats_fixed_on_idle: flag(outcomes, "beats_fixed_on_idle"),
                loads_per_slot_max: number(outcomes, "loads_per_slot_max")?,
                top_class_percent_min: number(outcomes, "top_class_percent_min")?,
                goodput_percent_min: number(outcomes, "goodput_percent_min")?,
                fair_share_percent_min: number(outcomes, "fair_share_percent_min")?,
            },
        })
    }
}

fn number(section: &Properties, key: &str) -> anyhow::Result<Option<u64>> {
    let Some(text) = section.get(key) else {
        return Ok(None);
    };
    let value = text.parse().with_context(|| format!("{key} = {text}"))?;
    Ok(Some(value))
}

fn flag(section: &Properties, key: &str) -> bool {
    section.get(key) == Some("true")
}
