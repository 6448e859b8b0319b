//! The second part of the demo: gateways in front of endpoints, with emulators
//! of the users' platform.

use std::time::Instant;

use anyhow::ensure;
use http::{Method, StatusCode};
use tokio::task::LocalSet;

use crate::users_platform::{
    CallerReply, EndpointEmulator, EndpointEngine, PlatformFixture, Reply, send_request, wait_until,
};

/// Duration of a model load in the demo, in milliseconds.
const LOAD_MS: u64 = 300;

/// One request of the demo and its expected status.
struct Step {
    name: &'static str,
    path: &'static str,
    model: &'static str,
    expected: StatusCode,
}

const STEPS: [Step; 5] = [
    Step {
        name: "balance",
        path: "/app/balance",
        model: "",
        expected: StatusCode::OK,
    },
    Step {
        name: "payout, answer lost",
        path: "/pay/post",
        model: "",
        expected: StatusCode::BAD_GATEWAY,
    },
    Step {
        name: "warm stream",
        path: "/chat/check",
        model: "m0",
        expected: StatusCode::OK,
    },
    Step {
        name: "cold stream",
        path: "/long/dossier",
        model: "m2",
        expected: StatusCode::OK,
    },
    Step {
        name: "adapter",
        path: "/chat/check",
        model: "m2/a1",
        expected: StatusCode::OK,
    },
];

/// Sends the requests through two gateways in this process and prints their results.
///
/// # Errors
///
/// Fails where a status is not the expected one, an answer is incomplete, or
/// the payout ran more than once.
pub(super) async fn run() -> anyhow::Result<()> {
    LocalSet::new().run_until(run_steps()).await
}

async fn run_steps() -> anyhow::Result<()> {
    let fixture = PlatformFixture::start().await?;
    let engine = EndpointEngine::new(&["m0", "m1"], LOAD_MS);
    let events = Reply::Events {
        first: 1,
        last: 5,
        pause_ms: 5,
    };
    let llm = EndpointEmulator::start("engine-1", events, Some(engine)).await?;
    let done = Reply::Complete {
        status: 200,
        body: "done".to_owned(),
    };
    let app = EndpointEmulator::start("app-1", done.clone(), None).await?;
    app.script(done);
    app.script(Reply::Disconnect);
    fixture.declare(1);
    fixture.register(&llm, "llm");
    fixture.register(&app, "app");
    let gateways = [
        fixture.start_gateway("gateway-1").await?,
        fixture.start_gateway("gateway-2").await?,
    ];
    for gateway in &gateways {
        wait_until("the gateways are ready", || gateway.is_ready()).await;
    }
    println!(
        "\non the users' platform, with {} gateways:",
        gateways.len()
    );
    for (i, step) in STEPS.iter().enumerate() {
        let gateway = &gateways[i % gateways.len()];
        let start = Instant::now();
        let headers = [("model", step.model)];
        let reply = send_request(gateway, Method::POST, step.path, &headers, "{}").await?;
        print_step(step, &reply, start.elapsed().as_millis());
        ensure!(
            reply.status == step.expected && reply.is_complete,
            "{}: {} instead of {}",
            step.name,
            reply.status,
            step.expected
        );
    }
    let payouts = app
        .received_requests()
        .iter()
        .filter(|request| request.path == "/pay/post")
        .count();
    ensure!(payouts == 1, "the payout ran {payouts} times");
    Ok(())
}

fn print_step(step: &Step, reply: &CallerReply, time_ms: u128) {
    let events = reply.text().matches("\n\n").count();
    println!(
        "  {:<20} {:<16} {:>6} ms  {} events, signed by {:?}",
        step.name,
        reply.status.to_string(),
        time_ms,
        events,
        reply.header("response-stamp")
    );
}
