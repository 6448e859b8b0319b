use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::BoxFuture;
use crate::http::{ResettableStream, ResponseBody};

/// Largest request head, in bytes.
const HEADER_BYTES_MAX: usize = 32 << 10;
/// Longest time to read a request head, in milliseconds.
const HEADER_READ_TIMEOUT_MS: u64 = 30_000;
/// Time in which an open connection may still send a request during a graceful stop, in
/// milliseconds.
const FIRST_REQUEST_GRACE_MS: u64 = 1_000;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// Request handler of an [`HttpServer`].
pub trait Handler: Send + Sync {
    /// Returns the response to one request.
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>>;
}

/// An HTTP server that is bound to an address but doesn't accept connections yet.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    address: SocketAddr,
}

/// A running HTTP server.
///
/// Dropping it stops the server from accepting connections and waits for nothing.
pub struct RunningServer {
    stop: Option<oneshot::Sender<()>>,
    ended: oneshot::Receiver<()>,
}

impl HttpServer {
    /// Binds an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, prefixed with the address.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let with_address = |error: std::io::Error| {
            std::io::Error::new(error.kind(), format!("listen on {address}: {error}"))
        };
        let listener = TcpListener::bind(address).await.map_err(with_address)?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Returns the bound address, with the port that was selected.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to accept connections and to pass their requests to `handler`.
    #[must_use]
    pub fn start(self, handler: Arc<dyn Handler>) -> RunningServer {
        let (stop, stopped) = oneshot::channel();
        let (end, ended) = oneshot::channel();
        tokio::spawn(accept_loop(self.listener, handler, stopped, end));
        RunningServer {
            stop: Some(stop),
            ended,
        }
    }
}

impl RunningServer {
    /// Stops accepting connections and returns once requests in progress have finished.
    ///
    /// An open connection may still send a request for a short time; the
    /// response carries `Connection: close`.
    pub async fn stop_gracefully(mut self) {
        if let Some(stop) = self.stop.take() {
            // The accept loop may have ended already.
            let _sent = stop.send(());
        }
        let _ended = self.ended.await;
    }
}

impl fmt::Debug for RunningServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RunningServer").finish_non_exhaustive()
    }
}

async fn accept_loop(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    mut stopped: oneshot::Receiver<()>,
    end: oneshot::Sender<()>,
) {
    let graceful = GracefulShutdown::new();
    let stopping = Arc::new(AtomicBool::new(false));
    let stop_requested = loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _peer)) => serve_connection(stream, &handler, &graceful, &stopping),
                Err(_out_of_descriptors) => tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await,
            },
            requested = &mut stopped => break requested.is_ok(),
        }
    };
    if stop_requested {
        let accepted = accept_pending(&listener, &handler, &graceful, &stopping).await;
        drop(listener);
        if accepted {
            tokio::time::sleep(Duration::from_millis(FIRST_REQUEST_GRACE_MS)).await;
        }
        graceful.shutdown().await;
        // The caller of `stop_gracefully` may have dropped its future.
        let _sent = end.send(());
    }
}

/// Accepts the connections in the listener's backlog; closing the listener would reset them.
///
/// Returns whether any connection is open. A request on it may be on its way,
/// and a planned stop must not lose the request of a connected caller.
async fn accept_pending(
    listener: &TcpListener,
    handler: &Arc<dyn Handler>,
    graceful: &GracefulShutdown,
    stopping: &Arc<AtomicBool>,
) -> bool {
    stopping.store(true, Ordering::Relaxed);
    while let Ok(Ok((stream, _peer))) = timeout(Duration::ZERO, listener.accept()).await {
        serve_connection(stream, handler, graceful, stopping);
    }
    graceful.count() > 0
}

fn serve_connection(
    stream: TcpStream,
    handler: &Arc<dyn Handler>,
    graceful: &GracefulShutdown,
    stopping: &Arc<AtomicBool>,
) {
    // Without this option small frames wait for acknowledgements. A failure only adds latency.
    let _set = stream.set_nodelay(true);
    let (stream, reset) = ResettableStream::new(stream);
    let is_http_1_0 = Arc::new(AtomicBool::new(false));
    let ends_with_connection = Arc::clone(&is_http_1_0);
    let (handler, stopping) = (Arc::clone(handler), Arc::clone(stopping));
    let answer = service_fn(move |request: Request<Incoming>| {
        is_http_1_0.store(request.version() == Version::HTTP_10, Ordering::Relaxed);
        let (handler, stopping) = (Arc::clone(&handler), Arc::clone(&stopping));
        async move {
            let mut response = handler.handle(request).await;
            if stopping.load(Ordering::Relaxed) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEADER_READ_TIMEOUT_MS))
        .max_buf_size(HEADER_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), answer);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        let mut watched = pin!(watched);
        let ended = watched.as_mut().await;
        // Any other broken connection needs nothing here: its caller sees the break too.
        if ended.is_err() && ends_with_connection.load(Ordering::Relaxed) {
            reset.request();
        }
    });
}
