use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use anyhow::{Context, bail};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// Longest wait for a process to end, in milliseconds.
const END_TIMEOUT_MS: u64 = 60_000;

/// A signal that the test bed sends to its processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Requests a graceful shutdown (`SIGTERM`).
    Terminate,
    /// Pauses the process until it is continued (`SIGSTOP`).
    Stop,
    /// Continues a paused process (`SIGCONT`).
    Continue,
}

/// A process that the test bed started; dropping it kills the process.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts a program, usually the test bed's own, with some arguments.
    ///
    /// `name` identifies the process in error messages.
    ///
    /// # Errors
    ///
    /// Fails where the program cannot be started.
    pub fn start(program: &PathBuf, name: &str, arguments: &[OsString]) -> anyhow::Result<Self> {
        Self::start_with_output(program, name, arguments, Stdio::piped())
    }

    /// Starts a program like [`Self::start`], with its standard output sent to `output`.
    ///
    /// # Errors
    ///
    /// Fails where the program cannot be started.
    pub fn start_with_output(
        program: &PathBuf,
        name: &str,
        arguments: &[OsString],
        output: Stdio,
    ) -> anyhow::Result<Self> {
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("start {name}"))?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Returns the largest amount of memory that the process has held, in KiB.
    ///
    /// # Errors
    ///
    /// Fails where the process has ended or the system does not tell.
    pub fn peak_memory_kib(&self) -> anyhow::Result<u64> {
        let id = self.child.id().context("the process has ended")?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let mut peaks = status
            .lines()
            .filter_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peaks.next().context("no peak of memory")?;
        let number = peak.split_whitespace().next().unwrap_or_default();
        Ok(number.parse()?)
    }

    /// Reads the address that an emulator prints once it listens.
    ///
    /// # Errors
    ///
    /// Fails where the first line is no address, or was read before.
    pub async fn printed_address(&mut self) -> anyhow::Result<SocketAddr> {
        let output = self
            .child
            .stdout
            .take()
            .context("the process's output was already read")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).await?;
        let name = &self.name;
        line.trim()
            .parse()
            .with_context(|| format!("{name} printed {line:?}"))
    }

    /// Returns the process ID; `None` once the end of the process was observed.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the exit status; `None` while the process runs.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn exit_status(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails where the process has ended or the signal cannot be sent.
    pub async fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = self
            .pid()
            .with_context(|| format!("{} has ended", self.name))?;
        let flag = match signal {
            Signal::Terminate => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        };
        let sent = Command::new("kill")
            .args([flag, &pid.to_string()])
            .status()
            .await?;
        if !sent.success() {
            bail!("kill {flag} {}: {sent}", self.name);
        }
        Ok(())
    }

    /// Kills the process with `SIGKILL` and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        let killed = self.child.kill().await;
        killed.with_context(|| format!("kill {}", self.name))
    }

    /// Waits until the process has ended and returns its exit status.
    ///
    /// # Errors
    ///
    /// Fails where it does not end within a minute.
    pub async fn wait(&mut self) -> anyhow::Result<ExitStatus> {
        let waited = timeout(Duration::from_millis(END_TIMEOUT_MS), self.child.wait()).await;
        let status = waited.with_context(|| format!("{} does not end", self.name))?;
        Ok(status?)
    }

    /// Shuts the process down gracefully and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Fails where it does not end within a minute, or ends with a status other than 0.
    pub async fn stop(&mut self) -> anyhow::Result<()> {
        // Ctrl-C in a terminal reaches every process of the group, so it may have ended already.
        if self.exit_status()?.is_none() {
            self.signal(Signal::Terminate).await?;
        }
        let status = self.wait().await?;
        if !status.success() {
            bail!("{} ended with {status}", self.name);
        }
        Ok(())
    }
}
