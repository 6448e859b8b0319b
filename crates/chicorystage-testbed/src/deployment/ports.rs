use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use anyhow::bail;

/// Ports that the operating system does not give to outgoing connections.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 20_000;

/// Ports handed out by this process; tests start deployments side by side.
static HANDED_OUT: AtomicU16 = AtomicU16::new(0);

/// Finds a free address of the loopback network.
///
/// Each process has a loopback host of its own and hands each port out once, so
/// that nobody takes the address between this look and the daemon's.
pub(super) fn free_address() -> anyhow::Result<SocketAddr> {
    let host = loopback_host(std::process::id());
    for _ in 0..PORTS {
        let port = FIRST_PORT + HANDED_OUT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = SocketAddr::from((host, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no free port at {host}")
}

/// Returns a host of 127.0.0.0/8 that no other living process gets.
///
/// Process ids have 22 bits; the host part has 24, of which the top one is set
/// to keep clear of 127.0.0.1.
fn loopback_host(process_id: u32) -> Ipv4Addr {
    let [_, a, b, c] = process_id.to_be_bytes();
    Ipv4Addr::new(127, 0x80 | a, b, c)
}
