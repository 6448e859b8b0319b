use std::io::{Error, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection that can be made to end with a reset.
///
/// In HTTP/1.0 a proper close ends a response without a length, so that a broken response must not
/// end with one.
#[derive(Debug)]
pub struct ResettableStream {
    stream: TcpStream,
    reset: Reset,
}

/// Makes a [`ResettableStream`] end with a reset once it is dropped.
#[derive(Clone, Debug, Default)]
pub struct Reset {
    is_requested: Arc<AtomicBool>,
}

impl ResettableStream {
    /// Wraps a connection; returns it with the handle that makes it end with a reset.
    #[must_use]
    pub fn new(stream: TcpStream) -> (Self, Reset) {
        let reset = Reset::default();
        let resettable = Self {
            stream,
            reset: reset.clone(),
        };
        (resettable, reset)
    }
}

impl Reset {
    /// Requests that the connection ends with a reset.
    pub fn request(&self) {
        self.is_requested.store(true, Ordering::Relaxed);
    }
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if !self.reset.is_requested.load(Ordering::Relaxed) {
            return;
        }
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::warn!(event = "reset_failed", error:%; "a broken response may look complete");
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResettableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
