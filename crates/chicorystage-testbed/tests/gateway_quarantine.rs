//! Requests that crash the endpoints that run them, at several gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicorystage_core::suspects::SuspectList;
use chicorystage_core::suspects::prompt_parts::ServicePart;
use chicorystage_testbed::users_platform::{
    EndpointEmulator, EndpointEngine, PlatformFixture, Reply, StoreMode, default_routes, run_local,
    send_request, wait_until,
};
use chicorystaged::gateway::poison;
use chicorystaged::gateway::shared::Gateway;
use googletest::prelude::*;
use http::{Method, StatusCode};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Time of a model's load, in seconds.
const LOAD_S: u16 = 2;
/// Time within which a request that waits is refused after its quarantine.
const QUARANTINE_NOTICE: Duration = Duration::from_secs(1);
/// Crashes after which a request is quarantined.
const CRASHES: u32 = 3;

/// Three endpoints that crash with the first request, and a healthy one that is chosen last.
struct World {
    platform: PlatformFixture,
    healthy: EndpointEmulator,
}

impl World {
    async fn start() -> Result<Self> {
        let platform = PlatformFixture::start().await.or_fail()?;
        let reply = Reply::Complete {
            status: 200,
            body: "done".to_owned(),
        };
        let healthy = EndpointEmulator::start("z", reply, None).await.or_fail()?;
        platform.declare(1);
        let mut entry = healthy.registry_entry("app", "ready", 1);
        // The healthy endpoint is in another availability zone and each has many slots, so that the
        // gateways choose it last.
        entry["slots"] = 100.into();
        for i in 0..CRASHES {
            entry["addr"] = crashing_endpoint().await.or_fail()?.to_string().into();
            let key = format!("e{i}");
            platform
                .store
                .put("servers", &key, entry.to_string().as_bytes());
        }
        entry["addr"] = healthy.address.to_string().into();
        entry["zone"] = "z2".into();
        platform
            .store
            .put("servers", "z", entry.to_string().as_bytes());
        Ok(Self { platform, healthy })
    }

    /// Starts two gateways that exchange messages.
    async fn start_gateways(&self) -> Result<[Rc<Gateway>; 2]> {
        let gateways = [
            self.platform.start_gateway("g1").await.or_fail()?,
            self.platform.start_gateway("g2").await.or_fail()?,
        ];
        for gateway in &gateways {
            wait_until("the gateways are live peers of each other", || {
                let now_ms = gateway.now_ms();
                gateway.is_ready() && gateway.with(|view| view.live_peers(now_ms).count() == 1)
            })
            .await;
        }
        Ok(gateways)
    }
}

/// Starts an endpoint that crashes when it receives a request: the connection and the listener
/// are closed.
async fn crashing_endpoint() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::task::spawn_local(async move {
        let Ok((mut stream, _peer)) = listener.accept().await else {
            return;
        };
        let mut head = [0; 512];
        // Whatever was read, the connection and the listener are closed here.
        let _read = stream.read(&mut head).await;
    });
    Ok(address)
}

/// Sends a request; returns the status of its answer.
async fn send(gateway: &Gateway, path: &str, body: &str) -> Result<StatusCode> {
    let method = if body.is_empty() {
        Method::GET
    } else {
        Method::POST
    };
    let reply = send_request(gateway, method, path, &[], body).await;
    Ok(reply.or_fail()?.status)
}

/// Sends a request through the first gateway until it has crashed three endpoints.
async fn crash_three_endpoints(gateways: &[Rc<Gateway>], body: &str) -> Result<()> {
    for crashes in 1..=CRASHES {
        let status = send(&gateways[0], "/pay/poison", body).await?;
        verify_that!(status, eq(StatusCode::BAD_GATEWAY))?;
        wait_for_crashes(gateways, crashes).await;
    }
    Ok(())
}

/// Waits until each gateway counts so many crashes of the only suspect.
async fn wait_for_crashes(gateways: &[Rc<Gateway>], crashes: u32) {
    for gateway in gateways {
        wait_until("the gateway counts the crashes", || {
            gateway.with(|view| view.suspects.crashes_max()) == crashes
        })
        .await;
    }
}

#[gtest]
fn request_that_crashes_three_endpoints_is_then_refused_at_every_gateway() -> Result<()> {
    run_local(async {
        let world = World::start().await?;
        let gateways = world.start_gateways().await?;
        crash_three_endpoints(&gateways, "{poison}").await?;
        for gateway in &gateways {
            let status = send(gateway, "/pay/poison", "{poison}").await?;
            verify_that!(status, eq(StatusCode::INTERNAL_SERVER_ERROR))?;
        }
        verify_that!(world.healthy.received_requests(), is_empty())?;
        // The same path with another body is another request.
        let status = send(&gateways[1], "/pay/poison", "{good}").await?;
        verify_that!(status, eq(StatusCode::OK))
    })
}

