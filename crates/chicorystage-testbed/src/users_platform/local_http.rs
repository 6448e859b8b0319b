//! A minimal HTTP/1 server on loopback, run by tasks of the current `LocalSet`.

use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::{Request, Response};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Reason for which an emulator breaks a connection.
#[derive(Clone, Copy, Debug, displaydoc::Display)]
pub(super) enum ConnectionFault {
    /// the emulator breaks the connection because the test requested it
    Injected,
}

impl std::error::Error for ConnectionFault {}

pub(super) type Frames = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, ConnectionFault>>>>;
pub(super) type EmulatorBody = Either<Full<Bytes>, StreamBody<Frames>>;
pub(super) type ResponseFuture =
    Pin<Box<dyn Future<Output = Result<Response<EmulatorBody>, ConnectionFault>>>>;

/// Serves a handler on a free loopback port and returns the address.
pub(super) async fn serve(
    handler: impl Fn(Request<Incoming>) -> ResponseFuture + 'static,
) -> std::io::Result<SocketAddr> {
    serve_while_running(handler, watch::Sender::new(true).subscribe()).await
}

/// Serves a handler like [`serve`], but only while `is_running` is true.
///
/// While it is false, connections are accepted and bytes received by the operating system alone,
/// as on a host whose process is paused.
pub(super) async fn serve_while_running(
    handler: impl Fn(Request<Incoming>) -> ResponseFuture + 'static,
    is_running: watch::Receiver<bool>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let address = listener.local_addr()?;
    let handler = Rc::new(handler);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _peer)) = listener.accept().await {
            let handler = Rc::clone(&handler);
            let service = service_fn(move |request| handler(request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let is_running = is_running.clone();
            tokio::task::spawn_local(async move {
                // The client observes a broken connection as well, so the error is ignored.
                let _ended = run_while(is_running, connection).await;
            });
        }
    });
    Ok(address)
}

/// Drives a future only while `is_running` is true.
async fn run_while<T>(mut is_running: watch::Receiver<bool>, work: impl Future<Output = T>) -> T {
    let mut work = pin!(work);
    loop {
        // A sender that is gone changes nothing any more.
        let running = is_running.wait_for(|is_running| *is_running).await;
        drop(running);
        let mut changes = is_running.clone();
        let paused = async {
            let paused = changes.wait_for(|is_running| !is_running).await;
            if paused.is_err() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            () = paused => {}
            ended = work.as_mut() => return ended,
        }
    }
}

/// Returns a response with a complete body; an invalid status becomes 200.
pub(super) fn full_response(status: u16, body: impl Into<Bytes>) -> Response<EmulatorBody> {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Interval between two parts of a slow response's body, in milliseconds.
const PART_INTERVAL_MS: u64 = 50;

/// Returns a response with status 200 whose body arrives in parts over `transfer_ms`.
///
/// `arriving` is the share of the parts that are sent; the rest never arrives.
pub(super) fn slow_response(
    body: impl Into<Bytes>,
    transfer_ms: u64,
    arriving: f64,
) -> Response<EmulatorBody> {
    let body = body.into();
    let parts = usize::try_from(transfer_ms.div_ceil(PART_INTERVAL_MS).max(1)).unwrap_or(1);
    let part_bytes = body.len().div_ceil(parts).max(1);
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a small number of parts"
    )]
    let sent_parts = (parts as f64 * arriving).round() as usize;
    let sent = body.slice(..body.len().min(sent_parts * part_bytes));
    let is_whole = sent.len() == body.len();
    let frames = futures_util::stream::unfold(sent, move |mut rest| async move {
        if rest.is_empty() && is_whole {
            return None;
        }
        if rest.is_empty() {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(PART_INTERVAL_MS)).await;
        let part = rest.split_to(part_bytes.min(rest.len()));
        Some((Ok(Frame::data(part)), rest))
    });
    let frames: Frames = Box::pin(frames);
    Response::new(Either::Right(StreamBody::new(frames)))
}
