//! A graceful stop answers the requests of all callers that have already connected.

use std::net::SocketAddr;
use std::sync::Arc;

use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::{Handler, HttpServer, ResponseBody, full_body};
use googletest::prelude::*;
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct Hello;

impl Handler for Hello {
    fn handle(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async { Response::new(full_body("hello")) })
    }
}

#[gtest]
#[tokio::test]
async fn connected_caller_is_answered_and_its_connection_closed() {
    let server = HttpServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let address = server.address();
    let running = server.start(Arc::new(Hello));
    let mut accepted = TcpStream::connect(address).await.unwrap();
    tokio::task::yield_now().await;
    let mut unaccepted = TcpStream::connect(address).await.unwrap();

    let stopping = tokio::spawn(running.stop_gracefully());
    tokio::task::yield_now().await;
    for stream in [&mut accepted, &mut unaccepted] {
        let mut answer = String::new();
        stream
            .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            .await
            .unwrap();
        stream.read_to_string(&mut answer).await.unwrap();
        expect_that!(answer, starts_with("HTTP/1.1 200"));
        expect_that!(
            answer.to_lowercase(),
            contains_substring("connection: close")
        );
        expect_that!(answer, ends_with("hello"));
    }
    stopping.await.unwrap();
    expect_that!(TcpStream::connect(address).await.is_err(), is_true());
}