#[gtest]
fn request_without_a_body_that_crashes_three_endpoints_is_then_refused_at_every_gateway()
-> Result<()> {
    run_local(async {
        let world = World::start().await?;
        let gateways = world.start_gateways().await?;
        crash_three_endpoints(&gateways, "").await?;
        for gateway in &gateways {
            let status = send(gateway, "/pay/poison", "").await?;
            verify_that!(status, eq(StatusCode::INTERNAL_SERVER_ERROR))?;
        }
        verify_that!(world.healthy.received_requests(), is_empty())?;
        verify_that!(
            send(&gateways[1], "/pay/other", "").await?,
            eq(StatusCode::OK)
        )
    })
}

#[gtest]
fn same_path_of_several_callers_at_endpoints_that_crash_together_is_not_quarantined() -> Result<()>
{
    run_local(async {
        let world = World::start().await?;
        let gateways = world.start_gateways().await?;
        let gateway = &gateways[0];
        let sent =
            futures_util::future::join_all((0..CRASHES).map(|_| send(gateway, "/pay/same", "")));
        for status in sent.await {
            verify_that!(status?, eq(StatusCode::BAD_GATEWAY))?;
        }
        wait_until("a crash is recorded", || {
            gateway.with(|view| view.suspects.crashes_max()) > 0
        })
        .await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        verify_that!(send(gateway, "/pay/same", "").await?, eq(StatusCode::OK))
    })
}

#[gtest]
fn answer_at_one_gateway_clears_a_suspected_request_at_the_others() -> Result<()> {
    run_local(async {
        let world = World::start().await?;
        let gateways = world.start_gateways().await?;
        for crashes in 1..CRASHES {
            verify_that!(
                send(&gateways[0], "/pay/same", "").await?,
                eq(StatusCode::BAD_GATEWAY)
            )?;
            wait_for_crashes(&gateways, crashes).await;
        }
        for i in 0..CRASHES {
            world.platform.store.remove("servers", &format!("e{i}"));
        }
        let answered = || async { send(&gateways[1], "/pay/same", "").await };
        while answered().await? != StatusCode::OK {}
        wait_for_crashes(&gateways, 0).await;
        Ok(())
    })
}

#[gtest]
fn quarantined_request_is_refused_by_a_gateway_that_starts_later() -> Result<()> {
    run_local(async {
        let world = World::start().await?;
        let gateways = world.start_gateways().await?;
        crash_three_endpoints(&gateways, "{poison}").await?;
        let started = world.platform.start_ready_gateway("g3").await.or_fail()?;
        wait_until("the new gateway knows the others", || {
            started.with(|view| view.has_peers)
        })
        .await;
        let status = send(&started, "/pay/poison", "{poison}").await?;
        verify_that!(status, eq(StatusCode::INTERNAL_SERVER_ERROR))?;
        verify_that!(world.healthy.received_requests(), is_empty())
    })
}

#[gtest]
fn quarantine_decided_while_the_store_is_away_is_stored_on_its_return() -> Result<()> {
    run_local(async {
        let world = World::start().await?;
        let gateways = world.start_gateways().await?;
        world.platform.store.set_mode(StoreMode::Busy);
        crash_three_endpoints(&gateways, "{poison}").await?;
        verify_that!(quarantine_key(&gateways[0]), some(anything()))?;
        world.platform.store.set_mode(StoreMode::Serving);
        let key = quarantine_key(&gateways[0]).or_fail()?;
        wait_until("the quarantine is stored", || {
            world.platform.store.get("chicorystage", &key).is_some()
        })
        .await;
        Ok(())
    })
}

// A gateway that starts after the store's return knows a quarantine by its row only.
#[gtest]
fn quarantine_that_a_copy_lacks_is_stored_again() -> Result<()> {
    run_local(async {
        let world = World::start().await?;
        let gateways = world.start_gateways().await?;
        let store = &world.platform.store;
        let copy = store.copy();
        crash_three_endpoints(&gateways, "{poison}").await?;
        let key = quarantine_key(&gateways[0]).or_fail()?;
        let is_stored = || store.get("chicorystage", &key).is_some();
        wait_until("the quarantine is stored", is_stored).await;
        store.restore(copy);
        verify_that!(is_stored(), eq(false))?;
        wait_until("the quarantine is stored again", is_stored).await;
        let started = world.platform.start_ready_gateway("g3").await.or_fail()?;
        let status = send(&started, "/pay/poison", "{poison}").await?;
        verify_that!(status, eq(StatusCode::INTERNAL_SERVER_ERROR))?;
        verify_that!(world.healthy.received_requests(), is_empty())
    })
}

