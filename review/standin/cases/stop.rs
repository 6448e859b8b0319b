//! Machines get SIGTERM in turn while callers on slow links receive long answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::cases::{Context, desired_state};
use crate::gateway::{Gateway, wait_until_ready};
use crate::http::{Part, send};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Work, Worker};

const GATEWAYS: u8 = 4;
/// How often all machines are stopped in turn, and the time between, in milliseconds.
const ROUNDS: usize = 6;
const ROUND_MS: u64 = 10_000;
/// Time between two stops of a round, in milliseconds.
const GAP_MS: u64 = 1_000;
/// Length of the shortest answer, in bytes.
const ANSWER_BYTES: usize = 560_000;
/// By how much the next answer is longer, in bytes. Where the end of an answer falls in the buffers
/// depends on its length.
const STEP_BYTES: usize = 6_000;
/// Bytes that a caller's link brings in a second (0.8 Mbit/s).
const LINK_BYTES_PER_S: f64 = 100_000.0;
const SERVICE: &str = r#"{"name":"ledger","health_path":"/healthz","max_conns":100}"#;
const ROUTE: &str = r#"{"name":"export","host":"shop.example","prefix":"/export/","kind":"unsafe","backend":"ledger","timeout_ms":20000,"latency_target_ms":2000,"priority":2,"max_attempts":1}"#;

pub fn play(context: &Context) -> Result<bool, String> {
    let record = &context.record;
    let text = |error: std::io::Error| error.to_string();
    let store = Store::default();
    store.put("op", "config", &desired_state(ROUTE, SERVICE));
    let work = Work::BytesByPath;
    let worker = Worker::start("i-ledger-1", "v1", "ledger", work, None).map_err(text)?;
    worker.register(&store, "ready");
    let door = store.door().map_err(text)?;
    let mut gateways = Vec::new();
    for number in 1..=GATEWAYS {
        gateways.push(Gateway::start(&context.folder, number, door.address).map_err(text)?);
    }
    if !wait_until_ready(&gateways, Duration::from_secs(10)) {
        return Err("the gateways are not ready".into());
    }
    std::thread::sleep(Duration::from_millis(3_500));
    let number_of_answers = ROUNDS * gateways.len();
    let machines: Vec<_> = gateways
        .into_iter()
        .enumerate()
        .map(|(number, gateway)| {
            let (record, has_trouble) = (record.clone(), context.has_trouble);
            std::thread::spawn(move || machine(&record, gateway, number, has_trouble))
        })
        .collect();
    let mut lost = 0;
    let mut logs = Vec::new();
    for machine in machines {
        let (lost_here, log) = machine
            .join()
            .map_err(|_| "a machine failed".to_owned())??;
        lost += lost_here;
        logs.extend(log);
    }
    for (attempt, runs) in worker.runs() {
        record.line(&format!("worker: request {attempt} ran {runs} time(s)"));
    }
    for line in logs {
        record.line(&line);
    }
    record.line(&format!(
        "{lost} of {number_of_answers} answers ended before they were whole"
    ));
    Ok(lost > 0)
}

/// Plays the rounds of one machine; returns how many answers were lost, and its log of the stops.
fn machine(
    record: &Record,
    mut gateway: Gateway,
    number: usize,
    has_trouble: bool,
) -> Result<(usize, Vec<String>), String> {
    let began = Instant::now();
    let mut lost = 0;
    for round in 0..ROUNDS {
        let due = Duration::from_millis(round as u64 * ROUND_MS + number as u64 * GAP_MS);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        if !wait_until_ready(std::slice::from_ref(&gateway), Duration::from_secs(5)) {
            return Err(format!("{} is not ready", gateway.name));
        }
        let (caller_record, address, name) =
            (record.clone(), gateway.callers, gateway.name.clone());
        let request = round * usize::from(GATEWAYS) + number;
        let caller = std::thread::spawn(move || receive(&caller_record, &name, address, request));
        std::thread::sleep(Duration::from_millis(500));
        if has_trouble {
            gateway.term();
            record.line(&format!(
                "SIGTERM to {}, 0.5 s after request {request}; grace_s is 8",
                gateway.name
            ));
            let sent = Instant::now();
            let has_ended = gateway.wait_for_end(Duration::from_secs(8));
            let after = sent.elapsed().as_secs_f64();
            record.line(&format!("{} has ended by itself: {has_ended}, {after:.3} s after SIGTERM; it is started again", gateway.name));
            gateway.run().map_err(|error| error.to_string())?;
        }
        let (is_whole, has_begun) = caller.join().map_err(|_| "a caller failed".to_owned())?;
        if !has_begun {
            return Err("a request was not answered at all".into());
        }
        lost += usize::from(!is_whole);
    }
    let log = gateway.log_lines("gateway_stop");
    let log = log
        .iter()
        .map(|line| format!("log of {}: {line}", gateway.name));
    Ok((lost, log.collect()))
}

/// Sends a request and receives its answer over a slow link; returns whether it came whole, and whether
/// it began.
fn receive(record: &Record, gateway: &str, address: SocketAddr, number: usize) -> (bool, bool) {
    let attempt = format!("51f0c2aa7d30{number:02x}");
    let answer_bytes = ANSWER_BYTES + number * STEP_BYTES;
    let headers = [
        ("Host", "shop.example".to_owned()),
        ("Attempt-Id", attempt.clone()),
        ("Deadline-Ms", "20000".to_owned()),
    ];
    let path = format!("/export/{answer_bytes}");
    let began = Instant::now();
    let limit = Duration::from_secs(20);
    let sent = send(
        address,
        "POST",
        &path,
        &headers,
        format!("export {number}").as_bytes(),
        limit,
        Some(4 << 10),
    );
    let mut answer = match sent {
        Ok(answer) => answer,
        Err(error) => {
            record.line(&format!(
                "request {attempt} at {gateway}: no answer: {error}"
            ));
            return (false, false);
        }
    };
    let (status, stamp) = (answer.status, answer.header("response-stamp").to_owned());
    let mut received = 0;
    let end = loop {
        match answer.next() {
            Part::Data(data) => received += data.len(),
            Part::End => break "whole".to_owned(),
            Part::Broken(why) => break format!("NOT WHOLE: {why}"),
        }
        let due = Duration::from_secs_f64(received as f64 / LINK_BYTES_PER_S);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
    };
    record.line(&format!(
        "request {attempt} at {gateway}: status {status}, stamp {stamp}, {received} of {answer_bytes} bytes after {:.3} s, {end}",
        began.elapsed().as_secs_f64()
    ));
    (end == "whole" && received == answer_bytes, status == 200)
}
