//! Gateways of a configuration that lists teams: keys, what endpoints are told, quotas and withdrawals.

use std::rc::Rc;
use std::time::Duration;

use chicorystage_testbed::users_platform::{
    CallerReply, EndpointEmulator, PlatformFixture, Reply, StoreMode, default_routes, run_local,
    send_request, wait_until,
};
use chicorystaged::gateway::shared::Gateway;
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;

/// Longest time for which a withdrawn key is accepted, in milliseconds.
const REVOKE_MAX_MS: u64 = 900;

fn team(name: &str, keys: &[&str]) -> Value {
    json!({"name": name, "api_keys": keys, "priority": 0, "unit": "requests",
        "rate_per_s": 1_000, "burst": 1_000})
}

fn declare(fixture: &PlatformFixture, version: u64, teams: &Value) {
    let mut routes = default_routes();
    let public = json!({"name": "open", "host": "h.example", "prefix": "/open/", "kind": "safe",
        "backend": "app", "timeout_ms": 3_000, "latency_target_ms": 150, "priority": 2,
        "max_attempts": 2, "public": true});
    if let Some(routes) = routes.as_array_mut() {
        routes.push(public);
    }
    fixture.declare_teams(version, &routes, teams);
}

async fn endpoint(id: &str) -> std::io::Result<EndpointEmulator> {
    let reply = Reply::Complete {
        status: 200,
        body: "done".to_owned(),
    };
    EndpointEmulator::start(id, reply, None).await
}

/// Starts a gateway of two teams before one endpoint.
async fn start(name: &str) -> anyhow::Result<(PlatformFixture, EndpointEmulator, Rc<Gateway>)> {
    let fixture = PlatformFixture::start().await?;
    let teams = json!([
        team("red", &["key-red", "key-red2"]),
        team("blue", &["key-blue"])
    ]);
    declare(&fixture, 1, &teams);
    let app = endpoint(&format!("{name}-app")).await?;
    fixture.register(&app, "app");
    let mut settings = fixture.settings(name);
    settings.revoke_max_ms = Some(REVOKE_MAX_MS);
    let gateway = chicorystaged::gateway::start(settings).await?;
    wait_until("the gateway is ready", || gateway.is_ready()).await;
    Ok((fixture, app, gateway))
}

async fn ask(gateway: &Gateway, path: &str, headers: &[(&str, &str)]) -> Result<CallerReply> {
    send_request(gateway, Method::POST, path, headers, "body")
        .await
        .or_fail()
}

#[gtest]
fn a_request_without_a_key_that_a_team_holds_is_denied_and_not_run() -> Result<()> {
    run_local(async {
        let (_fixture, endpoint, gateway) = start("denied").await.or_fail()?;
        let table: [&[(&str, &str)]; 6] = [
            &[],
            &[("authorization", "Bearer key-green")],
            &[("authorization", "Bearer")],
            &[("authorization", "Basic key-red")],
            &[("authorization", "Bearer key-red,key-blue")],
            &[
                ("authorization", "Bearer key-red"),
                ("authorization", "Bearer key-blue"),
            ],
        ];
        for headers in table {
            let reply = ask(&gateway, "/pay/x", headers).await?;
            verify_that!(reply.status, eq(StatusCode::UNAUTHORIZED))?;
        }
        let open = ask(&gateway, "/open/x", &[]).await?;
        verify_that!(open.status, eq(StatusCode::OK))?;
        verify_that!(endpoint.received_requests().len(), eq(1))
    })
}

