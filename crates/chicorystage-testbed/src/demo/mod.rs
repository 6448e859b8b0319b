//! The whole system on one machine, each part a process of its own.

mod child;
mod deployment;
mod inventory;

use std::time::Instant;

use anyhow::ensure;
use bytes::Bytes;
use chicorystage_platform::http::HttpClient;
use gumdrop::Options;
use http::Method;
use http::header::AUTHORIZATION;
use serde_json::json;

use crate::demo::deployment::Deployment;
use crate::demo::inventory::CALLER_TOKEN;

/// Longest call of the demo, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 30_000;

/// Options of the demo.
#[derive(Debug, Options)]
pub struct DemoOptions {
    /// Print this help.
    help: bool,
    /// Send the demo's requests, print what came of them and stop.
    #[options(no_short)]
    once: bool,
}

/// Runs the demo.
///
/// # Errors
///
/// Fails where a process does not start or an outcome is not as it must be.
pub async fn run(options: DemoOptions) -> anyhow::Result<()> {
    let deployment = Deployment::start().await?;
    println!(
        "caller API: http://{}  token: {CALLER_TOKEN}",
        deployment.caller_api()
    );
    let client = HttpClient::new(deployment.caller_api(), CALL_TIMEOUT_MS);
    for name in ["cold moisture check", "warm moisture check"] {
        let start = Instant::now();
        let body =
            json!({ "model": "moisture", "prompt": "is lot 12 dry enough", "max_tokens": 5 });
        let mut request = client.request(
            Method::POST,
            "/v1/completions",
            Bytes::from(body.to_string()),
        );
        request
            .headers_mut()
            .insert(AUTHORIZATION, format!("Bearer {CALLER_TOKEN}").parse()?);
        let response = client.send(request).await?;
        let text = String::from_utf8_lossy(response.body()).into_owned();
        println!(
            "{name}: {} in {} ms: {text}",
            response.status(),
            start.elapsed().as_millis()
        );
        ensure!(response.status().is_success(), "{name} failed");
    }
    if !options.once {
        println!("running; press Ctrl-C to stop");
        tokio::signal::ctrl_c().await?;
    }
    deployment.stop().await
}
