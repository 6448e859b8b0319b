//! HTTP/1 connection to an endpoint.
//!
//! TCP keepalive probes and a time limit on unacknowledged bytes detect an endpoint that vanished
//! without closing its connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Longest time for opening a TCP connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 700;
/// Idle time before the first keepalive probe and interval between probes, in milliseconds.
const PROBE_MS: u64 = 1_000;
/// Number of unanswered keepalive probes after which the connection is closed.
const PROBES_MAX: u32 = 2;
/// Longest head of an answer, and most bytes of one that are read ahead, per connection.
const READ_BYTES_MAX: usize = 32 << 10;
/// Time after which unacknowledged sent bytes close the connection, in milliseconds.
const UNACKNOWLEDGED_MS: u64 = 1_500;

/// A connection to an endpoint; dropping it closes it at once.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests, one at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Own address of the connection, which tells it from the others to the same endpoint.
    pub local: SocketAddr,
    /// Whether it has brought an answer before.
    pub is_reused: bool,
    task: AbortHandle,
}

impl Connection {
    /// Opens a connection and starts the task that drives it.
    ///
    /// # Errors
    ///
    /// Fails where the endpoint does not accept the connection in time, or the socket cannot be
    /// set up; no request byte was sent then.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
        set_options(&stream)?;
        let local = stream.local_addr()?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // The request on a broken connection gets the error.
            let _ended = connection.await;
        });
        Ok(Self {
            sender,
            local,
            is_reused: false,
            task: task.abort_handle(),
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_millis(PROBE_MS))
        .with_interval(Duration::from_millis(PROBE_MS))
        .with_retries(PROBES_MAX);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(UNACKNOWLEDGED_MS)))
}
