use std::net::{SocketAddr, TcpListener};

use anyhow::bail;

/// Ports that the operating system does not give to outgoing connections.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 20_000;
/// Ports that are tried before giving up.
const TRIES: u32 = 2_000;

/// Finds a free address of the loopback interface.
///
/// Another process may take it before the daemon does; the daemon then says so.
pub(super) fn free_address() -> anyhow::Result<SocketAddr> {
    for _ in 0..TRIES {
        let port = FIRST_PORT + rand::random::<u16>() % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no free port")
}
