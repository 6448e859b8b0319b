//! A new desired state lists a model no more that workers still hold; callers ask for another model.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::callers::{Stream, StreamRequest, stream};
use crate::cases::{Context, ONCE_ROUTE, STREAM_ROUTE, host, in_parallel, pause};
use crate::gateway::{Gateway, wait_until_ready};
use crate::store::Store;
use crate::worker::{Work, Worker};

const WORKERS: usize = 4;
const STREAMS: usize = 24;
const WORK: Work = Work::Events {
    events: 150,
    pause_ms: 100,
};
/// What each worker holds at the start: all that fits into its memory.
const HELD: &str = "m0 m1 m2";

/// Returns a desired state with the given models of 72,700 MB.
fn desired_state(version: u32, models: &[&str]) -> String {
    let models: Vec<String> = models
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","model_size":72700,"load_s":6.0,"adapters":0,"adapter_mb":12}}"#))
        .collect();
    let models = models.join(",");
    let service = format!(
        r#"{{"name":"llm","health_path":"/healthz","max_conns":230,"engine":{{"slots":32,"kv_capacity":90000,"model_size":220000,"adapter_slots":8,"loads_per_s":3.9,"models":[{models}]}}}}"#
    );
    let state = super::desired_state(&format!("{STREAM_ROUTE},{ONCE_ROUTE}"), &service);
    state.replacen(r#""version":7"#, &format!(r#""version":{version}"#), 1)
}

pub fn play(context: &Context) -> Result<bool, String> {
    let record = &context.record;
    let text = |error: std::io::Error| error.to_string();
    let store = Store::default();
    store.put("op", "config", &desired_state(7, &["m0", "m1", "m2", "m3"]));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut hosts = Vec::new();
    for number in 1..=WORKERS {
        let worker =
            Worker::start(&format!("i-{number}"), "v1", "llm", WORK, Some(HELD)).map_err(text)?;
        worker.register(&store, "ready");
        let (record, store, is_over) = (record.clone(), store.clone(), Arc::clone(&is_over));
        hosts.push(std::thread::spawn(move || {
            let restart = |start: usize| {
                let id = format!("i-{number}-{start}");
                Worker::start(&id, "v1", "llm", WORK, Some(""))
            };
            host(&record, &store, worker, &is_over, &restart)
        }));
    }
    let door = store.door().map_err(text)?;
    let mut gateways = Vec::new();
    for number in 1..=4 {
        gateways.push(Gateway::start(&context.folder, number, door.address).map_err(text)?);
    }
    if !wait_until_ready(&gateways, Duration::from_secs(10)) {
        return Err("gateways are not ready".into());
    }
    record.line(&format!(
        "4 gateways are ready; each of {WORKERS} workers holds {HELD} (218,100 of 220,000 MB)"
    ));
    pause(6_000);
    let send = |path: &'static str, prefix: &str, models: &[&str], count: usize| {
        let mut jobs: Vec<Box<dyn FnOnce() -> Stream + Send>> = Vec::new();
        for number in 0..count {
            let gateway = &gateways[number % gateways.len()];
            let tries = vec![(
                gateway.name.clone(),
                gateway.callers,
                Duration::from_millis(20 * number as u64),
            )];
            let record = record.clone();
            let request = StreamRequest {
                path: path.into(),
                model: Some(models[number % models.len()].to_owned()),
                id: format!("{prefix}{number:02x}"),
                parts: "5c1e07a2:522".into(),
                deadline: Duration::from_secs(25),
            };
            jobs.push(Box::new(move || stream(&record, &request, &tries)));
        }
        in_parallel(jobs)
    };
    record.line(&format!(
        "{STREAMS} streams that may not be repeated begin for m0 and m1"
    ));
    let long = send("/lot/1", "9c41d07be2a3", &["m0", "m1"], STREAMS);
    pause(1_500);
    if context.has_trouble {
        store.put("op", "config", &desired_state(9, &["m0", "m1", "m3"]));
        record.line("the operator writes version 9 of the desired state, which lists m2 no more (the store has accepted it)");
    }
    pause(3_000);
    record.line("4 streams are asked for m3, which no worker holds");
    let asked = send("/dossier/1", "33cd91e0b7f4", &["m3"], 4);
    let mut cut = 0;
    for thread in long {
        let stream = thread.join().map_err(|_| "a caller failed".to_owned())?;
        cut += usize::from(!stream.is_whole());
    }
    let mut served = 0;
    for thread in asked {
        let stream = thread.join().map_err(|_| "a caller failed".to_owned())?;
        served += usize::from(stream.events().next().is_some());
    }
    is_over.store(true, Ordering::SeqCst);
    let mut overloads = 0;
    for host in hosts {
        overloads += host.join().map_err(|_| "a worker failed".to_owned())?;
    }
    record.line(&format!(
        "orders to load more than a worker's memory: {overloads}; {cut} of {STREAMS} streams in progress were cut; {served} of 4 streams for m3 began"
    ));
    Ok(overloads > 0)
}
