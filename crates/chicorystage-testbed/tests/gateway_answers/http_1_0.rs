//! Callers in HTTP/1.0, for whom the end of the connection ends an answer.

use chicorystage_testbed::users_platform::{ConnectionEnd, run_local};
use chicorystaged::gateway::shared::Gateway;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::raw_world::{TWO_EVENTS, World, events};

#[gtest]
fn broken_stream_of_a_caller_in_http_1_0_ends_with_a_reset() -> Result<()> {
    run_local(async {
        let partial = format!("{TWO_EVENTS}id: 3\nda");
        let world = World::start("llm", vec![events(&partial, ConnectionEnd::Close)]).await?;
        let (reply, is_closed_properly) = reply_in_http_1_0(&world.gateway, "/chat/x").await?;
        verify_that!(reply, starts_with("HTTP/1.0 200"))?;
        verify_that!(is_closed_properly, eq(false))
    })
}

#[gtest]
fn whole_stream_of_a_caller_in_http_1_0_ends_with_a_proper_close() -> Result<()> {
    run_local(async {
        let world = World::start("llm", vec![events(TWO_EVENTS, ConnectionEnd::Close)]).await?;
        let (reply, is_closed_properly) = reply_in_http_1_0(&world.gateway, "/chat/x").await?;
        verify_that!(reply, ends_with(TWO_EVENTS))?;
        verify_that!(is_closed_properly, eq(true))
    })
}

/// Sends a request in HTTP/1.0, whose answers end with their connection, and reads to its end.
///
/// Returns the answer's bytes and whether the connection was closed properly.
async fn reply_in_http_1_0(gateway: &Gateway, path: &str) -> Result<(String, bool)> {
    let mut stream = TcpStream::connect(gateway.settings.callers)
        .await
        .or_fail()?;
    let request = format!(
        "POST {path} HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: a1\r\nModel: m0\r\n\
         Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).await.or_fail()?;
    let mut read = Vec::new();
    let ended = stream.read_to_end(&mut read).await;
    Ok((String::from_utf8_lossy(&read).into_owned(), ended.is_ok()))
}
