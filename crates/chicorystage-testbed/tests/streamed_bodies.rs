//! Streamed bodies of routers and agents: which of them end as complete.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::{Handler, HttpServer, ResponseBody, channel_body};
use chicorystage_testbed::users_platform::{CallerReply, call, run_local};
use googletest::prelude::*;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Answers with a body whose sender is gone after its first bytes.
#[derive(Debug)]
struct Abandoning;

impl Handler for Abandoning {
    fn handle(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async {
            let (mut sender, body) = channel_body(4);
            tokio::spawn(async move {
                let _sent = sender.send(Bytes::from_static(b"half an")).await;
            });
            Response::new(body)
        })
    }
}

/// Answers with a body that its sender finishes.
#[derive(Debug)]
struct Finishing;

impl Handler for Finishing {
    fn handle(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async {
            let (mut sender, body) = channel_body(4);
            tokio::spawn(async move {
                let _sent = sender.send(Bytes::from_static(b"a whole answer")).await;
                sender.finish();
            });
            Response::new(body)
        })
    }
}

async fn reply_of(handler: Arc<dyn Handler>) -> Result<CallerReply> {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(free).await.or_fail()?;
    let address = server.address();
    let running = server.start(handler);
    let headers = [("host", "h.example")];
    let reply = call(address, Method::GET, "/", &headers, "")
        .await
        .or_fail();
    drop(running);
    reply
}

#[gtest]
fn body_whose_sender_is_dropped_is_broken_off() -> Result<()> {
    run_local(async {
        let reply = reply_of(Arc::new(Abandoning)).await?;
        verify_that!(reply.text(), eq("half an"))?;
        verify_that!(reply.is_complete, eq(false))
    })
}

#[gtest]
fn body_whose_sender_finishes_it_is_complete() -> Result<()> {
    run_local(async {
        let reply = reply_of(Arc::new(Finishing)).await?;
        verify_that!(reply.text(), eq("a whole answer"))?;
        verify_that!(reply.is_complete, eq(true))
    })
}

/// Sends a request in HTTP/1.0 and reads to the end of the connection; returns whether that was a
/// proper close.
async fn closes_properly_in_http_1_0(handler: Arc<dyn Handler>) -> Result<bool> {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(free).await.or_fail()?;
    let mut stream = TcpStream::connect(server.address()).await.or_fail()?;
    let running = server.start(handler);
    let request = "GET / HTTP/1.0\r\nHost: h.example\r\n\r\n";
    stream.write_all(request.as_bytes()).await.or_fail()?;
    let mut read = Vec::new();
    let ended = stream.read_to_end(&mut read).await;
    drop(running);
    Ok(ended.is_ok())
}

#[gtest]
fn body_whose_sender_is_dropped_ends_with_a_reset_in_http_1_0() -> Result<()> {
    run_local(async {
        let is_proper = closes_properly_in_http_1_0(Arc::new(Abandoning)).await?;
        verify_that!(is_proper, eq(false))
    })
}

#[gtest]
fn body_whose_sender_finishes_it_ends_with_a_proper_close_in_http_1_0() -> Result<()> {
    run_local(async {
        let is_proper = closes_properly_in_http_1_0(Arc::new(Finishing)).await?;
        verify_that!(is_proper, eq(true))
    })
}
