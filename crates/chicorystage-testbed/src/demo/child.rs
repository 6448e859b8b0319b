use std::net::SocketAddr;
use std::process::Stdio;

use anyhow::Context;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// A process that the test bed started; ended by its id when dropped.
#[derive(Debug)]
pub(crate) struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts the test bed's own program with other arguments.
    pub(crate) fn start(name: &str, arguments: &[&str]) -> anyhow::Result<Self> {
        let program = std::env::current_exe()?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("start {name}"))?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Reads the address that a stand-in prints once it listens.
    pub(crate) async fn printed_address(&mut self) -> anyhow::Result<SocketAddr> {
        let output = self.child.stdout.take().context("output was read before")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).await?;
        let name = &self.name;
        line.trim()
            .parse()
            .with_context(|| format!("{name} printed {line:?}"))
    }

    /// Ends the process by its id.
    pub(crate) async fn end(mut self) -> anyhow::Result<()> {
        self.child
            .kill()
            .await
            .with_context(|| format!("end {}", self.name))
    }
}
