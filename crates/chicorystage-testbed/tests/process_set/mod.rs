//! Gateways as processes with files of their own.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use chicorystage_testbed::soak::{GatewayProcess, SoakPlan};
use futures_util::future::join_all;
use googletest::prelude::*;

/// Time in which gateways that are ready find each other, in milliseconds.
const MEET_MS: u64 = 500;

/// Gateways of one deployment.
pub struct ProcessSet {
    gateways: Vec<GatewayProcess>,
    directory: PathBuf,
}

impl ProcessSet {
    /// Starts gateways that follow a store; `name` names the folder of their files.
    pub async fn start(name: &str, count: usize, store: SocketAddr) -> Result<Self> {
        let directory = format!("chicorystage-{}-{name}", std::process::id());
        let plan = SoakPlan {
            program: PathBuf::from(env!("CARGO_BIN_EXE_chicorystage-testbed")),
            arguments: vec![OsString::from("daemon")],
            gateways: count,
            seed: 0,
            length_ms: 0,
            scenario: String::new(),
            directory: std::env::temp_dir().join(directory),
        };
        std::fs::create_dir_all(&plan.directory).or_fail()?;
        let mut gateways = Vec::new();
        for number in 0..count {
            gateways.push(GatewayProcess::start(number, &plan, store).or_fail()?);
        }
        let set = Self {
            gateways,
            directory: plan.directory,
        };
        set.wait_until_ready().await?;
        Ok(set)
    }

    /// Returns the address of a gateway for callers.
    pub fn callers(&self, number: usize) -> SocketAddr {
        self.gateways[number].callers
    }

    /// Returns the largest amount of memory that a gateway has held, in KiB.
    pub fn peak_memory_kib(&self, number: usize) -> Result<u64> {
        self.gateways[number].peak_memory_kib().or_fail()
    }

    /// Kills the first `count` gateways at the same moment and starts them again.
    pub async fn restart(&mut self, count: usize) -> Result<()> {
        let gateways = self.gateways.iter_mut().take(count);
        for restarted in join_all(gateways.map(GatewayProcess::restart)).await {
            restarted.or_fail()?;
        }
        self.wait_until_ready().await
    }

    /// Stops the gateways and removes their files.
    pub async fn stop(mut self) -> Result<()> {
        let stopped = join_all(self.gateways.iter_mut().map(GatewayProcess::stop)).await;
        for result in stopped {
            result.or_fail()?;
        }
        std::fs::remove_dir_all(&self.directory).or_fail()
    }

    /// Waits until all gateways are ready and know each other.
    async fn wait_until_ready(&self) -> Result<()> {
        for gateway in &self.gateways {
            gateway.wait_until_ready().await.or_fail()?;
        }
        tokio::time::sleep(Duration::from_millis(MEET_MS)).await;
        Ok(())
    }
}
