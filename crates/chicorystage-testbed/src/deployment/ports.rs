use std::net::{SocketAddr, TcpListener};

use anyhow::bail;

/// Ports that the operating system does not give to outgoing connections.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 20_000;
/// Ports that are tried before giving up.
const TRIES: u32 = 2_000;

/// Addresses of the loopback interface, held until their daemons start.
#[derive(Debug, Default)]
pub(super) struct Ports {
    held: Vec<TcpListener>,
}

impl Ports {
    /// Takes a free address and holds it.
    pub(super) fn take(&mut self) -> anyhow::Result<SocketAddr> {
        for _ in 0..TRIES {
            let port = FIRST_PORT + rand::random::<u16>() % PORTS;
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if let Ok(listener) = TcpListener::bind(address) {
                self.held.push(listener);
                return Ok(address);
            }
        }
        bail!("no free port")
    }

    /// Lets go of all addresses so that daemons can listen on them.
    pub(super) fn release(&mut self) {
        self.held.clear();
    }
}
