use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use chicorystage_borders::http::Handler;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::DuplexStream;

use crate::harness::gate::VmGate;

/// Capacity of each direction of a pipe, in bytes.
const PIPE_BYTES: usize = 64 << 10;

/// Opens a connection to a handler; it closes when the handler's process is killed.
pub(super) fn connect(handler: Arc<dyn Handler>, gate: VmGate) -> DuplexStream {
    let (client_end, server_end) = tokio::io::duplex(PIPE_BYTES);
    let request_gate = gate.clone();
    let answer = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        let gate = request_gate.clone();
        async move {
            gate.pass().await;
            let response = handler.handle(request).await;
            gate.pass().await;
            Ok::<_, Infallible>(response)
        }
    });
    let connection = server::Builder::new().serve_connection(TokioIo::new(server_end), answer);
    tokio::spawn(async move {
        tokio::select! {
            _closed = connection => {}
            () = gate.wait_dead() => {}
        }
    });
    client_end
}

/// Sends one request over a new connection and returns once the response head arrives.
pub(super) async fn exchange(
    handler: Arc<dyn Handler>,
    gate: VmGate,
    request: Request<Full<Bytes>>,
) -> hyper::Result<Response<Incoming>> {
    let connection = connect(handler, gate);
    let (mut sender, connection) = client::handshake(TokioIo::new(connection)).await?;
    tokio::spawn(async move {
        // A connection error also fails the response, where it is handled.
        let _closed = connection.await;
    });
    sender.send_request(request).await
}