#[gtest]
fn endpoints_are_told_the_team_by_the_gateway_alone_and_never_the_key() -> Result<()> {
    run_local(async {
        let (_fixture, endpoint, gateway) = start("told").await.or_fail()?;
        let table: [&[(&str, &str)]; 4] = [
            &[("authorization", "Bearer key-red")],
            &[("authorization", "bearer key-red2"), ("tenant", "blue")],
            &[
                ("authorization", "Bearer key-red"),
                ("tenant", "blue"),
                ("TENANT", "green"),
            ],
            &[
                ("authorization", "Bearer key-red"),
                ("connection", "tenant, authorization"),
            ],
        ];
        for headers in table {
            let reply = ask(&gateway, "/pay/x", headers).await?;
            verify_that!(reply.status, eq(StatusCode::OK))?;
        }
        let spoofed = ask(&gateway, "/open/x", &[("tenant", "blue")]).await?;
        verify_that!(spoofed.status, eq(StatusCode::OK))?;
        let received = endpoint.received_requests();
        verify_that!(received.len(), eq(5))?;
        for (i, request) in received.iter().enumerate() {
            let told: Vec<&str> = request.headers_named("tenant");
            let expected = if i < 4 { vec!["red"] } else { Vec::new() };
            verify_that!(told, eq(&expected))?;
            verify_that!(request.headers_named("authorization").len(), eq(0))?;
        }
        Ok(())
    })
}

#[gtest]
fn a_withdrawn_key_is_denied_once_the_configuration_is_read() -> Result<()> {
    run_local(async {
        let (fixture, _endpoint, gateway) = start("withdrawn").await.or_fail()?;
        let red2 = [("authorization", "Bearer key-red2")];
        let before = ask(&gateway, "/pay/x", &red2).await?;
        verify_that!(before.status, eq(StatusCode::OK))?;
        let teams = json!([team("red", &["key-red"]), team("blue", &["key-blue"])]);
        declare(&fixture, 2, &teams);
        sleep(Duration::from_millis(REVOKE_MAX_MS)).await;
        let after = ask(&gateway, "/pay/x", &red2).await?;
        verify_that!(after.status, eq(StatusCode::UNAUTHORIZED))?;
        let other = ask(&gateway, "/pay/x", &[("authorization", "Bearer key-red")]).await?;
        verify_that!(other.status, eq(StatusCode::OK))
    })
}

#[gtest]
fn keys_are_refused_while_withdrawals_cannot_be_read_and_accepted_soon_after() -> Result<()> {
    run_local(async {
        let (fixture, endpoint, gateway) = start("unread").await.or_fail()?;
        let red = [("authorization", "Bearer key-red")];
        fixture.store.set_mode(StoreMode::Busy);
        sleep(Duration::from_millis(REVOKE_MAX_MS + 100)).await;
        let refused = ask(&gateway, "/pay/x", &red).await?;
        verify_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE))?;
        verify_that!(refused.header("connection"), eq("close"))?;
        let after_s: f64 = refused.header("retry-after").parse().or_fail()?;
        verify_that!(after_s, gt(0.0))?;
        verify_that!(gateway.is_ready(), eq(false))?;
        let open = ask(&gateway, "/open/x", &[]).await?;
        verify_that!(open.status, eq(StatusCode::OK))?;
        verify_that!(endpoint.received_requests().len(), eq(1))?;
        fixture.store.set_mode(StoreMode::Serving);
        wait_until("keys are accepted again", || gateway.admits_keys()).await;
        let accepted = ask(&gateway, "/pay/x", &red).await?;
        verify_that!(accepted.status, eq(StatusCode::OK))
    })
}

// The copy is older than the withdrawal, and a gateway that starts does not learn of the store's return
// (review/10).
#[gtest]
fn a_gateway_that_starts_on_a_copy_accepts_no_key_before_the_operator_has_written_again()
-> Result<()> {
    run_local(async {
        let fixture = PlatformFixture::start().await.or_fail()?;
        declare(&fixture, 1, &json!([team("red", &["key-red", "key-red2"])]));
        let app = endpoint("copy-app").await.or_fail()?;
        fixture.register(&app, "app");
        fixture.store.restore(fixture.store.copy());
        let gateway = fixture.start_gateway("copy").await.or_fail()?;
        wait_until("the copy is in force", || gateway.configuration().is_some()).await;
        let red2 = [("authorization", "Bearer key-red2")];
        let early = ask(&gateway, "/pay/x", &red2).await?;
        verify_that!(early.status, eq(StatusCode::SERVICE_UNAVAILABLE))?;
        verify_that!(gateway.is_ready(), eq(false))?;
        let open = ask(&gateway, "/open/x", &[]).await?;
        verify_that!(open.status, eq(StatusCode::OK))?;
        declare(&fixture, 2, &json!([team("red", &["key-red"])]));
        wait_until("the gateway is ready", || gateway.is_ready()).await;
        let late = ask(&gateway, "/pay/x", &red2).await?;
        verify_that!(late.status, eq(StatusCode::UNAUTHORIZED))?;
        let red = ask(&gateway, "/pay/x", &[("authorization", "Bearer key-red")]).await?;
        verify_that!(red.status, eq(StatusCode::OK))
    })
}

