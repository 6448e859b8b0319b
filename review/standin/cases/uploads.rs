//! Many callers send the longest bodies that the desired state allows at once; the platform kills a
//! process that exceeds its memory and starts it again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::cases::{Context, desired_state, pause};
use crate::gateway::{Gateway, wait_until_ready};
use crate::http::send_slowly;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Work, Worker};

/// `max_body_bytes` of the desired state.
const BODY_BYTES: usize = 4 << 20;
/// Bytes that a caller's link brings in a second (8 Mbit/s); 24 of them fill 192 of the 1,000 Mbit/s of a
/// machine's link.
const LINK_BYTES_PER_S: f64 = 1_000_000.0;
/// `memory_mb` of a machine.
const MEMORY_MB: u64 = 260;
const BURSTS: usize = 3;
/// Callers in a burst at each machine: 2.4 times the usual ones, as the largest burst of the site file.
const CALLERS: usize = 24;
/// Callers at once without a burst.
const CALLERS_USUAL: usize = 10;
const SERVICE: &str = r#"{"name":"ledger","health_path":"/healthz","max_conns":230}"#;
const ROUTE: &str = r#"{"name":"scan","host":"shop.example","prefix":"/scan/","kind":"unsafe","backend":"ledger","timeout_ms":20000,"latency_target_ms":5000,"priority":2,"max_attempts":1}"#;

pub fn play(context: &Context) -> Result<bool, String> {
    let record = &context.record;
    let text = |error: std::io::Error| error.to_string();
    let store = Store::default();
    store.put("op", "config", &desired_state(ROUTE, SERVICE));
    let mut workers = Vec::new();
    for number in 1..=3 {
        let id = format!("i-ledger-{number}");
        let worker = Worker::start(&id, "v1", "ledger", Work::BytesByPath, None).map_err(text)?;
        worker.register(&store, "ready");
        workers.push(worker);
    }
    let door = store.door().map_err(text)?;
    let mut gateways = Vec::new();
    for number in 1..=2 {
        gateways.push(Gateway::start(&context.folder, number, door.address).map_err(text)?);
    }
    if !wait_until_ready(&gateways, Duration::from_secs(10)) {
        return Err("gateways are not ready".into());
    }
    record.line("2 gateways and 3 workers are ready");
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let ends: Vec<_> = gateways
        .into_iter()
        .map(|gateway| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            std::thread::spawn(move || watch(&record, gateway, &is_over))
        })
        .collect();
    let answers: Arc<Mutex<Vec<String>>> = Arc::default();
    for burst in 0..BURSTS {
        let at_once = if context.has_trouble {
            CALLERS
        } else {
            CALLERS_USUAL
        };
        record.line(&format!(
            "{at_once} callers at each gateway send {BODY_BYTES} bytes each, 1 MB/s each"
        ));
        let mut threads = Vec::new();
        for number in 0..at_once * addresses.len() {
            let address = addresses[number % addresses.len()];
            let attempt = format!("3d5b{burst:02x}00000000{number:02x}");
            let answers = Arc::clone(&answers);
            threads.push(std::thread::spawn(move || {
                let answer = upload(address, &attempt);
                answers.lock().unwrap().push(answer);
            }));
        }
        for thread in threads {
            thread.join().map_err(|_| "a caller failed".to_owned())?;
        }
        pause(4_000);
    }
    is_over.store(true, Ordering::SeqCst);
    let mut killed = Vec::new();
    for end in ends {
        killed.push(end.join().map_err(|_| "the platform failed".to_owned())?);
    }
    let mut counts = std::collections::BTreeMap::new();
    for answer in answers.lock().unwrap().iter() {
        *counts.entry(answer.clone()).or_insert(0) += 1;
    }
    record.line(&format!("what the callers got: {counts:?}"));
    let runs: u32 = workers
        .iter()
        .flat_map(|worker| worker.runs().into_values())
        .sum();
    record.line(&format!("requests that workers ran: {runs}"));
    record.line(&format!("ends of a process over {MEMORY_MB} MB, by machine: {killed:?} (the rule: three on two machines)"));
    Ok(killed.iter().filter(|ends| **ends >= 3).count() >= 2)
}

/// Kills the process when it holds more than a machine's memory, and starts it again after a second.
fn watch(record: &Record, mut gateway: Gateway, is_over: &AtomicBool) -> u32 {
    let mut ends = 0;
    let mut most = 0;
    while !is_over.load(Ordering::SeqCst) {
        pause(10);
        let memory_mb = gateway.memory_mb();
        most = most.max(memory_mb);
        if memory_mb <= MEMORY_MB {
            continue;
        }
        gateway.kill();
        ends += 1;
        record.line(&format!(
            "{} holds {memory_mb} MB, over memory_mb {MEMORY_MB}: killed",
            gateway.name
        ));
        pause(1_000);
        if let Err(error) = gateway.run() {
            record.line(&format!(
                "{} cannot be started again: {error}",
                gateway.name
            ));
        }
    }
    record.line(&format!("{}: at most {most} MB", gateway.name));
    ends
}

fn upload(address: SocketAddr, attempt: &str) -> String {
    let headers = [
        ("Host", "shop.example".to_owned()),
        ("Attempt-Id", attempt.to_owned()),
        ("Deadline-Ms", "20000".to_owned()),
    ];
    let began = Instant::now();
    let sent = send_slowly(address, "/scan/800", &headers, BODY_BYTES, LINK_BYTES_PER_S);
    match sent {
        Ok(answer) => format!("status {}", answer.status),
        Err(error) if began.elapsed() < Duration::from_millis(100) => {
            format!("no channel: {:?}", error.kind())
        }
        Err(error) => format!("channel broke without an answer: {:?}", error.kind()),
    }
}
