use std::collections::{BTreeMap, HashMap};

use anyhow::Context;
use chicorystage_api::name::ModelName;

use crate::deployment::Deployment;
use crate::fakes::{EngineReport, ReplicaEvent};

/// Counts of what the engines and services of a deployment executed.
#[derive(Clone, Debug, Default)]
pub struct EndpointAudit {
    /// Highest number of replicas that each model had at the same time.
    pub replicas_highest: BTreeMap<ModelName, u32>,
    /// Orders to load a model or adapter that needed more memory than was free.
    pub overcommits: u32,
    /// Load orders for a model that was already loaded.
    pub double_loads: u32,
    /// Total number of loads.
    pub loads: u32,
    /// Number of completions started.
    pub completions: u64,
    /// Sum of the engines' run numbers; an engine counts once, and once more for each crash.
    pub engine_runs: u64,
    /// How often the services ran each request, by its method, path and body.
    pub runs: HashMap<String, u32>,
}

impl EndpointAudit {
    /// Reads the reports of all engine and service emulators.
    ///
    /// # Errors
    ///
    /// Fails where an emulator does not answer.
    pub async fn read(deployment: &Deployment) -> anyhow::Result<Self> {
        let mut audit = Self::default();
        let mut events = Vec::new();
        for (i, agent) in deployment.agents.iter().enumerate() {
            let endpoint = agent.endpoint().context("agent without an endpoint")?;
            if agent.settings.group == deployment.config.service_group {
                let runs: HashMap<String, u32> =
                    deployment.read_control(endpoint, "/control/runs").await?;
                for (name, count) in runs {
                    *audit.runs.entry(name).or_default() += count;
                }
                continue;
            }
            let report: EngineReport = deployment
                .read_control(endpoint, "/control/report")
                .await
                .with_context(|| format!("engine {i}"))?;
            audit.add_report(&report);
            events.extend(report.replicas);
        }
        audit.replicas_highest = highest_replica_counts(events);
        Ok(audit)
    }

    /// Reads the report of one engine emulator; leaves `replicas_highest` empty.
    ///
    /// # Errors
    ///
    /// Fails where the emulator does not answer.
    pub async fn read_engine(deployment: &Deployment, agent: usize) -> anyhow::Result<Self> {
        let endpoint = deployment.agents[agent].endpoint();
        let endpoint = endpoint.context("agent without an endpoint")?;
        let report: EngineReport = deployment.read_control(endpoint, "/control/report").await?;
        let mut audit = Self::default();
        audit.add_report(&report);
        Ok(audit)
    }

    /// Returns how often the services ran requests whose method, path or body contains a text.
    #[must_use]
    pub fn runs_containing(&self, text: &str) -> u32 {
        let matching = self.runs.iter().filter(|(name, _)| name.contains(text));
        matching.map(|(_, count)| count).sum()
    }

    fn add_report(&mut self, report: &EngineReport) {
        self.overcommits += report.overcommits;
        self.double_loads += report.double_loads;
        self.loads += report.loads.values().sum::<u32>();
        self.completions += report.completions;
        self.engine_runs += report.engine_run;
    }
}

/// Returns the highest number of replicas that each model had at the same time.
///
/// Merges the events of all engines by time. Events within the same
/// millisecond cannot be ordered; unloads are then counted before loads, so
/// that a replica that moved is not counted twice.
fn highest_replica_counts(mut events: Vec<ReplicaEvent>) -> BTreeMap<ModelName, u32> {
    events.sort_by_key(|event| (event.at_unix_ms, event.was_added));
    let mut now: HashMap<ModelName, u32> = HashMap::new();
    let mut highest: BTreeMap<ModelName, u32> = BTreeMap::new();
    for event in events {
        let now = now.entry(event.model.clone()).or_default();
        if event.was_added {
            *now += 1;
        } else {
            *now = now.saturating_sub(1);
        }
        let highest = highest.entry(event.model).or_default();
        *highest = (*highest).max(*now);
    }
    highest
}
