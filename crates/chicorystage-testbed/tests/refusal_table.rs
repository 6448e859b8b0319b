//! Each malformed or inadmissible HTTP request is refused with the status and code of its cause.

mod serving_world;

use std::time::Duration;

use bytes::Bytes;
use chicorystage_api::inventory::CallerItem;
use chicorystage_api::name::VmId;
use chicorystage_api::work::AttemptRequest;
use chicorystage_borders::http::{HttpServer, RunningServer};
use googletest::prelude::*;
use http::{Method, Request, Response};
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serving_world::{AgentAction, TOKEN, World, caller, start_world_with};
use tokio::net::TcpStream;
use tokio::time::sleep;

const COMPLETION: &str = r#"{"model":"moisture","prompt":"is lot 12 dry"}"#;
const BODY_BYTES_MAX: u64 = 1_000;

/// A request and the status and code of the refusal that it must get.
struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    status: u16,
    code: &'static str,
}

impl Case {
    fn new(name: &'static str, status: u16, code: &'static str) -> Self {
        Self {
            name,
            method: Method::POST,
            path: "/v1/completions",
            headers: vec![("authorization", format!("Bearer {TOKEN}"))],
            body: COMPLETION.to_owned(),
            status,
            code,
        }
    }

    fn to(mut self, method: Method, path: &'static str) -> Self {
        self.method = method;
        self.path = path;
        self
    }

    fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(present, _)| *present != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    fn without_headers(mut self) -> Self {
        self.headers.clear();
        self
    }

    fn body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self
    }
}

