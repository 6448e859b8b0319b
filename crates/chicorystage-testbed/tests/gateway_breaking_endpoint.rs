//! An endpoint that accepts connections and breaks each during its first request.

use std::net::SocketAddr;
use std::time::Instant;

use chicorystage_testbed::users_platform::{
    EndpointEmulator, PlatformFixture, Reply, run_local, send_request,
};
use futures_util::future::join_all;
use googletest::prelude::*;
use http::{Method, StatusCode};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Requests that are under way together; the sound endpoint has fewer slots.
const CALLERS: usize = 4;
const ROUNDS: usize = 10;
/// Time after which one request finds out whether the endpoint serves again, in milliseconds.
const PROBE_INTERVAL_MS: u128 = 800;

async fn breaking_endpoint() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let mut head = [0; 512];
                // Whatever was read, the connection is closed here.
                let _read = stream.read(&mut head).await;
            });
        }
    });
    Ok(address)
}

#[gtest]
fn requests_that_may_not_be_repeated_wait_for_a_sound_endpoint_once_the_other_breaks_connections()
-> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let reply = Reply::Complete {
            status: 200,
            body: "done".to_owned(),
        };
        let sound = EndpointEmulator::start("e1", reply, None).await.or_fail()?;
        world.declare(1);
        let mut entry = sound.registry_entry("app", "ready", 1);
        entry["slots"] = 1.into();
        let bytes = entry.to_string();
        world.store.put("servers", "e1", bytes.as_bytes());
        entry["addr"] = breaking_endpoint().await.or_fail()?.to_string().into();
        entry["slots"] = 6.into();
        let bytes = entry.to_string();
        world.store.put("servers", "e2", bytes.as_bytes());
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let start = Instant::now();
        let mut failed = 0;
        for _ in 0..ROUNDS {
            let calls =
                (0..CALLERS).map(|_| send_request(&gateway, Method::POST, "/pay/x", &[], "{}"));
            for reply in join_all(calls).await {
                failed += usize::from(reply.or_fail()?.status != StatusCode::OK);
            }
        }
        let probes = usize::try_from(start.elapsed().as_millis() / PROBE_INTERVAL_MS).or_fail()?;
        verify_that!(failed, le(CALLERS + probes))
    })
}
