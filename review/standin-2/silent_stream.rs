//! Case 9: rule LOST, a stream that pauses at its worker while its machine is stopped.

use std::path::Path;
use std::sync::{Arc, Mutex};

use crate::callers::{count, events, new_attempt, record_ends, send_new, StreamRequest};
use crate::gateway::{Bounds, Gateway};
use crate::store::Store;
use crate::util::{now_ms, random, sleep_ms, Channel};
use crate::worker::{Kind, Worker};

/// Number of streams at the machine that is stopped.
const STREAMS: usize = 4;
/// Number of events of such a stream.
const EVENTS: u64 = 40;
/// Number of requests that keep the other worker full.
const FILLERS: usize = 8;
const TIME_LIMIT_MS: u64 = 25_000;
/// When the paused streams go on, after the SIGTERM, in milliseconds.
const PAUSE_MS: u64 = 2_500;

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-dossier","host":"h.example","prefix":"/dossier/","kind":"stream","timeout_ms":25000,
  "latency_target_ms":3000,"priority":1,"backend":"llm","max_attempts":2,"sticky":true,
  "resumable":true,"gap_aim_ms":150}],
 "services":[{"name":"llm","health_path":"/healthz","max_conns":230,"engine":{"slots":4,
  "kv_capacity":96203,"model_size":220000,"adapter_slots":8,"loads_per_s":3.9,
  "models":[{"name":"m0","model_size":72700,"load_s":6,"warm_s":0.4,"disk_s":1.2,
  "adapters":0,"adapter_mb":66}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
  "idle_timeout_ms":15000}}"#;

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
    let kind = |zone: &str| Kind {
        service: "llm".into(),
        zone: zone.into(),
        software: "v1".into(),
        slots: 4,
        queue: 4,
        adapter_slots: 8,
        checks_fence: true,
        models: vec!["m0".into()],
        model_places: 2,
        load_ms: 6_000,
        disk_ms: 1_200,
        event_ms: 50,
    };
    let near = Worker::start("i-near", kind("z1"), &store);
    let far = Worker::start("i-far", kind("z2"), &store);
    let bounds = Bounds { checks_fence: true, retry_slack: 54, cpu_share: 0.19, revoke_ms: None };
    let ip = format!("127.93.{}.1", 10 + random(200));
    let mut gateway = Gateway::new(folder, "front-1", "z1", &ip, store.address, &bounds);
    gateway.start();
    gateway.wait_ready();
    sleep_ms(3_000);

    let ends = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for caller in 0..STREAMS {
        let (front, ends) = (gateway.front, Arc::clone(&ends));
        callers.push(std::thread::spawn(move || {
            let request = StreamRequest {
                path: "/dossier/2f".into(),
                model: "m0".into(),
                events: EVENTS,
                time_limit_ms: TIME_LIMIT_MS,
                last_event_id: None,
                resumes: None,
 key: None,
            };
            let attempt = new_attempt();
            let mut known = 0;
            let reply = send_new(front, &request, &attempt, |body| known = events(body).len());
            count("to front-1", &attempt, &reply);
            note!("requester {caller}: {attempt} ended, status {}, {known} events, whole: {}", reply.status, reply.is_whole);
            ends.lock().unwrap().push(reply.status == 200 && reply.is_whole && known as u64 == EVENTS);
        }));
    }
    sleep_ms(300);
    // Others use the worker of the other zone; anyone may call a worker.
    let mut fillers = Vec::new();
    for _ in 0..FILLERS {
        let address = far.address;
        fillers.push(std::thread::spawn(move || {
            let Ok(mut channel) = Channel::open(address) else { return };
            let attempt = new_attempt();
            let headers = [
                ("Host", "h.example".to_owned()),
                ("Attempt-Id", attempt.clone()),
                ("Model", "m0".to_owned()),
                ("Token-Counts", "291,140".to_owned()),
                ("Deadline-Ms", "25000".to_owned()),
            ];
            let reply = channel.exchange("POST", "/own/", &headers, b"{}", |_| {});
            count("to the worker i-far", &attempt, &reply);
        }));
    }
    sleep_ms(200);
    if has_trouble {
        // More urgent work takes the memory: the worker preempts these streams, and goes on later.
        near.preempt(5, now_ms() + PAUSE_MS);
        note!("i-near pauses its streams for {PAUSE_MS} ms");
        gateway.terminate();
    }
    for caller in callers {
        let _ = caller.join();
    }
    if has_trouble {
        gateway.wait_end(8_000);
    } else {
        gateway.kill();
    }
    for (worker, run) in [&near, &far].iter().flat_map(|w| w.runs().into_iter().map(|r| (w.id.clone(), r))) {
        note!("{worker} ran {} from {} ms, after event {}, ended {:?}", run.attempt, run.at_ms, run.after_event, run.ended);
    }
    drop(fillers);
    record_ends();
    let ends = ends.lock().unwrap();
    let lost = ends.iter().filter(|is_whole| !**is_whole).count();
    note!("{lost} of {} streams were passed on to a worker and ended without a whole answer", ends.len());
    if near.runs().is_empty() {
        return 2;
    }
    i32::from(lost > 0)
}
