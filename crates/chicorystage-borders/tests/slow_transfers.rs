//! Responses that take longer to transfer than a call may take.

use std::net::SocketAddr;
use std::time::Duration;

use chicorystage_borders::http::{HttpObjectStore, HttpTable};
use chicorystage_borders::object_store::ObjectStore;
use chicorystage_borders::table::Table;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time limit of the clients' calls, in milliseconds.
const CALL_MS: u64 = 200;
/// Interval between two parts of a body, in milliseconds; four of them are longer than a call.
const PART_INTERVAL_MS: u64 = 100;
const PARTS: usize = 4;
/// Interval between the parts of a body during which the reader is paused, in milliseconds.
const PAUSED_PART_INTERVAL_MS: u64 = 400;
/// Pause of the reader, longer than a transfer may be without progress, in milliseconds.
const PAUSE_MS: u64 = 1_300;

/// Serves one connection with a body that arrives in `PARTS` parts.
async fn slow_server(body: String, interval_ms: u64) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let (mut stream, _peer) = listener.accept().await?;
        let mut request = [0; 1_024];
        let _read = stream.read(&mut request).await?;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await?;
        for part in body.as_bytes().chunks(body.len().div_ceil(PARTS)) {
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            stream.write_all(part).await?;
        }
        std::io::Result::Ok(())
    });
    Ok(address)
}

#[gtest]
#[tokio::test]
async fn object_that_takes_longer_to_transfer_than_a_call_may_take_is_read_whole() -> Result<()> {
    let content = "x".repeat(4_096);
    let address = slow_server(content.clone(), PART_INTERVAL_MS)
        .await
        .or_fail()?;
    let store = HttpObjectStore::new(address, CALL_MS);
    let read = store.get("snapshot").await.or_fail()?;
    verify_that!(read, some(eq(content.as_bytes())))
}

#[gtest]
#[tokio::test]
async fn page_of_rows_that_takes_longer_to_transfer_than_a_call_may_take_is_read_whole()
-> Result<()> {
    let padding = " ".repeat(4_096);
    let page = format!(r#"{{"table_version": 1, "rows": [], {padding} "next_after": null}}"#);
    let address = slow_server(page, PART_INTERVAL_MS).await.or_fail()?;
    let table = HttpTable::new(address, CALL_MS);
    let read = table.scan("a/", None, 10).await;
    verify_that!(read.is_ok(), eq(true))
}

// The timer of the limit fires before the bytes that arrived during the pause are read.
#[gtest]
#[tokio::test]
async fn process_that_was_paused_for_longer_than_the_limit_reads_on() -> Result<()> {
    let content = "x".repeat(4_096);
    let address = on_other_thread(slow_server(content.clone(), PAUSED_PART_INTERVAL_MS))?;
    let store = HttpObjectStore::new(address, CALL_MS);
    let pause = tokio::spawn(async {
        tokio::time::sleep(Duration::from_millis(PAUSED_PART_INTERVAL_MS / 2)).await;
        std::thread::sleep(Duration::from_millis(PAUSE_MS));
    });
    let read = store.get("snapshot").await.or_fail()?;
    pause.await.or_fail()?;
    verify_that!(read, some(eq(content.as_bytes())))
}

/// Runs a server on a thread that goes on while this one is paused.
fn on_other_thread(
    server: impl Future<Output = std::io::Result<SocketAddr>> + Send + 'static,
) -> Result<SocketAddr> {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(async move {
            let address = server.await?;
            // The test has ended if nobody receives.
            let _sent = sender.send(address);
            tokio::time::sleep(Duration::from_millis(3 * PAUSE_MS)).await;
            std::io::Result::Ok(())
        })
    });
    receiver.recv().or_fail()
}
