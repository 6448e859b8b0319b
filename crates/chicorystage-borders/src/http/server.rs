use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::BoxFuture;
use crate::http::ResponseBody;

/// Largest request head, in bytes.
const HEADER_BYTES_MAX: usize = 32 << 10;
/// Longest time to read a request head, in milliseconds.
const HEADER_READ_TIMEOUT_MS: u64 = 30_000;
/// Time for a connected caller to send its request once a stop has begun, in milliseconds.
const FIRST_REQUEST_GRACE_MS: u64 = 1_000;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// Answers the requests of a server.
pub trait Handler: Send + Sync {
    /// Answers one request.
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>>;
}

/// A bound HTTP server that has not started to accept.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    address: SocketAddr,
}

/// A running HTTP server; dropping it ends it at once.
pub struct RunningServer {
    stop: Option<oneshot::Sender<()>>,
    ended: oneshot::Receiver<()>,
}

impl HttpServer {
    /// Binds an address; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error with the address.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let named = |error: std::io::Error| {
            std::io::Error::new(error.kind(), format!("listen on {address}: {error}"))
        };
        let listener = TcpListener::bind(address).await.map_err(named)?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to accept connections.
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
    /// Stops accepting, lets requests in progress finish and returns.
    ///
    /// A caller that has connected may still send its request for a moment; its
    /// answer tells it to connect anew for the next.
    pub async fn stop_gracefully(mut self) {
        if let Some(stop) = self.stop.take() {
            // The loop may have ended by itself.
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
    let stop_asked = loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _peer)) => serve(stream, &handler, &graceful, &stopping),
                Err(_out_of_descriptors) => tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await,
            },
            asked = &mut stopped => break asked.is_ok(),
        }
    };
    if stop_asked {
        let accepted = close_to_new(&listener, &handler, &graceful, &stopping).await;
        drop(listener);
        if accepted {
            tokio::time::sleep(Duration::from_millis(FIRST_REQUEST_GRACE_MS)).await;
        }
        graceful.shutdown().await;
        // The owner may have stopped waiting.
        let _sent = end.send(());
    }
}

/// Takes what waits to be accepted, which closing the listener would reset.
///
/// Returns whether a connection is open whose request may be under way: a
/// caller that has connected must not lose a request to a planned stop.
async fn close_to_new(
    listener: &TcpListener,
    handler: &Arc<dyn Handler>,
    graceful: &GracefulShutdown,
    stopping: &Arc<AtomicBool>,
) -> bool {
    stopping.store(true, Ordering::Relaxed);
    while let Ok(Ok((stream, _peer))) = timeout(Duration::ZERO, listener.accept()).await {
        serve(stream, handler, graceful, stopping);
    }
    graceful.count() > 0
}

fn serve(
    stream: TcpStream,
    handler: &Arc<dyn Handler>,
    graceful: &GracefulShutdown,
    stopping: &Arc<AtomicBool>,
) {
    // Without it small frames wait for acknowledgements; failing to set it only costs latency.
    let _set = stream.set_nodelay(true);
    let (handler, stopping) = (Arc::clone(handler), Arc::clone(stopping));
    let answer = service_fn(move |request| {
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
        // A broken connection concerns its caller only, who sees it too.
        let _closed = watched.await;
    });
}
