//! How long a gateway sends requests to endpoints that vanish from the registry.

use std::cell::{Cell, OnceCell};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicorystage_core::fleet::{Prompt, Requirements};
use chicorystage_core::teams::Rank;
use chicorystage_platform::caller_request::CallerRequest;
use chicorystage_testbed::users_platform::{
    EndpointEmulator, PlatformFixture, Reply, StoreMode, run_local, send_request, wait_until,
};
use chicorystaged::gateway::attempt::{self, Attempted};
use chicorystaged::gateway::caller_identity::CallerIdentity;
use chicorystaged::gateway::caller_work::CallerWork;
use chicorystaged::gateway::shared::Gateway;
use googletest::prelude::*;
use http::{HeaderMap, Method, StatusCode, Uri};

/// Time after which an endpoint that left gets no request, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// Time from a reset poll until the next poll has been answered, in milliseconds.
const NEXT_POLL_ANSWERED_MS: u64 = 2_700;
/// Length of an outage in which entries expire, in milliseconds.
const OUTAGE_MS: u64 = 3_600;
/// Time from the end of an outage until the bounds hold again, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Time from the return of the store until an endpoint registers again, in milliseconds.
const REGISTERED_AGAIN_MS: u64 = 1_000;
/// Time after which an endpoint that has not registered again counts as gone, in milliseconds.
const REREGISTRATION_MS: u64 = 2_500;

fn success_reply() -> Reply {
    Reply::Complete {
        status: 200,
        body: "done".to_owned(),
    }
}

async fn sleep_ms(time_ms: u64) {
    tokio::time::sleep(Duration::from_millis(time_ms)).await;
}

// One reset poll of another table was taken for an outage of the store, which deferred removals.
#[gtest]
fn endpoint_that_left_after_a_reset_poll_gets_no_request_past_the_drain_bound() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", success_reply(), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        // Lets the gateway begin its polls.
        sleep_ms(200).await;
        world.store.reset_feeds("op");
        sleep_ms(NEXT_POLL_ANSWERED_MS).await;
        world.store.remove("servers", endpoint.id());
        sleep_ms(DRAIN_MS).await;
        send_request(&gateway, Method::POST, "/pay/x", &[], "{}")
            .await
            .or_fail()?;
        verify_that!(endpoint.received_requests(), len(eq(0)))
    })
}

// The call after a failed poll must not wait for changes, or the failure looks like an outage.
#[gtest]
fn endpoint_that_left_after_a_reset_poll_of_the_registry_gets_no_request_past_the_drain_bound()
-> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", success_reply(), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        // Late in the second poll.
        sleep_ms(2_400).await;
        world.store.reset_feeds("servers");
        sleep_ms(520).await;
        world.store.remove("servers", endpoint.id());
        sleep_ms(DRAIN_MS).await;
        send_request(&gateway, Method::POST, "/pay/x", &[], "{}")
            .await
            .or_fail()?;
        verify_that!(endpoint.received_requests(), len(eq(0)))
    })
}

// The endpoint's new entry equals its old one, so that comparing entries does not tell that it is
// back.
#[gtest]
fn endpoint_that_registers_again_unchanged_after_an_outage_is_kept() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", success_reply(), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        world.store.set_mode(StoreMode::Busy);
        // Also refuses the next calls of polls that wait.
        world.store.reset_feeds("servers");
        sleep_ms(OUTAGE_MS).await;
        world.store.remove("servers", endpoint.id());
        world.store.set_mode(StoreMode::Serving);
        sleep_ms(REGISTERED_AGAIN_MS).await;
        world.register(&endpoint, "app");
        sleep_ms(REREGISTRATION_MS).await;
        let reply = send_request(&gateway, Method::POST, "/pay/x", &[], "{}")
            .await
            .or_fail()?;
        verify_that!(reply.status, eq(StatusCode::OK))
    })
}

// A poll sent shortly before the store's return stayed unanswered, and the deferral began after it.
#[gtest]
fn endpoint_that_left_during_an_outage_gets_no_request_once_contact_is_restored() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", success_reply(), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        world.store.set_mode(StoreMode::Silent);
        sleep_ms(OUTAGE_MS).await;
        world.store.remove("servers", endpoint.id());
        world.store.set_mode(StoreMode::Serving);
        sleep_ms(CONTACT_MS).await;
        send_request(&gateway, Method::POST, "/pay/x", &[], "{}")
            .await
            .or_fail()?;
        verify_that!(endpoint.received_requests(), len(eq(0)))
    })
}

// A poll on a connection that fell silent was taken for an outage of the store.
#[gtest]
fn endpoint_that_left_while_a_poll_was_silent_gets_no_request_once_contact_is_restored()
-> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", success_reply(), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        // Longer than the pause between two polls.
        sleep_ms(500).await;
        world.store.silence_feeds("servers");
        world.store.remove("servers", endpoint.id());
        sleep_ms(CONTACT_MS).await;
        send_request(&gateway, Method::POST, "/pay/x", &[], "{}")
            .await
            .or_fail()?;
        verify_that!(endpoint.received_requests(), len(eq(0)))
    })
}

// Opening a connection takes up to 0.7 s, in which the endpoint may leave.
#[gtest]
fn reserved_endpoint_that_leaves_before_the_request_is_sent_gets_no_request() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", success_reply(), None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let reservation = gateway.reserve(&requirements()).ok().or_fail()?;
        world.register_as(&endpoint, "app", "draining", 1);
        let id = endpoint.id().into();
        wait_until("the gateway sees the endpoint as leaving", || {
            gateway.with(|view| view.fleet.get(&id).is_some_and(|known| !known.is_ready()))
        })
        .await;
        let work = caller_work(&gateway).or_fail()?;
        let attempted = attempt::send(&gateway, reservation, &work, None).await;
        expect_that!(attempted, matches_pattern!(Attempted::NotRun { .. }));
        verify_that!(endpoint.received_requests(), len(eq(0)))
    })
}

fn requirements() -> Requirements {
    Requirements {
        is_resumable: false,
        is_most_urgent: false,
        service: "app".into(),
        software: None,
        model: None,
        adapter: None,
        prompt: Prompt {
            tokens: 0,
            defer_until_ms: 0,
        },
        avoid: Vec::new(),
    }
}

fn caller_work(gateway: &Gateway) -> Option<CallerWork> {
    let configuration = gateway.configuration()?;
    let route = configuration.route("h.example", "/pay/x")?;
    let now_ms = gateway.now_ms();
    Some(CallerWork {
        method: Method::POST,
        uri: Uri::from_static("/pay/x"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        is_trial: Cell::new(false),
        body_share: None,
        identity: CallerIdentity::NoTeams,
        rank: Rank::default(),
        urgency: 3,
        head: CallerRequest::default(),
        route: Arc::clone(route),
        arrived_ms: now_ms,
        ends_ms: now_ms + 3_000,
        waits: Cell::default(),
        digest: OnceCell::new(),
        refused_on: std::cell::RefCell::default(),
        attempt_began_ms: std::cell::Cell::default(),
    })
}
