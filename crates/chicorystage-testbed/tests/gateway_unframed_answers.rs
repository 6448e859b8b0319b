//! Answers whose end only the close of the connection marks: what a gateway may call complete.

use chicorystage_testbed::users_platform::{
    CallerReply, ConnectionEnd, EndpointEngine, PlatformFixture, RawEndpoint, RawReply, run_local,
    send_request,
};
use googletest::prelude::*;
use http::Method;

const MODEL: (&str, &str) = ("model", "m0");
const TWO_EVENTS: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";

/// Sends one request on `path` to the only endpoint, which answers with `reply`.
fn reply_on(path: &str, reply: RawReply) -> Result<CallerReply> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let engine = EndpointEngine::new(&["m0"], 60);
        let endpoint = RawEndpoint::start("e1", reply, engine).await.or_fail()?;
        world.declare(1);
        world.register_raw(&endpoint, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        send_request(&gateway, Method::POST, path, &[MODEL], "{}")
            .await
            .or_fail()
    })
}

// Incident ORDER on altiplano-miel, 2026-12-04.
#[gtest]
fn unframed_stream_that_closes_within_an_event_reaches_its_caller_as_broken_off() -> Result<()> {
    let body = format!("{TWO_EVENTS}id: 3\ndata: e");
    let reply = reply_on(
        "/chat/x",
        RawReply::unframed_events(&body, ConnectionEnd::Close),
    )?;
    verify_that!(reply.is_complete, eq(false))
}
