//! Starts and ends the project's gateways, as the deploy file tells.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::util::{now_ms, sleep_ms, Channel};

unsafe extern "C" {
    safe fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// The figures of a site that the settings carry.
#[derive(Clone)]
pub struct Bounds {
    pub checks_fence: bool,
    pub retry_slack: u32,
    pub cpu_share: f64,
    /// `revoke_ms`, where keys fail closed.
    pub revoke_ms: Option<u64>,
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    config: PathBuf,
    teams: Vec<String>,
    log: PathBuf,
    pids: PathBuf,
    child: Option<Child>,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().unwrap().port()
}

/// The settings of the deploy file's command; empty where the site has no keys.
fn team_settings(revoke_ms: Option<u64>) -> Vec<String> {
    let values = match revoke_ms {
        Some(revoke_ms) => [&revoke_ms.to_string(), "true", "8", "0.1", "7400"].map(str::to_owned),
        None => [""; 5].map(str::to_owned),
    };
    let names = ["revoke_max_ms", "fail_closed", "quota_window_s", "quota_tolerance", "quota_allowance"];
    let settings = names.iter().zip(values).map(|(name, value)| format!("teams.{name}={value}"));
    settings.flat_map(|setting| ["--set".to_owned(), setting]).collect()
}

impl Gateway {
    /// Writes the settings of a gateway that has the loopback address `ip` for itself.
    pub fn new(
        folder: &Path,
        name: &str,
        zone: &str,
        ip: &str,
        store: SocketAddr,
        bounds: &Bounds,
    ) -> Self {
        let (front, ready) = (free_port(ip), free_port(ip));
        let text = format!(
            "[daemon]\nrole = gateway\nvm = {name}\nzone = {zone}\n\n\
             [gateway]\ncallers = {ip}:{front}\nreadiness = {ip}:{ready}\nmetrics = {ip}:{}\n\
             peers = {ip}:{}\nstore = {store}\nheartbeat_ms = 1200\ncpu_share = {}\n\
             stop_max_s = 8\n\n\
             [orders]\nlease_ms = 3000\nendpoints_check_epoch = {}\nceiling_window_s = 5\n\
             ceiling_factor = 1.1\n\n\
             [retries]\nratio = 0.2\nallowance = {}\nwindow_s = 10\n\n[log]\nlevel = info\n",
            free_port(ip), free_port(ip), bounds.cpu_share, bounds.checks_fence, bounds.retry_slack
        );
        let config = folder.join(format!("{name}.ini"));
        std::fs::write(&config, text).expect("the settings file is written");
        Self {
            name: name.to_owned(),
            front: format!("{ip}:{front}").parse().unwrap(),
            ready: format!("{ip}:{ready}").parse().unwrap(),
            config,
            teams: team_settings(bounds.revoke_ms),
            log: folder.join(format!("{name}.log")),
            pids: folder.join("pids"),
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/chicorystaged")
            .arg("--config")
            .arg(&self.config)
            .args(&self.teams)
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&name.as_str())))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                let pids = File::options().create(true).append(true).open(&self.pids);
                let _ = writeln!(pids.expect("the file of processes"), "{}", child.id());
                self.child = Some(child);
            }
            Err(error) => {
                eprintln!("cannot start the gateway: {error}");
                std::process::exit(2);
            }
        }
        note!("{}: process started", self.name);
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            kill(child.id() as i32, signal);
        }
    }

    pub fn terminate(&self) {
        note!("{}: SIGTERM", self.name);
        self.signal(SIGTERM);
    }

    pub fn kill(&mut self) {
        note!("{}: SIGKILL", self.name);
        self.signal(SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended; kills it after `limit_ms` as the platform does.
    pub fn wait_end(&mut self, limit_ms: u64) {
        let until = now_ms() + limit_ms;
        while let Some(child) = &mut self.child {
            if child.try_wait().ok().flatten().is_some() {
                self.child = None;
            } else if now_ms() > until {
                self.kill();
            }
            sleep_ms(5);
        }
        note!("{}: process has ended", self.name);
    }

    /// Asks as the platform does whether the gateway takes channels.
    pub fn is_ready(&self) -> bool {
        let Ok(mut channel) = Channel::open(self.ready) else { return false };
        let host = [("Host", "ready.example".to_owned())];
        channel.exchange("GET", "/readiness", &host, b"", |_| {}).status == 200
    }

    pub fn wait_ready(&self) {
        for _ in 0..400 {
            if self.is_ready() {
                return;
            }
            sleep_ms(25);
        }
        note!("{}: not ready within 10 s", self.name);
        eprintln!("{}: not ready within 10 s", self.name);
        std::process::exit(2);
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.kill();
        }
    }
}
