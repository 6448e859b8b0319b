use std::collections::{BTreeMap, HashMap};

use anyhow::Context;
use chicorystage_api::name::ModelName;

use crate::deployment::Deployment;
use crate::fakes::{EngineReport, ReplicaEvent};

/// What all engines and services of a deployment did.
#[derive(Clone, Debug, Default)]
pub struct EndpointAudit {
    /// Highest number of replicas that each model had at once.
    pub replicas_highest: BTreeMap<ModelName, u32>,
    /// Orders that asked for more memory than was free.
    pub overcommits: u32,
    /// Loads of a model that was loaded already.
    pub double_loads: u32,
    /// Loads in all.
    pub loads: u32,
    /// Completions started.
    pub completions: u64,
    /// Runs of engines; more than one each where engines died.
    pub engine_runs: u64,
    /// How often the services ran each method, path and body.
    pub runs: HashMap<String, u32>,
}

impl EndpointAudit {
    /// Reads the reports of all stand-ins.
    ///
    /// # Errors
    ///
    /// Fails where a stand-in does not answer.
    pub async fn read(deployment: &Deployment) -> anyhow::Result<Self> {
        let mut audit = Self::default();
        let mut events = Vec::new();
        for (i, agent) in deployment.agents.iter().enumerate() {
            let endpoint = agent.endpoint().context("an agent has an endpoint")?;
            if agent.text.group == deployment.config.service_group {
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
            audit.add(&report);
            events.extend(report.replicas);
        }
        audit.replicas_highest = highest(events);
        Ok(audit)
    }

    /// Reads the report of one engine, without its replicas.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in does not answer.
    pub async fn read_one(deployment: &Deployment, agent: usize) -> anyhow::Result<Self> {
        let endpoint = deployment.agents[agent].endpoint();
        let endpoint = endpoint.context("an agent has an endpoint")?;
        let report: EngineReport = deployment.read_control(endpoint, "/control/report").await?;
        let mut audit = Self::default();
        audit.add(&report);
        Ok(audit)
    }

    /// Returns how often the services ran calls whose body contains a text.
    #[must_use]
    pub fn runs_with(&self, text: &str) -> u32 {
        let matching = self.runs.iter().filter(|(name, _)| name.contains(text));
        matching.map(|(_, count)| count).sum()
    }

    fn add(&mut self, report: &EngineReport) {
        self.overcommits += report.overcommits;
        self.double_loads += report.double_loads;
        self.loads += report.loads.values().sum::<u32>();
        self.completions += report.completions;
        self.engine_runs += report.engine_run;
    }
}

/// Merges the events of all engines by time; where two happened within one
/// millisecond, a replica left before another came.
fn highest(mut events: Vec<ReplicaEvent>) -> BTreeMap<ModelName, u32> {
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
