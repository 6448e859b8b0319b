//! Exchanges load, demand and placement between gateways by datagram.
//!
//! Each gateway must know the load that all others put on an endpoint, and the lease holder must
//! know the demand at every gateway. Every gateway sends its requests in progress and its waiting
//! requests to the lease holder several times a second, and at once when a request begins to wait
//! for a model or an adapter. The lease holder sums up the load of all gateways and broadcasts it,
//! together with the models and adapters of engines. So the number of messages grows with the
//! number of gateways and not with its square. While no lease holder is known, every gateway
//! broadcasts.
//!
//! Datagrams are not acknowledged or sent again: the next update replaces a lost one.

mod load_update;
mod receiving;
mod registration;
mod room;
mod sending;

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

pub use self::receiving::apply_placement;
pub use self::sending::{broadcast, publish_total_load, send_to};
use crate::gateway::shared::Gateway;

/// Binds the datagram socket for messages between gateways.
///
/// # Errors
///
/// Returns the operating system's error with the address.
pub fn bind(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let named = |error: std::io::Error| {
        std::io::Error::new(error.kind(), format!("listen on {address}: {error}"))
    };
    let socket = std::net::UdpSocket::bind(address).map_err(named)?;
    socket.set_nonblocking(true).map_err(named)?;
    UdpSocket::from_std(socket).map_err(named)
}

/// Starts the tasks that register this gateway, send updates and receive messages.
pub fn start(gateway: &Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    gateway.set_peer_socket(Rc::clone(&socket));
    register_again(gateway);
    let sending = Rc::clone(gateway);
    tokio::task::spawn_local(async move { sending::send_loop(&sending).await });
    let receiving = Rc::clone(gateway);
    tokio::task::spawn_local(async move { receiving::receive_loop(&receiving, &socket).await });
}

/// Starts the task that writes this gateway's row to the store.
pub fn register_again(gateway: &Rc<Gateway>) {
    let registering = Rc::clone(gateway);
    tokio::task::spawn_local(async move { registration::register(&registering).await });
}
