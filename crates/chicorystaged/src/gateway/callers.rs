//! Accepts connections of callers and serves HTTP/1 requests on them.
//!
//! When the gateway closes, connections shut down gracefully: requests in progress finish first.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_borders::http::ResettableStream;
use chicorystage_platform::caller_request::CallerRequest;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

use crate::gateway::answer_body::Never;
use crate::gateway::request;
use crate::gateway::shared::Gateway;

/// Length of the listener's accept queue.
const BACKLOG: i32 = 1_024;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 20;
/// Largest buffer for a request head, in bytes; larger heads are rejected.
const HEAD_BYTES_MAX: usize = 64 << 10;
/// Idle timeout of a connection while no configuration is known, in milliseconds.
const IDLE_MS: u64 = 15_000;
/// Time for which a connection stays open beyond the idle timeout that callers know, in
/// milliseconds.
///
/// A caller that reuses a connection within that timeout must not find it closed.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Binds a listener whose accept queue holds `BACKLOG` connections.
///
/// # Errors
///
/// Returns the operating system's error with the address.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let named = |error: std::io::Error| {
        std::io::Error::new(error.kind(), format!("listen on {address}: {error}"))
    };
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).map_err(named)?;
    socket.set_reuse_address(true).map_err(named)?;
    socket.set_nonblocking(true).map_err(named)?;
    socket.bind(&address.into()).map_err(named)?;
    socket.listen(BACKLOG).map_err(named)?;
    TcpListener::from_std(socket.into()).map_err(named)
}

/// Starts to accept callers; connections end gracefully when the gateway closes.
pub fn start(gateway: &Rc<Gateway>, listener: TcpListener) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _peer)) => serve(&gateway, stream),
                Err(error) => {
                    log::warn!(event = "accept_failed", error:%; "cannot accept a connection");
                    tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                }
            }
        }
    });
}

fn serve(gateway: &Rc<Gateway>, stream: TcpStream) {
    // With Nagle's algorithm small events wait for acknowledgements; a failure only costs latency.
    let _set = stream.set_nodelay(true);
    let (stream, reset) = ResettableStream::new(stream);
    let open = Rc::new(gateway.caller_connections.open());
    let arriving = Rc::clone(&open);
    let idle_ms = gateway.configuration().map_or(IDLE_MS, |configuration| {
        configuration.limits.idle_timeout_ms
    });
    let closing = Rc::clone(gateway);
    let answering = Rc::clone(gateway);
    let is_http_1_0 = Rc::new(Cell::new(false));
    let ends_with_connection = Rc::clone(&is_http_1_0);
    let answer = service_fn(move |request: Request<Incoming>| {
        let gateway = Rc::clone(&answering);
        is_http_1_0.set(request.version() == Version::HTTP_10);
        let head = CallerRequest::decode(request.headers());
        arriving.request_arrived(&head.attempt_id);
        async move {
            let mut response = request::serve(Rc::clone(&gateway), request, head).await;
            if gateway.is_stopping.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Never>(response)
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms + IDLE_MARGIN_MS))
        .max_buf_size(HEAD_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), answer);
    tokio::task::spawn_local(async move {
        // Counts the connection until its last byte has left the process.
        let _open = open;
        let ended = tokio::select! {
            ended = &mut connection => Some(ended),
            () = closing.closing() => None,
        };
        let ended = if let Some(ended) = ended {
            ended
        } else {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        };
        // Any other broken connection needs nothing here: its caller sees the break too.
        if ended.is_err() && ends_with_connection.get() {
            reset.request();
        }
    });
}
