//! Registry entries of other writers: no odd entry ends a gateway or stops it from following the registry.

use std::time::Duration;

use chicorystage_testbed::users_platform::{
    EndpointEmulator, EndpointEngine, PlatformFixture, Reply, run_local, send_request, wait_until,
};
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::{Value, json};

/// Largest value of a row in the users' store, in bytes.
const ROW_BYTES_MAX: usize = 65_536;
/// Time in which a gateway uses every entry that it can read, in milliseconds.
const SETTLED_MS: u64 = 1_000;

async fn endpoint(id: &str) -> Result<EndpointEmulator> {
    let reply = Reply::Complete {
        status: 200,
        body: "done".to_owned(),
    };
    EndpointEmulator::start(id, reply, None).await.or_fail()
}

/// Returns the entry of a sound endpoint with one field replaced by raw JSON.
fn entry_with(sound: &Value, field: &str, raw: &str) -> Vec<u8> {
    let mut entry = sound.clone();
    entry[field] = json!("PLACEHOLDER");
    entry
        .to_string()
        .replace("\"PLACEHOLDER\"", raw)
        .into_bytes()
}

/// Returns nested arrays that nearly fill a row.
fn nested() -> String {
    let depth = (ROW_BYTES_MAX - 4_096) / 2;
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Returns entries with what another writer may have left in them.
fn odd_entries(sound: &Value) -> Vec<Vec<u8>> {
    let fields = [
        "backend", "addr", "zone", "version", "slots", "state", "born", "models", "unknown",
    ];
    let values = [
        nested(),
        "1e999".to_owned(),
        "-1".to_owned(),
        "0.5".to_owned(),
        "123456789012345678901234567890".to_owned(),
        "18446744073709551615".to_owned(),
        "4294967295".to_owned(),
        "null".to_owned(),
        "{}".to_owned(),
        "[[]]".to_owned(),
        "\"127.0.0.1:70000\"".to_owned(),
        "\"127.0.0.1:0\"".to_owned(),
        "\"[::1]:9\"".to_owned(),
        format!("{:?}", "x".repeat(ROW_BYTES_MAX - 4_096)),
        "[{\"name\":\"m0\",\"adapters\":[[[[]]]]}]".to_owned(),
    ];
    let replaced = fields
        .iter()
        .flat_map(|field| values.iter().map(|raw| entry_with(sound, field, raw)));
    let others = [
        Vec::new(),
        b"\xff\xfe\x00".to_vec(),
        nested().into_bytes(),
        nested().replace('[', "{\"a\":").into_bytes(),
        b"{".to_vec(),
        b"null".to_vec(),
    ];
    replaced.chain(others).collect()
}

// Deeply nested values, numbers that are too large and ports out of range must neither end the process nor
// stop it from reading what follows.
#[gtest]
fn odd_entry_names_no_endpoint_and_the_others_hold() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let (sound, late) = (endpoint("sound").await?, endpoint("zlate").await?);
        let engine = EndpointEngine::new(&["m0"], 60);
        let other = EndpointEmulator::start("other", Reply::NotExecuted, Some(engine));
        let other = other.await.or_fail()?;
        world.declare(1);
        world.register(&sound, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        // Some can be read, but name no endpoint that answers; no request is for their services.
        for (service, named) in [("other", &sound), ("llm", &other)] {
            let entry = named.registry_entry(service, "ready", 1);
            for (number, odd) in odd_entries(&entry).into_iter().enumerate() {
                world
                    .store
                    .put("servers", &format!("odd-{service}-{number}"), &odd);
            }
        }
        tokio::time::sleep(Duration::from_millis(SETTLED_MS)).await;
        world.register(&late, "app");
        wait_until("an entry that comes later is known", || {
            gateway.with(|view| view.fleet.get(&"zlate".into()).is_some())
        })
        .await;
        for _ in 0..10 {
            let reply = send_request(&gateway, Method::GET, "/app/x", &[], "");
            verify_that!(reply.await.or_fail()?.status, eq(StatusCode::OK))?;
        }
        // One that starts later reads them all at once.
        let second = world.start_ready_gateway("g2").await.or_fail()?;
        let reply = send_request(&second, Method::GET, "/app/x", &[], "");
        verify_that!(reply.await.or_fail()?.status, eq(StatusCode::OK))
    })
}
