//! Endpoints that write an earlier refusal once more on a kept connection, before the answer of a
//! request that they run.

mod raw_world;

use chicorystage_testbed::users_platform::{ConnectionEnd, RawReply, run_local, send_request};
use googletest::prelude::*;
use http::{Method, StatusCode};

use crate::raw_world::{LAST_EVENT, TWO_EVENTS, World, events};

const BUSY: &str = "503 Service Unavailable";
const TOO_MANY: &str = "429 Too Many Requests";
const MISDIRECTED: &str = "421 Misdirected Request";
/// Routes whose requests may run once: a call and a stream.
const ONCE: [(&str, &str); 2] = [("app", "/pay/x"), ("llm", "/chat/x")];

fn answer(service: &str) -> RawReply {
    if service == "llm" {
        let body = format!("{TWO_EVENTS}{LAST_EVENT}");
        let length = format!("Content-Length: {}", body.len());
        let headers = ["Content-Type: text/event-stream", length.as_str()];
        return RawReply::new("200 OK", &headers, &body, ConnectionEnd::Silence);
    }
    RawReply::new(
        "200 OK",
        &["Content-Length: 2"],
        "ok",
        ConnectionEnd::Silence,
    )
}

fn refusal(status: &str) -> RawReply {
    let headers = ["Not-Executed: 1", "Content-Length: 0"];
    RawReply::new(status, &headers, "", ConnectionEnd::Silence)
}

/// A refusal that does not say to which attempt it belongs.
fn unnamed_refusal(status: &str) -> RawReply {
    let bytes = format!("HTTP/1.1 {status}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    RawReply {
        bytes,
        end: ConnectionEnd::Silence,
    }
}

/// Starts `endpoints` endpoints that repeat refusals, each with one refusal to give.
async fn start(service: &str, endpoints: usize, refusal: &RawReply) -> Result<World> {
    let world = World::start(service, vec![answer(service); endpoints]).await?;
    for endpoint in &world.endpoints {
        endpoint.repeat_refusals();
        endpoint.script(refusal.clone());
    }
    Ok(world)
}

/// Sends an attempt; verifies that it runs once at most, and not at all if it is refused.
async fn verify_honest(world: &World, path: &str, attempt: &str) -> Result<StatusCode> {
    let headers = [("attempt-id", attempt), ("model", "m0")];
    let reply = send_request(&world.gateway, Method::POST, path, &headers, "{}")
        .await
        .or_fail()?;
    let runs = world
        .endpoints
        .iter()
        .map(|endpoint| endpoint.runs(attempt));
    let runs: usize = runs.sum();
    let may_have_run = !matches!(reply.status.as_u16(), 408 | 421 | 429 | 503);
    let runs_max = usize::from(may_have_run);
    verify_that!(runs, le(runs_max))
        .with_failure_message(|| format!("{path} {attempt}: {}", reply.status))?;
    Ok(reply.status)
}

async fn verify_all_honest(world: &World, path: &str, attempts: &[&str]) -> Result<()> {
    for attempt in attempts {
        verify_honest(world, path, attempt).await?;
    }
    Ok(())
}

#[gtest]
fn refusal_written_again_for_the_same_attempt_on_its_connection_is_not_believed() -> Result<()> {
    for (service, path) in ONCE {
        for status in [BUSY, TOO_MANY, MISDIRECTED] {
            for endpoints in [1, 2] {
                run_local(async {
                    let world = start(service, endpoints, &refusal(status)).await?;
                    verify_all_honest(&world, path, &["a1", "a2"]).await
                })?;
            }
        }
    }
    Ok(())
}

#[gtest]
fn refusal_that_names_no_attempt_is_not_believed_on_a_kept_connection() -> Result<()> {
    for (service, path) in ONCE {
        for status in [BUSY, TOO_MANY, MISDIRECTED] {
            for endpoints in [1, 2] {
                run_local(async {
                    let world = start(service, endpoints, &unnamed_refusal(status)).await?;
                    verify_all_honest(&world, path, &["a1", "a2", "a3", "a4"]).await
                })?;
            }
        }
    }
    Ok(())
}

#[gtest]
fn refusal_of_another_attempt_is_not_believed() -> Result<()> {
    for (service, path) in ONCE {
        run_local(async {
            let world = start(service, 1, &refusal(BUSY)).await?;
            verify_all_honest(&world, path, &["a1", "a2", "a3", "a4"]).await
        })?;
    }
    Ok(())
}

#[gtest]
fn success_that_names_no_attempt_is_not_believed_on_a_kept_connection() -> Result<()> {
    run_local(async {
        let unnamed = RawReply {
            bytes: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother".to_owned(),
            end: ConnectionEnd::Silence,
        };
        let world = World::start("app", vec![answer("app")]).await?;
        verify_that!(world.send("/pay/x").await?.status, eq(StatusCode::OK))?;
        world.endpoints[0].script(unnamed);
        verify_that!(
            world.send("/pay/x").await?.status,
            eq(StatusCode::BAD_GATEWAY)
        )
    })
}

#[gtest]
fn refusal_that_names_no_attempt_is_believed_on_a_new_connection() -> Result<()> {
    run_local(async {
        let world = World::start("app", vec![unnamed_refusal(BUSY), answer("app")]).await?;
        for _ in 0..4 {
            verify_that!(world.send("/pay/x").await?.status, eq(StatusCode::OK))?;
        }
        Ok(())
    })
}

#[gtest]
fn stream_is_not_resumed_with_a_refusal_that_is_written_again() -> Result<()> {
    run_local(async {
        let mut world = start("llm", 1, &unnamed_refusal(BUSY)).await?;
        // Leaves a connection that has brought a refusal.
        world.send("/long/x").await?;
        let broken = events(TWO_EVENTS, ConnectionEnd::Reset);
        world.add_endpoint("llm", broken).await?;
        world.wait_until_all_known().await;
        for number in 2..8 {
            let attempt = format!("a{number}");
            let headers = [("attempt-id", attempt.as_str()), ("model", "m0")];
            let reply = send_request(&world.gateway, Method::POST, "/long/x", &headers, "{}")
                .await
                .or_fail()?;
            if reply.is_complete && reply.status == StatusCode::OK {
                verify_that!(reply.text(), contains_substring(LAST_EVENT))?;
                verify_that!(reply.text(), not(contains_substring("HTTP/1.1")))?;
            }
        }
        Ok(())
    })
}
