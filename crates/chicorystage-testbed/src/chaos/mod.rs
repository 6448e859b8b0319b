//! The stress command: real processes under steady load and random faults.
//!
//! Callers send completions, streams, balance reads and payouts through all
//! routers while faults are injected, one or two at a time. After the run all
//! faults are cleared, and the answers that callers received are compared with
//! what the emulators of engines and services executed. Every request must have
//! an answer of its own unless its router was killed, no payout may run twice,
//! and no model may have more replicas than its rule
//! allows.
//!
//! The seed determines the order of the faults. Their effect depends on the
//! machine's timing, so a seed narrows down a failure but does not reproduce
//! it exactly.

mod caller;
mod fault;
mod fault_loop;
mod operator;
mod payout_tracker;
mod shared_state;
mod tally;

use std::sync::Arc;
use std::time::Duration;

use anyhow::ensure;
use gumdrop::Options;
use tokio::time::sleep;

use crate::audit::EndpointAudit;
use crate::calls::CallerRequest;
use crate::chaos::fault_loop::FaultLoop;
use crate::chaos::shared_state::SharedState;
use crate::demo::sample_inventory;
use crate::deployment::{Deployment, DeploymentConfig};

pub(crate) const CALLER_TOKEN: &str = "chaos-caller-token";
pub(crate) const MODELS: [&str; 6] = ["m-1", "m-2", "m-3", "m-4", "m-5", "m-6"];
const CALLERS: u64 = 12;
/// Most replicas of a model that the rules allow.
const REPLICAS_MAX: u32 = 2;
/// Time to recover after the faults are cleared, and again after the callers
/// stop, in milliseconds.
const RECOVERY_MS: u64 = 8_000;
const MS_PER_MINUTE: u64 = 60_000;

/// Options of the `chaos` command.
#[derive(Debug, Options)]
pub struct ChaosOptions {
    /// Print this help.
    help: bool,
    /// Seed of callers and faults.
    #[options(no_short, default = "1")]
    seed: u64,
    /// Length of the run.
    #[options(no_short, default = "2")]
    minutes: u64,
    /// Print each fault as it happens.
    #[options(no_short)]
    verbose: bool,
}

/// Runs the stress command and prints its counts and the broken guarantees.
///
/// # Errors
///
/// Fails where a process does not start, a fault cannot be injected, or a
/// guarantee was broken.
pub async fn run(options: ChaosOptions) -> anyhow::Result<()> {
    let config = DeploymentConfig {
        engines: 4,
        services: 2,
        engine_memory_gib: 26,
        some_ignore_fencing: true,
        ..DeploymentConfig::new(std::env::current_exe()?)
    };
    let mut deployment = Deployment::start(config).await?;
    apply_inventory(&deployment).await?;
    deployment.wait_until_ready().await?;

    let shared = Arc::new(SharedState::new(&deployment, options.seed));
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| tokio::spawn(caller::run(Arc::clone(&shared), i)))
        .collect();
    let operator = tokio::spawn(operator::run(Arc::clone(&shared)));
    let mut faults = FaultLoop::new(&mut deployment, Arc::clone(&shared), options.verbose);
    let length = Duration::from_millis(options.minutes * MS_PER_MINUTE);
    faults.run_for(length).await?;
    faults.clear_faults().await?;
    sleep(Duration::from_millis(RECOVERY_MS)).await;
    shared.stop();
    for caller in callers {
        caller.await?;
    }
    operator.await?;
    sleep(Duration::from_millis(RECOVERY_MS)).await;

    operator::check_final(&shared).await;
    let audit = EndpointAudit::read(&deployment).await?;
    let breaches = check(&shared, &audit);
    shared.print(options.seed, options.minutes, &audit);
    if let Err(error) = deployment.stop().await {
        println!("stop: {error:#}");
    }
    for breach in &breaches {
        println!("BREACH: {breach}");
    }
    ensure!(breaches.is_empty(), "{} guarantees broken", breaches.len());
    println!("all guarantees held");
    Ok(())
}

async fn apply_inventory(deployment: &Deployment) -> anyhow::Result<()> {
    let config = &deployment.config;
    let change = sample_inventory(
        &config.engine_group,
        &config.service_group,
        &MODELS,
        CALLER_TOKEN,
    );
    let body = serde_json::to_string(&change)?;
    let path = "/admin/v1/changes";
    let request = CallerRequest::new(http::Method::POST, path, &config.root_token, body);
    let answer = deployment.send_admin(0, &request).await?;
    ensure!(answer.status.is_success(), "inventory: {}", answer.body);
    Ok(())
}

/// Returns the broken guarantees: compares what callers received with what
/// the emulators executed.
fn check(shared: &SharedState, audit: &EndpointAudit) -> Vec<String> {
    let mut breaches = shared.tally().breaches();
    for (model, highest) in &audit.replicas_highest {
        if *highest > REPLICAS_MAX {
            breaches.push(format!("{model} had {highest} replicas of {REPLICAS_MAX}"));
        }
    }
    if audit.overcommits > 0 {
        breaches.push(format!("{} orders overcommitted memory", audit.overcommits));
    }
    breaches.extend(shared.payouts().breaches(audit));
    breaches
}
