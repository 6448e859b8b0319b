//! Random answers, cut at random bytes: no cut answer looks whole, no whole answer is cut, and what
//! may have run is never called not run.
//!
//! What is expected is derived from the script of an answer alone, not from the gateway's code.

mod script;

use chicorystage_testbed::users_platform::{
    CallerReply, ConnectionEnd, EndpointEngine, PlatformFixture, RawEndpoint, RawReply, run_local,
    send_request,
};
use googletest::prelude::*;
use http::Method;
use script::{End, Script, is_stream_path};

/// Seeds of the scripts that are played.
const SEEDS: std::ops::Range<u64> = 0..250;
/// Seeds that once failed: streams whose lines end with CR LF, cut before the last LF of an event.
const FAILED_SEEDS: [u64; 4] = [1_851, 2_908, 4_340, 4_707];
/// Deadline of a caller whose answer falls silent before its end, in milliseconds.
const SHORT_DEADLINE_MS: &str = "250";
/// Deadline of any other caller, in milliseconds; no machine is too slow for a whole answer.
const DEADLINE_MS: &str = "4000";
const MODEL: (&str, &str) = ("model", "m0");
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Plays a script at the only endpoint, which refuses any other request.
fn play(script: &Script) -> Result<CallerReply> {
    run_local(async {
        let platform = PlatformFixture::start().await.or_fail()?;
        platform.declare(1);
        let refusal = RawReply::new(
            "503 Busy",
            &["Not-Executed: 1", "Content-Length: 0"],
            "",
            ConnectionEnd::Silence,
        );
        let engine = EndpointEngine::new(&["m0"], 60);
        let endpoint = RawEndpoint::start("e1", refusal, engine).await.or_fail()?;
        endpoint.script(script.reply());
        let service = if is_stream_path(script.path) {
            "llm"
        } else {
            "app"
        };
        platform.register_raw(&endpoint, service);
        let gateway = platform.start_ready_gateway("g1").await.or_fail()?;
        let falls_silent = script.cut_bytes.is_some() && script.end == End::Silence;
        let deadline_ms = if falls_silent {
            SHORT_DEADLINE_MS
        } else {
            DEADLINE_MS
        };
        let headers = [MODEL, ("deadline-ms", deadline_ms)];
        send_request(&gateway, Method::POST, script.path, &headers, "{}")
            .await
            .or_fail()
    })
}

/// Returns what is wrong with the reply to a script, if anything is.
fn fault(script: &Script, reply: &CallerReply) -> Option<&'static str> {
    let status = reply.status.as_u16();
    if script.is_not_executed && script.has_head() {
        return (status != 503).then_some("a refusal became another answer");
    }
    let is_own_failure = matches!(status, 502 | 504) && status != script.status;
    if PROMISES.contains(&status) {
        return Some("what may have run is called not run");
    }
    if is_own_failure {
        let is_whole = script.cut_bytes.is_none() && script.end != End::Reset;
        let may_be_repeated = matches!(script.path, "/app/x" | "/long/x");
        let is_repeated_failure = script.status == 500 && may_be_repeated;
        return (is_whole && !is_repeated_failure).then_some("a whole answer is lost");
    }
    if status != script.status {
        return Some("another status than the endpoint's");
    }
    let text = reply.text();
    if reply.is_complete {
        let may_be_whole = script.whole_body().is_some_and(|body| body == text)
            || (script.cut_bytes.is_none() && script.body() == text);
        return (!may_be_whole).then_some("a cut answer looks whole");
    }
    if script.cut_bytes.is_none() && script.end != End::Reset {
        return Some("a whole answer is cut");
    }
    (!script.body().starts_with(&text)).then_some("bytes that the endpoint did not send")
}

#[gtest]
fn random_answers_reach_their_callers_as_what_they_are() -> Result<()> {
    for seed in SEEDS.chain(FAILED_SEEDS) {
        let script = Script::random(seed);
        let reply = play(&script)?;
        expect_that!(
            fault(&script, &reply),
            none(),
            "seed {seed}: {} {} {:?}, {} of {} + {} bytes, {:?}; got {} complete={} {} bytes",
            script.path,
            script.status,
            script.framing,
            script.cut_bytes.map_or(-1, usize::cast_signed),
            script.head.len(),
            script.framed.len(),
            script.end,
            reply.status,
            reply.is_complete,
            reply.body.len()
        );
    }
    Ok(())
}
