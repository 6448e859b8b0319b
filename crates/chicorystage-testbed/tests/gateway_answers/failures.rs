//! Failures that endpoints answer with reach their callers as they are.

use chicorystage_testbed::users_platform::{ConnectionEnd, RawReply, run_local};
use googletest::prelude::*;

use crate::raw_world::World;

const TEXT: &str = "out of luck";

/// Returns the failure in each framing.
fn replies(status: &str) -> Vec<RawReply> {
    let length = format!("Content-Length: {}", TEXT.len());
    let chunks = format!("{:x}\r\n{TEXT}\r\n0\r\n\r\n", TEXT.len());
    let reply =
        |headers: &[&str], body: &str| RawReply::new(status, headers, body, ConnectionEnd::Close);
    vec![
        reply(&[], TEXT),
        reply(&[length.as_str()], TEXT),
        reply(&["Transfer-Encoding: chunked"], &chunks),
    ]
}

/// Checks what a caller gets if the service's retry budget grants no other run.
fn check_unchanged(path: &str, status: &str) -> Result<()> {
    for reply in replies(status) {
        let sent = format!("{path}, {reply:?}");
        let reply = run_local(async {
            let world = World::start_without_retries("app", vec![reply]).await?;
            world.send(path).await
        })?;
        expect_that!(reply.status.as_str(), eq(&status[..3]), "{sent}");
        expect_that!(reply.text(), eq(TEXT), "{sent}");
        expect_that!(reply.is_complete, eq(true), "{sent}");
    }
    Ok(())
}

#[gtest]
fn rejected_request_keeps_the_status_and_text_of_its_endpoint() -> Result<()> {
    check_unchanged("/app/x", "400 Bad Request")?;
    check_unchanged("/pay/x", "400 Bad Request")
}

#[gtest]
fn failure_of_a_call_keeps_its_status_and_text() -> Result<()> {
    check_unchanged("/pay/x", "500 Internal Server Error")
}

// The route allows another run, which the budget does not grant.
#[gtest]
fn failure_of_an_idempotent_request_without_a_retry_keeps_its_status_and_text() -> Result<()> {
    check_unchanged("/app/x", "500 Internal Server Error")
}
