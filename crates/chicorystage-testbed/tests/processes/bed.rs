//! Starts a deployment of processes and builds, sends and awaits the tests' requests.

use std::path::PathBuf;
use std::time::Duration;

use chicorystage_testbed::calls::{CallerAnswer, CallerRequest};
use chicorystage_testbed::demo::sample_inventory;
use chicorystage_testbed::deployment::{Deployment, DeploymentConfig};
use chicorystage_testbed::fakes::{EngineReport, answer_words};
use http::Method;
use tokio::time::sleep;

pub const TOKEN: &str = "caller-token";
pub const MODEL: &str = "moisture";
pub const PROMPT: &str = "is lot 12 dry enough";
/// Checks of a condition before a wait fails, at intervals of 100 ms.
const CHECKS_MAX: u32 = 600;

/// Starts a deployment with an inventory of one model and one application.
pub async fn start_deployment() -> Deployment {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_chicorystage-testbed"));
    let config = DeploymentConfig {
        routers: 2,
        engines: 2,
        ..DeploymentConfig::new(program)
    };
    let mut deployment = Deployment::start(config).await.expect("starts");
    let change = sample_inventory("colmena-llm", "libro-socios", &[MODEL], TOKEN);
    let body = serde_json::to_string(&change).expect("is JSON");
    let token = deployment.config.root_token.clone();
    let request = CallerRequest::new(Method::POST, "/admin/v1/changes", &token, body);
    let answer = deployment.send_admin(0, &request).await.expect("answers");
    assert!(answer.status.is_success(), "{}", answer.body);
    deployment.wait_until_ready().await.expect("becomes ready");
    deployment
}

pub fn completion(tokens: u32) -> CallerRequest {
    CallerRequest::completion(TOKEN, MODEL, PROMPT, tokens)
}

pub fn streamed(tokens: u32) -> CallerRequest {
    CallerRequest::streamed(TOKEN, MODEL, PROMPT, tokens)
}

pub fn payout(key: &str) -> CallerRequest {
    let path = "/v1/services/libro-socios/payouts";
    CallerRequest::new(Method::POST, path, TOKEN, format!("payout {key}")).key(key)
}

pub fn balance() -> CallerRequest {
    let path = "/v1/services/libro-socios/balances/7";
    CallerRequest::new(Method::GET, path, TOKEN, "")
}

pub fn expected_text(tokens: u32) -> String {
    answer_words(PROMPT, tokens).concat()
}

/// Sends a request repeatedly until it is served, and panics if it never is.
pub async fn until_served(
    deployment: &Deployment,
    router: usize,
    request: &CallerRequest,
) -> CallerAnswer {
    let mut last_failure = String::new();
    for _ in 0..CHECKS_MAX {
        match deployment.send(router, request).await {
            Ok(answer) if answer.is_served() => return answer,
            Ok(answer) => last_failure = answer.body,
            Err(error) => last_failure = error.to_string(),
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!(
        "{} {} was never served: {last_failure}",
        request.path, request.body
    );
}

/// Waits until a condition is met, and panics if it never is.
pub async fn wait_until<F: Future<Output = bool>>(condition: &str, mut is_met: impl FnMut() -> F) {
    for _ in 0..CHECKS_MAX {
        if is_met().await {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("condition never met: {condition}");
}

/// Returns the number of the agent whose engine loads or has loaded the model.
pub async fn agent_with_load(deployment: &Deployment) -> Option<usize> {
    for i in 0..deployment.config.engines {
        let endpoint = deployment.agents[i].endpoint()?;
        let report: EngineReport = deployment
            .read_control(endpoint, "/control/report")
            .await
            .ok()?;
        if !report.loads.is_empty() {
            return Some(i);
        }
    }
    None
}