#[gtest]
fn quarantine_whose_row_an_operator_removes_is_lifted_at_every_gateway() -> Result<()> {
    run_local(async {
        let world = World::start().await?;
        let gateways = world.start_gateways().await?;
        crash_three_endpoints(&gateways, "{poison}").await?;
        let key = quarantine_key(&gateways[0]).or_fail()?;
        wait_until("the quarantine is stored", || {
            world.platform.store.get("chicorystage", &key).is_some()
        })
        .await;
        world.platform.store.remove("chicorystage", &key);
        for gateway in &gateways {
            wait_until("the quarantine is lifted", || {
                quarantine_key(gateway).is_none()
            })
            .await;
        }
        let status = send(&gateways[1], "/pay/poison", "{poison}").await?;
        verify_that!(status, eq(StatusCode::OK))
    })
}

#[gtest]
fn request_whose_answers_are_only_lost_is_never_quarantined() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let endpoint = EndpointEmulator::start("e1", Reply::Disconnect, None)
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&endpoint, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        for _ in 0..5 {
            let reply = send_request(&gateway, Method::POST, "/pay/x", &[], "{same}").await;
            verify_that!(reply.or_fail()?.status, eq(StatusCode::BAD_GATEWAY))?;
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        verify_that!(endpoint.received_requests(), len(eq(5)))
    })
}

/// Returns the key of the row of the gateway's only quarantine; `None` without one.
fn quarantine_key(gateway: &Gateway) -> Option<String> {
    gateway.with(|view| {
        let mut quarantined = view.suspects.quarantined();
        let entry = quarantined.next()?;
        Some(format!("quarantine/{}", entry.digest.as_str()))
    })
}

#[gtest]
fn request_that_waits_for_an_endpoint_is_refused_as_soon_as_it_is_quarantined() -> Result<()> {
    run_local(async {
        let platform = PlatformFixture::start().await.or_fail()?;
        platform.declare_loads(1, &default_routes(), f64::from(LOAD_S));
        let engine = EndpointEngine::new(&["m1"], u64::from(LOAD_S) * 1_000);
        let endpoint = EndpointEmulator::start("e1", Reply::Silent, Some(engine))
            .await
            .or_fail()?;
        platform.register(&endpoint, "llm");
        let gateway = platform.start_ready_gateway("g1").await.or_fail()?;
        let headers = [("model", "m0"), ("prompt-prefix", "f:10,bad:10,own:1")];
        let sent = send_request(&gateway, Method::POST, "/long/x", &headers, "{}");
        let quarantined = async {
            wait_until("the request waits", || {
                gateway.with(|view| !view.waiters.is_empty())
            })
            .await;
            quarantine_part(&gateway, "llm", "bad");
            tokio::time::Instant::now()
        };
        let (reply, quarantined_at) = tokio::join!(sent, quarantined);
        verify_that!(
            reply.or_fail()?.status,
            eq(StatusCode::INTERNAL_SERVER_ERROR)
        )?;
        verify_that!(quarantined_at.elapsed(), lt(QUARANTINE_NOTICE))?;
        verify_that!(endpoint.received_requests(), is_empty())
    })
}

#[gtest]
fn stream_that_breaks_after_its_prompt_was_quarantined_is_not_resumed() -> Result<()> {
    run_local(async {
        let platform = PlatformFixture::start().await.or_fail()?;
        platform.declare(1);
        let broken = Reply::BrokenEvents {
            first: 1,
            last: 3,
            pause_ms: 100,
        };
        let mut endpoints = Vec::new();
        for id in ["e1", "e2"] {
            let engine = EndpointEngine::new(&["m0"], 60);
            let endpoint = EndpointEmulator::start(id, broken.clone(), Some(engine));
            let endpoint = endpoint.await.or_fail()?;
            platform.register(&endpoint, "llm");
            endpoints.push(endpoint);
        }
        let gateway = platform.start_ready_gateway("g1").await.or_fail()?;
        let received = || -> usize {
            let all = endpoints.iter().map(EndpointEmulator::received_requests);
            all.map(|requests| requests.len()).sum()
        };
        let headers = [("model", "m0"), ("prompt-prefix", "f:10,bad:10,own:1")];
        let sent = send_request(&gateway, Method::POST, "/long/x", &headers, "{}");
        let quarantined = async {
            wait_until("an engine runs the request", || received() > 0).await;
            quarantine_part(&gateway, "llm", "bad");
        };
        let (reply, ()) = tokio::join!(sent, quarantined);
        // A request that has no answer yet is refused, and a stream that has begun breaks off.
        let is_whole = reply.is_ok_and(|reply| reply.status.is_success() && reply.is_complete);
        verify_that!(is_whole, is_false())?;
        verify_that!(received(), eq(1))
    })
}

/// Quarantines a part of prompts at a gateway as another one does that tells it.
fn quarantine_part(gateway: &Gateway, service: &str, part: &str) {
    let part = ServicePart {
        service: service.into(),
        part: part.into(),
    };
    let entry = SuspectList::default().quarantine(1_000, &part.digest(), CRASHES, "a test");
    poison::merge(gateway, entry);
}