// The age of the era may be read after the configuration, whose next poll would take a second.
#[gtest]
fn a_gateway_that_starts_in_an_old_era_accepts_keys_at_once() -> Result<()> {
    run_local(async {
        let fixture = PlatformFixture::start().await.or_fail()?;
        declare(&fixture, 1, &json!([team("red", &["key-red"])]));
        fixture.store.restore(fixture.store.copy());
        fixture.store.advance_clock(60_000);
        let era = json!({"era": 1, "begun_by_ms": 0}).to_string();
        let table = "chicorystage";
        fixture.store.put(table, "era", era.as_bytes());
        let gateway = fixture.start_gateway("old-era").await.or_fail()?;
        sleep(Duration::from_millis(400)).await;
        verify_that!(gateway.is_ready(), eq(true))
    })
}

#[gtest]
fn a_team_beyond_its_quota_is_refused_with_a_time_to_come_back_and_others_are_not() -> Result<()> {
    run_local(async {
        let (fixture, _endpoint, gateway) = start("quota").await.or_fail()?;
        let mut small = team("red", &["key-red"]);
        small["rate_per_s"] = json!(1);
        small["burst"] = json!(2);
        declare(&fixture, 2, &json!([small, team("blue", &["key-blue"])]));
        let version = || gateway.configuration().map_or(0, |known| known.version);
        wait_until("the quota is in force", || version() == 2).await;
        let mut refused = 0;
        for _ in 0..10 {
            let reply = ask(&gateway, "/pay/x", &[("authorization", "Bearer key-red")]).await?;
            if reply.status == StatusCode::TOO_MANY_REQUESTS {
                let after_s: f64 = reply.header("retry-after").parse().or_fail()?;
                verify_that!(after_s, gt(0.0))?;
                refused += 1;
            }
            let other = ask(&gateway, "/pay/x", &[("authorization", "Bearer key-blue")]).await?;
            verify_that!(other.status, eq(StatusCode::OK))?;
        }
        verify_that!(refused, ge(5))
    })
}

#[gtest]
fn a_configuration_with_wrong_teams_leaves_the_last_good_one_in_force() -> Result<()> {
    run_local(async {
        let (fixture, _endpoint, gateway) = start("wrong").await.or_fail()?;
        let teams = json!([team("red", &["key-red"]), team("blue", &["key-red", ""])]);
        declare(&fixture, 2, &teams);
        sleep(Duration::from_millis(REVOKE_MAX_MS)).await;
        let version = gateway.configuration().map(|known| known.version);
        verify_that!(version, some(eq(1)))?;
        let reply = ask(&gateway, "/pay/x", &[("authorization", "Bearer key-blue")]).await?;
        verify_that!(reply.status, eq(StatusCode::OK))
    })
}

#[gtest]
fn where_no_teams_are_listed_the_headers_of_callers_pass_unchanged() -> Result<()> {
    run_local(async {
        let fixture = PlatformFixture::start().await.or_fail()?;
        fixture.declare(1);
        let app = endpoint("plain-app").await.or_fail()?;
        fixture.register(&app, "app");
        let gateway = fixture.start_ready_gateway("plain").await.or_fail()?;
        let headers = [("authorization", "Basic abc"), ("tenant", "any")];
        let reply = ask(&gateway, "/pay/x", &headers).await?;
        verify_that!(reply.status, eq(StatusCode::OK))?;
        let received = app.received_requests();
        verify_that!(
            received[0].headers_named("authorization"),
            eq(&vec!["Basic abc"])
        )?;
        verify_that!(received[0].headers_named("tenant"), eq(&vec!["any"]))
    })
}
