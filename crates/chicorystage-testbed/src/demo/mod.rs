//! The demo: starts a deployment with a user's inventory, sends sample requests
//! and prints their results.

mod exchange;
mod output;
mod platform_path;
mod sample;

use std::path::PathBuf;

use anyhow::{bail, ensure};
use gumdrop::Options;

use crate::demo::exchange::Exchange;
use crate::demo::sample::Sample;
use crate::deployment::{Deployment, DeploymentConfig};

pub use sample::inventory as sample_inventory;

/// Options of the `demo` command.
#[derive(Debug, Options)]
pub struct DemoOptions {
    /// Print this help.
    help: bool,
    /// Send the demo's requests, print their results and stop.
    #[options(no_short)]
    once: bool,
    /// Sample deployment to run: altiplano or guild.
    #[options(no_short, default = "altiplano")]
    deployment: String,
}

/// Runs the demo; without `--once` the deployment then runs until Ctrl-C.
///
/// # Errors
///
/// Fails where the deployment's name is unknown, a process does not start, or
/// a request has another result than expected.
pub async fn run(options: DemoOptions) -> anyhow::Result<()> {
    let Some(sample) = Sample::by_name(&options.deployment) else {
        bail!(
            "unknown deployment {:?}; allowed: altiplano or guild",
            options.deployment
        );
    };
    let mut deployment = Deployment::start(config(&sample, std::env::current_exe()?)).await?;
    sample.apply(&deployment).await?;
    deployment.wait_until_ready().await?;
    let mut deviations = Vec::new();
    let mut exchanges = Vec::new();
    for planned in sample.requests() {
        let exchange = Exchange::run(&deployment, &planned).await?;
        deviations.extend(exchange.deviations(&planned));
        exchanges.push(exchange);
    }
    output::print_table(&exchanges);
    platform_path::run().await?;
    if !options.once {
        output::print_addresses(&deployment, &sample);
        tokio::signal::ctrl_c().await?;
    }
    deployment.stop().await?;
    for deviation in &deviations {
        println!("unexpected: {deviation}");
    }
    ensure!(
        deviations.is_empty(),
        "{} unexpected results",
        deviations.len()
    );
    Ok(())
}

fn config(sample: &Sample, program: PathBuf) -> DeploymentConfig {
    DeploymentConfig {
        zones: sample.zones.iter().map(|&zone| zone.to_owned()).collect(),
        engine_group: sample.engine_group.to_owned(),
        service_group: sample.service_group.to_owned(),
        ..DeploymentConfig::new(program)
    }
}
