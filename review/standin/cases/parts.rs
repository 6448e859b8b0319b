//! A part in the middle of a prompt crashes each worker that begins to answer it; the parts around it are
//! shared by sound requests.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::callers::{Stream, StreamRequest, stream};
use crate::cases::{Context, MODEL_SERVICE, STREAM_ROUTE, desired_state, in_parallel, pause};
use crate::gateway::{Gateway, wait_until_ready};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Work, Worker};

const WORKERS: usize = 8;
const SOUND: usize = 24;
const WORK: Work = Work::Events {
    events: 20,
    pause_ms: 50,
};
/// The part that crashes workers.
const POISON: &str = "0badc0de";
/// Time after which a crashed worker is back.
const BACK_MS: u64 = 3_000;
/// Time between two requests with the part.
const POISON_PAUSE_MS: u64 = 700;
const CONTACT_MS: u64 = 3_000;

fn start(id: &str) -> std::io::Result<Worker> {
    Worker::start_crashing(id, "v1", "llm", WORK, Some("m0"), Some(POISON))
}

pub fn play(context: &Context) -> Result<bool, String> {
    let record = &context.record;
    let text = |error: std::io::Error| error.to_string();
    let store = Store::default();
    store.put("op", "config", &desired_state(STREAM_ROUTE, MODEL_SERVICE));
    let is_over = Arc::new(AtomicBool::new(false));
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut hosts = Vec::new();
    for number in 1..=WORKERS {
        let worker = start(&format!("i-{number}-0")).map_err(text)?;
        worker.register(&store, "ready");
        let (record, store) = (record.clone(), store.clone());
        let (is_over, crashes) = (Arc::clone(&is_over), Arc::clone(&crashes));
        hosts.push(std::thread::spawn(move || {
            host(&record, &store, worker, number, &is_over, &crashes)
        }));
    }
    let mut gateways = Vec::new();
    let door = store.door().map_err(text)?;
    for number in 1..=4 {
        gateways.push(Gateway::start(&context.folder, number, door.address).map_err(text)?);
    }
    if !wait_until_ready(&gateways, Duration::from_secs(10)) {
        return Err("gateways are not ready".into());
    }
    record.line(&format!("4 gateways and {WORKERS} workers are ready"));
    pause(5_000);
    let places: Vec<_> = gateways
        .iter()
        .map(|one| (one.name.clone(), one.callers))
        .collect();
    let sound = |prefix: &str| {
        let mut jobs: Vec<Box<dyn FnOnce() -> Stream + Send>> = Vec::new();
        for number in 0..SOUND {
            let (name, address) = places[number % places.len()].clone();
            let record = record.clone();
            let request = StreamRequest {
                path: "/dossier/1".into(),
                model: Some("m0".into()),
                id: format!("{prefix}{number:02x}"),
                parts: format!("5c1e07a2:172,91bd3f0{}:200,e4402b7d:150", number % 6),
                deadline: Duration::from_secs(25),
            };
            let tries = vec![(name, address, Duration::from_millis(50 * number as u64))];
            jobs.push(Box::new(move || stream(&record, &request, &tries)));
        }
        in_parallel(jobs)
    };
    let begun = |threads: Vec<std::thread::JoinHandle<Stream>>| {
        let streams = threads.into_iter().filter_map(|thread| thread.join().ok());
        streams
            .filter(|stream| stream.events().next().is_some())
            .count()
    };
    record.line(&format!("{SOUND} sound requests"));
    let before = begun(sound("77aa0c15fe60"));
    record.line(&format!(
        "{before} of {SOUND} sound requests began; now the route is idle for 12 s"
    ));
    pause(12_000);
    let sent = Arc::new(AtomicU32::new(0));
    let mut poisoning = None;
    if context.has_trouble {
        record.line(&format!(
            "from now on a request with the part {POISON} comes each {POISON_PAUSE_MS} ms"
        ));
        let (record, places) = (record.clone(), places.clone());
        let (is_over, sent) = (Arc::clone(&is_over), Arc::clone(&sent));
        poisoning = Some(std::thread::spawn(move || {
            poison(&record, &places, &is_over, &sent)
        }));
        let until = Instant::now() + Duration::from_secs(20);
        while crashes.lock().unwrap().len() < 5 && Instant::now() < until {
            pause(10);
        }
        // From here on no crash is needed: the rule counts from the fifth, or the last.
        pause(2 * CONTACT_MS + 3_000);
    }
    record.line(&format!(
        "{} crashes; {SOUND} sound requests again",
        crashes.lock().unwrap().len()
    ));
    let after = begun(sound("33cd91e0b7f4"));
    is_over.store(true, Ordering::SeqCst);
    if let Some(poisoning) = poisoning {
        poisoning.join().map_err(|_| "a caller failed".to_owned())?;
    }
    for host in hosts {
        host.join().map_err(|_| "a worker failed".to_owned())?;
    }
    let crashes = crashes.lock().unwrap().len();
    record.line(&format!(
        "sound requests that began at the first attempt: {before} of {SOUND} before, {after} of {SOUND} after; {} requests with the part, {crashes} crashes",
        sent.load(Ordering::SeqCst)
    ));
    for gateway in &gateways {
        for line in gateway.log_lines("prompt_part_quarantined") {
            record.line(&format!("log of {}: {line}", gateway.name));
        }
    }
    if before < 20 {
        return Err("too few sound requests began".into());
    }
    Ok(2 * after < before)
}

/// Ends a worker that a request has crashed, and brings it back empty after some seconds.
fn host(
    record: &Record,
    store: &Store,
    mut worker: Worker,
    number: usize,
    is_over: &AtomicBool,
    crashes: &Mutex<Vec<Instant>>,
) {
    let mut starts = 0;
    while !is_over.load(Ordering::SeqCst) {
        pause(2);
        if !worker.has_crashed() {
            continue;
        }
        worker.end();
        crashes.lock().unwrap().push(Instant::now());
        record.line(&format!("worker {} crashes", worker.id));
        pause(BACK_MS);
        starts += 1;
        let Ok(next) = start(&format!("i-{number}-{starts}")) else {
            return;
        };
        next.register(store, "ready");
        pause(600);
        // Three check-in intervals without a word.
        store.remove("servers", &worker.id);
        worker = next;
    }
}

/// Sends requests with the part, no two alike, at any gateway.
fn poison(
    record: &Record,
    places: &[(String, std::net::SocketAddr)],
    is_over: &AtomicBool,
    sent: &AtomicU32,
) {
    let mut threads = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let number = sent.fetch_add(1, Ordering::SeqCst) as usize;
        let (name, address) = places[number % places.len()].clone();
        let request = StreamRequest {
            path: "/dossier/1".into(),
            model: Some("m0".into()),
            id: format!("d00f{number:010x}"),
            parts: format!("5c1e07a2:172,{POISON}:200,e4402b7d:150"),
            deadline: Duration::from_secs(25),
        };
        let record = record.clone();
        let tries = vec![(name, address, Duration::ZERO)];
        threads.push(std::thread::spawn(move || {
            stream(&record, &request, &tries)
        }));
        pause(POISON_PAUSE_MS);
    }
    for thread in threads {
        let _ended = thread.join();
    }
}
