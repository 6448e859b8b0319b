use std::path::Path;

use anyhow::Context;
use ini::{Ini, Properties};

/// The deployment, faults and expected outcomes of a trace, from the INI file beside it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the trace: its file's name without the extension.
    pub name: String,
    /// Name of the deployment, as known to [`Deployment::named`](crate::replay::Deployment::named).
    pub deployment: String,
    /// Length of the trace, in milliseconds.
    pub length_ms: u64,
    /// Faults injected during the replay.
    pub faults: Faults,
    /// Bounds that the results must meet.
    pub outcomes: Outcomes,
}

/// Faults injected during the replay of a trace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Factor by which reading from the weight store takes longer; 1 is full speed.
    pub weight_store_slowdown: u64,
    /// Time at which an availability zone fails for good, in milliseconds from
    /// the start; `None` where none fails.
    pub zone_lost_at_ms: Option<u64>,
    /// Availability zone that fails, as an index into the deployment's zones.
    pub zone_lost: usize,
}

/// Bounds that the results of a trace must meet; an absent bound is not checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Most requests that may finish after their deadline or never.
    pub late_max: Option<u64>,
    /// Upper bound of quantile 95 of the time to the first token, in milliseconds.
    pub first_token_p95_ms_max: Option<u64>,
    /// Whether the cold-start p99 must be below that of every fixed keep-alive
    /// with as many idle hours or fewer.
    pub beats_fixed_on_cold_start: bool,
    /// Whether idle hours must be below those of every fixed keep-alive whose
    /// cold-start p99 is as good or better.
    pub beats_fixed_on_idle: bool,
    /// Most loads that one slot may start within a minute.
    pub loads_per_slot_max: Option<u64>,
    /// Lower bound of the top class's answered requests, in percent of those
    /// answered when it is alone.
    pub top_class_percent_min: Option<u64>,
    /// Lower bound of the goodput, in percent of capacity.
    pub goodput_percent_min: Option<u64>,
    /// Lower bound of each well-behaved tenant's goodput, in percent of its fair share.
    pub fair_share_percent_min: Option<u64>,
}

impl Scenario {
    /// Reads a scenario from the INI file beside its trace.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be read, lacks the deployment or the length,
    /// or holds a number that cannot be parsed.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let file = Ini::load_from_file(path).with_context(|| format!("{}", path.display()))?;
        let empty = Properties::new();
        let section = |name| file.section(Some(name)).unwrap_or(&empty);
        let (trace, faults, outcomes) = (section("trace"), section("faults"), section("outcomes"));
        let name = path.file_stem().and_then(|stem| stem.to_str());
        Ok(Self {
            name: name.context("scenario file without a name")?.to_owned(),
            deployment: trace
                .get("deployment")
                .context("[trace] deployment is missing")?
                .to_owned(),
            length_ms: number(trace, "length_ms")?.context("[trace] length_ms is missing")?,
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
