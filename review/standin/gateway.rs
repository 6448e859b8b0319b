//! Gateways as separate processes, started with the command and the template of the deploy file.

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http;
use crate::socket::signal;

const COMMAND: &str = "target/release/chicorystaged";

/// Processes that are still to be ended.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub pid: u32,
}

/// Ends all processes that this program started.
pub fn end_all() {
    for child in STARTED.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn free_port(ip: IpAddr) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl Gateway {
    /// Starts the gateway number `number`, with a loopback address of its own.
    pub fn start(folder: &PathBuf, number: u8, store: SocketAddr) -> std::io::Result<Self> {
        let pid = std::process::id();
        let ip: IpAddr = format!("127.{}.{}.{}", 64 + pid % 128, pid / 128 % 250, 10 + number)
            .parse()
            .map_err(std::io::Error::other)?;
        let name = format!("front-zone-a-{number}");
        let (callers, readiness) = (free_port(ip)?, free_port(ip)?);
        let peers = UdpSocket::bind((ip, 0))?.local_addr()?.port();
        let values = [
            ("node_name", name.clone()),
            ("zone", "zone-a".to_owned()),
            ("listen.front", format!("{ip}:{callers}")),
            ("listen.ready_addr", format!("{ip}:{readiness}")),
            ("ip", ip.to_string()),
            ("port_range.0", peers.to_string()),
            ("platform.addr", store.to_string()),
            ("heartbeat_ms", "1200".to_owned()),
            ("limits.cpu_share", "0.19".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.checks_fence", "true".to_owned()),
            ("bounds.ceiling_window_s", "5".to_owned()),
            ("bounds.ceiling_excess", "1.1".to_owned()),
            ("bounds.retry_ratio", "0.2".to_owned()),
            ("bounds.retry_slack", "54".to_owned()),
            ("bounds.retry_window_s", "10".to_owned()),
        ];
        let mut text = fs::read_to_string("deploy/gateway.ini")?;
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(std::io::Error::other("the template has other fields"));
        }
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let mut gateway = Self {
            callers: SocketAddr::new(ip, callers),
            readiness: SocketAddr::new(ip, readiness),
            log: folder.join(format!("{name}.log")),
            name,
            settings,
            pid: 0,
        };
        gateway.run()?;
        Ok(gateway)
    }

    /// Starts the process, for the first time or again.
    pub fn run(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(COMMAND)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.pid = child.id();
        STARTED.lock().unwrap().push(child);
        Ok(())
    }

    pub fn term(&self) {
        signal(self.pid, 15);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        signal(self.pid, 9);
        self.wait_for_end(Duration::from_secs(5));
    }

    /// Waits until the process has ended; returns whether it has.
    pub fn wait_for_end(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let mut started = STARTED.lock().unwrap();
            let child = started.iter_mut().find(|child| child.id() == self.pid);
            if child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                return true;
            }
            drop(started);
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let headers = [("Host", "x".to_owned())];
        let limit = Duration::from_secs(1);
        let answer = http::send(
            self.readiness,
            "GET",
            "/readiness",
            &headers,
            b"",
            limit,
            None,
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Returns the memory that the process holds, in MB (2^20 bytes); 0 if it has ended.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    /// Returns the lines of the process's log that hold a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

/// Waits until all gateways are ready; returns whether they are.
pub fn wait_until_ready(gateways: &[Gateway], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if gateways.iter().all(Gateway::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
