//! Endpoints that crash in the middle of an answer.

use chicorystage_testbed::users_platform::{ConnectionEnd, RawReply, run_local, wait_until};
use googletest::prelude::*;

use crate::raw_world::{TWO_EVENTS, World, events};

#[gtest]
fn crash_in_the_middle_of_any_answer_counts_for_the_quarantine_of_its_request() -> Result<()> {
    let partial = format!("{TWO_EVENTS}id: 3\nda");
    let cut_short = RawReply::new(
        "200 OK",
        &["Content-Length: 99"],
        "half an",
        ConnectionEnd::Crash,
    );
    let cases = [
        ("llm", "/chat/x", events(&partial, ConnectionEnd::Crash)),
        ("llm", "/chat/x", events("", ConnectionEnd::Crash)),
        ("app", "/pay/x", cut_short),
    ];
    for (service, path, reply) in cases {
        let crashes = crashes_recorded_after(service, path, reply)?;
        verify_that!(crashes, eq(1))?;
    }
    Ok(())
}

/// Returns how many crashes a gateway counts for a request that one endpoint answers with `reply`.
fn crashes_recorded_after(service: &str, path: &str, reply: RawReply) -> Result<u32> {
    run_local(async {
        let world = World::start(service, vec![reply]).await?;
        world.send(path).await?;
        let crashes = || world.gateway.with(|view| view.suspects.crashes_max());
        wait_until("the crash is recorded", || crashes() > 0).await;
        Ok(crashes())
    })
}
