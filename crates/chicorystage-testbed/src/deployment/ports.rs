use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use anyhow::bail;

/// First port of a range that the operating system does not use for outgoing connections.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 20_000;

/// Number of ports that this process has tried; shared, as tests start deployments concurrently.
static PORTS_TRIED: AtomicU16 = AtomicU16::new(0);

/// Finds a free address of the loopback network.
///
/// The address must stay free between this check and the daemon's own bind. Each
/// process therefore uses a loopback host of its own, and tries each port once
/// until the range wraps around.
pub(crate) fn free_address() -> anyhow::Result<SocketAddr> {
    let host = loopback_host(std::process::id());
    for _ in 0..PORT_COUNT {
        let port = FIRST_PORT + PORTS_TRIED.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let address = SocketAddr::from((host, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no free port at {host}")
}

/// Returns a host of 127.0.0.0/8 that no other running process uses.
///
/// Process IDs have at most 22 bits and the host part has 24, of which the top
/// one is set so that the host is never 127.0.0.1.
fn loopback_host(process_id: u32) -> Ipv4Addr {
    let [_, a, b, c] = process_id.to_be_bytes();
    Ipv4Addr::new(127, 0x80 | a, b, c)
}
