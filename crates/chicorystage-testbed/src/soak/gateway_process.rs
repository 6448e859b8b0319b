use std::ffi::OsString;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, bail};
use http::Method;
use tokio::time::sleep;

use crate::deployment::{ChildProcess, Signal, free_address};
use crate::soak::SoakPlan;
use crate::soak::services::BOUND;
use crate::users_platform::call;

/// Interval at which a starting gateway is asked whether it is ready, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;
/// Number of polls after which a start counts as failed: 15 s in all.
const POLLS_MAX: u32 = 300;
/// Seconds of a window, as the settings state it.
const WINDOW_S: u64 = BOUND.window_ms / 1_000;

/// A gateway that runs as a process of its own.
#[derive(Debug)]
pub struct GatewayProcess {
    /// Address that accepts callers' connections.
    pub callers: SocketAddr,
    readiness: SocketAddr,
    name: String,
    program: PathBuf,
    arguments: Vec<OsString>,
    log: PathBuf,
    child: ChildProcess,
}

impl GatewayProcess {
    /// Starts gateway `number` of a plan.
    ///
    /// # Errors
    ///
    /// Fails where a file cannot be written or the process cannot be started.
    pub fn start(number: usize, plan: &SoakPlan, store: SocketAddr) -> anyhow::Result<Self> {
        let name = format!("gateway-{number}");
        let (callers, readiness) = (free_address()?, free_address()?);
        let settings = plan.directory.join(format!("{name}.ini"));
        let text = settings_text(&name, callers, readiness, store)?;
        std::fs::write(&settings, text).with_context(|| format!("write {}", settings.display()))?;
        let mut arguments = plan.arguments.clone();
        arguments.extend([OsString::from("--config"), settings.into_os_string()]);
        let log = plan.directory.join(format!("{name}.log"));
        let child = start_child(&plan.program, &name, &arguments, &log)?;
        Ok(Self {
            callers,
            readiness,
            name,
            program: plan.program.clone(),
            arguments,
            log,
            child,
        })
    }

    /// Waits until the gateway says that it is ready.
    ///
    /// # Errors
    ///
    /// Fails if it is not ready within 15 s.
    pub async fn wait_until_ready(&self) -> anyhow::Result<()> {
        for _ in 0..POLLS_MAX {
            let headers = [("host", "h.example")];
            let reply = call(self.readiness, Method::GET, "/readiness", &headers, "").await;
            if reply.is_ok_and(|reply| reply.status.is_success()) {
                return Ok(());
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        bail!("{} does not become ready", self.name)
    }

    /// Returns the largest amount of memory that the process has held, in KiB.
    ///
    /// # Errors
    ///
    /// Fails where the process has ended or the system does not tell.
    pub fn peak_memory_kib(&self) -> anyhow::Result<u64> {
        self.child.peak_memory_kib()
    }

    /// Kills the process and starts it again at once.
    ///
    /// # Errors
    ///
    /// Fails where the process cannot be killed or started.
    pub async fn restart(&mut self) -> anyhow::Result<()> {
        self.child.kill().await?;
        self.child = start_child(&self.program, &self.name, &self.arguments, &self.log)?;
        Ok(())
    }

    /// Pauses the process.
    ///
    /// # Errors
    ///
    /// Fails where the process has ended.
    pub async fn pause(&self) -> anyhow::Result<()> {
        self.child.signal(Signal::Stop).await
    }

    /// Continues the paused process.
    ///
    /// # Errors
    ///
    /// Fails where the process has ended.
    pub async fn resume(&self) -> anyhow::Result<()> {
        self.child.signal(Signal::Continue).await
    }

    /// Stops the process gracefully.
    ///
    /// # Errors
    ///
    /// Fails where it does not end, or ends with a failure.
    pub async fn stop(&mut self) -> anyhow::Result<()> {
        self.resume().await?;
        self.child.stop().await
    }
}

/// Starts the process with its output appended to the log.
fn start_child(
    program: &PathBuf,
    name: &str,
    arguments: &[OsString],
    log: &Path,
) -> anyhow::Result<ChildProcess> {
    let output = File::options().create(true).append(true).open(log);
    let output = output.with_context(|| format!("open {}", log.display()))?;
    ChildProcess::start_with_output(program, name, arguments, output.into())
}

/// Returns the settings file of a gateway, with the bounds of the users' sites.
fn settings_text(
    name: &str,
    callers: SocketAddr,
    readiness: SocketAddr,
    store: SocketAddr,
) -> anyhow::Result<String> {
    let (metrics, peers) = (free_address()?, free_address()?);
    let (ratio, allowance) = (BOUND.ratio, BOUND.allowance);
    Ok(format!(
        "[daemon]\nrole = gateway\nvm = {name}\nzone = z1\n\n\
         [gateway]\ncallers = {callers}\nreadiness = {readiness}\nmetrics = {metrics}\n\
         peers = {peers}\nstore = {store}\ncpu_share = 1.0\nstop_max_s = 8\n\n\
         [orders]\nlease_ms = 3000\nendpoints_check_epoch = true\nceiling_window_s = 5\n\
         ceiling_factor = 1.1\n\n\
         [retries]\nratio = {ratio}\nallowance = {allowance}\nwindow_s = {WINDOW_S}\n\n\
         [log]\nlevel = info\n"
    ))
}
