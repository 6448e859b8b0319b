use std::collections::HashMap;

use anyhow::Context;
use http::Method;

use crate::calls::{CallerAnswer, CallerRequest};
use crate::deployment::Deployment;
use crate::fakes::EngineReport;

/// Control path of an engine emulator that returns its report.
const REPORT_PATH: &str = "/control/report";
/// Control path of a service emulator that returns how often it ran each request.
const RUNS_PATH: &str = "/control/runs";

/// A request of the demo, with its expected result.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRequest {
    pub(crate) name: String,
    pub(crate) request: CallerRequest,
    pub(crate) expected: Expected,
}

/// Expected result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expected {
    /// Served after a load.
    Cold,
    /// Served without a load.
    Warm,
    /// Served completely, with or without a load.
    Served,
    /// Served, and run exactly once by all services together.
    RunOnce,
}

/// A request that was sent, and its result.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    pub(crate) name: String,
    pub(crate) endpoint: String,
    pub(crate) answer: CallerAnswer,
    pub(crate) runs: Option<u32>,
}

impl Exchange {
    pub(crate) async fn run(
        deployment: &Deployment,
        planned: &PlannedRequest,
    ) -> anyhow::Result<Self> {
        let before = requests_run_by_vm(deployment).await?;
        let answer = deployment
            .send(0, &planned.request)
            .await
            .with_context(|| planned.name.clone())?;
        let after = requests_run_by_vm(deployment).await?;
        let endpoint = after
            .iter()
            .find(|(vm, count)| before.get(*vm) != Some(count))
            .map_or("-", |(vm, _)| vm);
        let runs = if planned.request.method == Method::POST && planned.request.key.is_some() {
            Some(runs_of_body(deployment, &planned.request.body).await?)
        } else {
            None
        };
        Ok(Self {
            name: planned.name.clone(),
            endpoint: endpoint.to_owned(),
            answer,
            runs,
        })
    }

    /// Returns a description of each deviation from the expected result.
    pub(crate) fn deviations(&self, planned: &PlannedRequest) -> Vec<String> {
        let mut deviations = Vec::new();
        let name = &self.name;
        if !self.answer.is_served() {
            deviations.push(format!("{name}: {}", self.outcome()));
        }
        let cold = self
            .answer
            .cold_start_ms()
            .is_some_and(|cold_ms| cold_ms > 0);
        match planned.expected {
            Expected::Cold if !cold => deviations.push(format!("{name}: was not cold")),
            Expected::Warm if cold => deviations.push(format!("{name}: was not warm")),
            Expected::RunOnce if self.runs != Some(1) => {
                deviations.push(format!("{name}: ran {:?} times", self.runs));
            }
            _ => {}
        }
        deviations
    }

    /// Returns the outcome as text for the printed table.
    pub(crate) fn outcome(&self) -> String {
        match (self.answer.code(), self.answer.outcome()) {
            (Some(code), Some(outcome)) => format!("{code} ({outcome})"),
            (Some(code), None) => code,
            _ if self.answer.is_served() => "served".to_owned(),
            _ => format!("cut ({})", self.answer.status),
        }
    }

    /// Returns whether the model was loaded, as text for the printed table.
    pub(crate) fn model_state(&self) -> &'static str {
        match self.answer.cold_start_ms() {
            Some(0) => "warm",
            Some(_) => "cold",
            None => "-",
        }
    }
}

/// Returns the number of requests that each VM's endpoint has run, by VM.
async fn requests_run_by_vm(deployment: &Deployment) -> anyhow::Result<HashMap<String, u64>> {
    let mut done = HashMap::new();
    for (i, agent) in deployment.agents.iter().enumerate() {
        let endpoint = agent.endpoint().context("agent without an endpoint")?;
        let count = if i < deployment.config.engines {
            let report: EngineReport = deployment.read_control(endpoint, REPORT_PATH).await?;
            report.completions
        } else {
            let runs: HashMap<String, u32> = deployment.read_control(endpoint, RUNS_PATH).await?;
            runs.values().copied().map(u64::from).sum()
        };
        done.insert(agent.settings.vm.clone(), count);
    }
    Ok(done)
}

/// Returns how often all services together ran a request with a body.
async fn runs_of_body(deployment: &Deployment, body: &str) -> anyhow::Result<u32> {
    let mut total = 0;
    for agent in &deployment.agents[deployment.config.engines..] {
        let endpoint = agent.endpoint().context("agent without an endpoint")?;
        let runs: HashMap<String, u32> = deployment.read_control(endpoint, RUNS_PATH).await?;
        let matching = runs.iter().filter(|(name, _)| name.ends_with(body));
        total += matching.map(|(_, count)| count).sum::<u32>();
    }
    Ok(total)
}