fn malformed_cases() -> Vec<Case> {
    let get = || Method::GET;
    vec![
        Case::new("unknown path", 404, "unknown_path").to(Method::POST, "/v1/other"),
        Case::new("no application", 404, "unknown_path").to(get(), "/v1/services/"),
        Case::new("bad method", 405, "bad_method").to(get(), "/v1/completions"),
        Case::new("no token", 401, "unauthenticated").without_headers(),
        Case::new("bad token", 401, "unauthenticated").header("authorization", "Bearer wrong"),
        Case::new("other scheme", 401, "unauthenticated").header("authorization", "Basic YTpi"),
        Case::new("bad header text", 400, "bad_request").header("x-request-class", "\u{e9}"),
        Case::new("timeout of words", 400, "bad_timeout").header("x-request-timeout-ms", "soon"),
        Case::new("timeout of 0", 400, "bad_timeout").header("x-request-timeout-ms", "0"),
        Case::new("timeout too long", 400, "bad_timeout").header("x-request-timeout-ms", "600001"),
        Case::new("unknown class", 400, "bad_class").header("x-request-class", "urgent"),
        Case::new("bad key", 400, "bad_idempotency_key").header("idempotency-key", "a b"),
        Case::new("long key", 400, "bad_idempotency_key")
            .header("idempotency-key", &"k".repeat(256)),
        Case::new("large head", 431, "header_too_large").header("x-any", &"h".repeat(17 << 10)),
        Case::new("not JSON", 400, "bad_json").body("{"),
        Case::new("not a completion", 400, "bad_json").body(r#"{"model":"moisture"}"#),
        Case::new("not a chat", 400, "bad_json").to(Method::POST, "/v1/chat/completions"),
        Case::new("bad model name", 404, "unknown_model").body(r#"{"model":"a:","prompt":""}"#),
        Case::new("large body", 413, "body_too_large").body(&"b".repeat(1_001)),
    ]
}

fn inadmissible_cases() -> Vec<Case> {
    let get = || Method::GET;
    vec![
        Case::new("unknown model", 404, "unknown_model").body(r#"{"model":"other","prompt":""}"#),
        Case::new("unknown version", 404, "unknown_model")
            .body(r#"{"model":"moisture@v9","prompt":""}"#),
        Case::new("unknown adapter", 404, "unknown_model")
            .body(r#"{"model":"moisture:dry","prompt":""}"#),
        Case::new("unknown application", 404, "unknown_application")
            .to(get(), "/v1/services/other/balances/1"),
        Case::new("no key", 400, "idempotency_key_required")
            .to(Method::POST, "/v1/services/libro/payouts"),
    ]
}

async fn start_server(caller: CallerItem) -> (World, std::net::SocketAddr, RunningServer) {
    let script = |_: &AttemptRequest, _: &VmId| AgentAction::answer(&["fine"]);
    let world = start_world_with(1, caller, script).await;
    let server = HttpServer::bind("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let address = server.address();
    let running = server.start(std::sync::Arc::clone(&world.parts.caller_api));
    (world, address, running)
}

async fn send_request<B>(address: std::net::SocketAddr, request: Request<B>) -> Response<Incoming>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(async move { connection.await.ok() });
    sender.send_request(request).await.unwrap()
}

fn http_request(case: &Case) -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from(case.body.clone()));
    let builder = Request::builder().method(&case.method).uri(case.path);
    let mut request = builder.header("host", "localhost").body(body).unwrap();
    for (name, value) in &case.headers {
        let value = http::HeaderValue::from_bytes(value.as_bytes()).unwrap();
        request.headers_mut().insert(*name, value);
    }
    request
}

async fn expect_refusals(address: std::net::SocketAddr, cases: Vec<Case>) {
    for case in cases {
        let response = send_request(address, http_request(&case)).await;
        expect_that!(response.status().as_u16(), eq(case.status), "{}", case.name);
        let content_type = response.headers()["content-type"].clone();
        expect_that!(
            content_type,
            eq("application/problem+json"),
            "{}",
            case.name
        );
        expect_that!(response.headers().get("x-request-id"), some(anything()));
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let problem: Value = serde_json::from_slice(&body).unwrap();
        expect_that!(
            problem["code"],
            eq(&Value::from(case.code)),
            "{}",
            case.name
        );
        expect_that!(
            problem["outcome"],
            eq(&Value::from("not_run")),
            "{}",
            case.name
        );
    }
}

/// Serves the router's health API on a new address and returns its metrics page.
async fn read_metrics(world: &World) -> String {
    let server = HttpServer::bind("127.0.0.1:0".parse().unwrap()).await;
    let server = server.unwrap();
    let address = server.address();
    let _running = server.start(std::sync::Arc::clone(&world.parts.health_api));
    let request = Request::builder()
        .uri("/metrics")
        .header("host", "localhost");
    let request = request.body(Full::new(Bytes::new())).unwrap();
    let body = send_request(address, request).await.into_body();
    let body = body.collect().await.unwrap().to_bytes();
    String::from_utf8(body.to_vec()).unwrap()
}

#[gtest]
#[tokio::test]
async fn each_malformed_request_gets_its_code() {
    let limited = CallerItem {
        body_bytes_max: BODY_BYTES_MAX,
        ..caller()
    };
    let (world, address, _running) = start_server(limited).await;
    expect_refusals(address, malformed_cases()).await;
    expect_refusals(address, inadmissible_cases()).await;
    expect_that!(world.agents.started_attempts(), is_empty());
    let metrics = read_metrics(&world).await;
    let expected_line = "chicorystage_refusals_total{code=\"bad_json\",outcome=\"not_run\"} 3";
    expect_that!(metrics, contains_substring(expected_line));
    let status = world.parts.handle.status().await.unwrap();
    expect_that!(status.in_progress, eq(0));
}

#[gtest]
#[tokio::test]
async fn caller_without_permission_is_refused() {
    let restricted = CallerItem {
        models: vec!["other".into()],
        applications: vec!["other".into()],
        class: chicorystage_api::inventory::Class::Batch,
        ..caller()
    };
    let (world, address, _running) = start_server(restricted).await;
    let balance = "/v1/services/libro/balances/1";
    let cases = vec![
        Case::new("model", 403, "forbidden"),
        Case::new("application", 403, "forbidden").to(Method::GET, balance),
    ];
    expect_refusals(address, cases).await;
    expect_that!(world.agents.started_attempts(), is_empty());
}

#[gtest]
#[tokio::test]
async fn class_above_the_caller_limit_is_refused() {
    let batch = CallerItem {
        class: chicorystage_api::inventory::Class::Batch,
        ..caller()
    };
    let (_world, address, _running) = start_server(batch).await;
    let case = Case::new("class", 400, "bad_class").header("x-request-class", "interactive");
    expect_refusals(address, vec![case]).await;
}

#[gtest]
#[tokio::test]
async fn rate_above_the_caller_limit_is_refused_with_retry_after() {
    let rate_limited = CallerItem {
        rate_per_s: 1,
        burst: 1,
        ..caller()
    };
    let (_world, address, _running) = start_server(rate_limited).await;
    let case = Case::new("rate", 429, "rate_limited");
    let first = send_request(address, http_request(&case)).await;
    expect_that!(first.status().as_u16(), eq(200));
    let second = send_request(address, http_request(&case)).await;
    expect_that!(second.headers().get("retry-after"), some(eq("1")));
    expect_that!(second.status().as_u16(), eq(429));
}

#[gtest]
#[tokio::test]
async fn endless_body_is_refused_while_it_is_read() {
    let limited = CallerItem {
        body_bytes_max: BODY_BYTES_MAX,
        ..caller()
    };
    let (_world, address, _running) = start_server(limited).await;
    let (mut sender, body) = Channel::<Bytes, std::convert::Infallible>::new(1);
    let writing = tokio::spawn(async move {
        while sender
            .send_data(Bytes::from_static(&[b' '; 100]))
            .await
            .is_ok()
        {
            sleep(Duration::from_millis(1)).await;
        }
    });
    let endless = Request::builder()
        .method(Method::POST)
        .uri("/v1/completions")
        .header("host", "localhost")
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(body)
        .unwrap();
    let response = send_request(address, endless).await;
    expect_that!(response.status().as_u16(), eq(413));
    writing.abort();
}
