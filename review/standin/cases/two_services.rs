//! Two services have engines; callers ask one of them for a model that no worker holds.

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

/// Returns a desired state with two services, each with four models of 72,700 MB and a route.
fn desired_state() -> String {
    let service = |name: &str, letter: &str| {
        let models: Vec<String> = (0..4)
            .map(|number| format!(r#"{{"name":"{letter}{number}","model_size":72700,"load_s":6.0,"adapters":0,"adapter_mb":12}}"#))
            .collect();
        let models = models.join(",");
        format!(
            r#"{{"name":"{name}","health_path":"/healthz","max_conns":230,"engine":{{"slots":32,"kv_capacity":90000,"model_size":220000,"adapter_slots":8,"loads_per_s":3.9,"models":[{models}]}}}}"#
        )
    };
    let routes = format!(
        "{ONCE_ROUTE},{}",
        STREAM_ROUTE
            .replace("\"dossier\"", "\"summary\"")
            .replace("/dossier/", "/summary/")
            .replace("\"llm\"", "\"llm-two\"")
    );
    super::desired_state(
        &routes,
        &format!("{},{}", service("llm", "m"), service("llm-two", "n")),
    )
}

pub fn play(context: &Context) -> Result<bool, String> {
    let record = &context.record;
    let text = |error: std::io::Error| error.to_string();
    let store = Store::default();
    store.put("op", "config", &desired_state());
    let is_over = Arc::new(AtomicBool::new(false));
    let mut hosts = Vec::new();
    for number in 1..=2 * WORKERS {
        let (service, held) = if number <= WORKERS {
            ("llm", "m0 m1 m2")
        } else {
            ("llm-two", "n0 n1 n2")
        };
        let worker = Worker::start(
            &format!("i-{service}-{number}"),
            "v1",
            service,
            WORK,
            Some(held),
        )
        .map_err(text)?;
        worker.register(&store, "ready");
        let (record, store, is_over) = (record.clone(), store.clone(), Arc::clone(&is_over));
        hosts.push(std::thread::spawn(move || {
            let restart = |start: usize| {
                let id = format!("i-{service}-{number}-{start}");
                Worker::start(&id, "v1", service, WORK, Some(""))
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
    record.line(&format!("4 gateways are ready; each of {WORKERS} workers of llm holds m0 m1 m2 and of llm-two n0 n1 n2 (218,100 of 220,000 MB)"));
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
        "{STREAMS} streams of llm that may not be repeated begin for m0 and m1"
    ));
    let long = send("/lot/1", "9c41d07be2a3", &["m0", "m1"], STREAMS);
    pause(1_500);
    pause(3_000);
    let model = if context.has_trouble {
        record.line("4 streams of llm-two are asked for n3, which no worker holds");
        "n3"
    } else {
        record.line("4 streams of llm-two are asked for n0, which its workers hold");
        "n0"
    };
    let asked = send("/summary/1", "33cd91e0b7f4", &[model], 4);
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
        "orders to load more than a worker's memory: {overloads}; {cut} of {STREAMS} streams of llm in progress were cut; {served} of 4 streams of llm-two began"
    ));
    Ok(overloads > 0)
}
