//! Case 7: rule ORDER, the drill of the store at the moment when all processes are killed.

use std::path::Path;
use std::sync::{Arc, Mutex};

use crate::callers::{events, new_attempt, send_new, StreamRequest};
use crate::gateway::{Bounds, Gateway};
use crate::store::Store;
use crate::util::{find_header, now_ms, random, sleep_ms};
use crate::worker::{Kind, Worker};

/// Number of requesters.
const CALLERS: usize = 30;
/// Number of events of a stream.
const EVENTS: u64 = 60;
/// Time limit of a request, in milliseconds.
const TIME_LIMIT_MS: u64 = 25_000;
/// Most tries of a request, the first included.
const TRIES_MAX: u32 = 4;
/// How long the store is away, and how old its copy is at least, in milliseconds.
const AWAY_MS: u64 = 600;
const COPY_AGE_MS: u64 = 4_300;
/// Time from the kill of the processes to their start, in milliseconds.
const DOWN_MS: u64 = 700;

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-dossier","host":"h.example","prefix":"/dossier/","kind":"stream","timeout_ms":25000,
  "latency_target_ms":3000,"priority":1,"backend":"llm","max_attempts":2,"sticky":true,
  "resumable":true,"gap_aim_ms":150}],
 "services":[{"name":"llm","health_path":"/healthz","max_conns":230,"engine":{"slots":32,
  "kv_capacity":96203,"model_size":220000,"adapter_slots":8,"loads_per_s":3.9,
  "models":[{"name":"m0","model_size":72700,"load_s":6,"warm_s":0.4,"disk_s":1.2,
  "adapters":0,"adapter_mb":66}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
  "idle_timeout_ms":15000}}"#;

/// One request over all of its tries.
#[derive(Clone, Default)]
struct Story {
    /// Identity and software version of each event that came, in order, with its try.
    events: Vec<(u64, String, u32)>,
    tries: Vec<String>,
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
    let kind = |software: &str| Kind {
        service: "llm".into(),
        zone: "z1".into(),
        software: software.into(),
        slots: 32,
        queue: 96,
        adapter_slots: 8,
        checks_fence: true,
        models: vec!["m0".into()],
        model_places: 2,
        load_ms: 6_000,
        disk_ms: 1_200,
        event_ms: 120,
    };
    let old = [Worker::start("i-old-1", kind("v1"), &store), Worker::start("i-old-2", kind("v1"), &store)];
    let bounds = Bounds { checks_fence: true, retry_slack: 54, cpu_share: 0.19, revoke_ms: None };
    let net = 10 + random(200);
    let gateway = |i: u64| {
        let (ip, zone) = (format!("127.92.{net}.{i}"), format!("z{i}"));
        Gateway::new(folder, &format!("front-{i}"), &zone, &ip, store.address, &bounds)
    };
    let mut gateways = [gateway(1), gateway(2), gateway(3)];
    for gateway in &mut gateways {
        gateway.start();
    }
    for gateway in &gateways {
        gateway.wait_ready();
    }
    // The old copies of the store shall be of a time when all this was so.
    sleep_ms(6_000);
    let new = [Worker::start("i-new-1", kind("v2"), &store)];
    note!("a worker of software v2 has come beside two of v1");
    sleep_ms(1_500);

    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let stories = Arc::new(Mutex::new(vec![Story::default(); CALLERS]));
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (fronts, stories) = (fronts.clone(), Arc::clone(&stories));
        callers.push(std::thread::spawn(move || {
            sleep_ms(random(400));
            let until = now_ms() + TIME_LIMIT_MS;
            let mut first_attempt: Option<String> = None;
            for number in 1..=TRIES_MAX {
                let left_ms = until.saturating_sub(now_ms());
                if left_ms == 0 {
                    return;
                }
                let last = stories.lock().unwrap()[caller].events.last().map(|event| event.0);
                let attempt = new_attempt();
                let request = StreamRequest {
                    path: "/dossier/2f".into(),
                    model: "m0".into(),
                    events: EVENTS,
                    time_limit_ms: left_ms,
                    last_event_id: last,
                    resumes: last.and(first_attempt.clone()),
                    key: None,
                };
                let front = fronts[random(fronts.len() as u64) as usize];
                let mut known = 0;
                let reply = send_new(front, &request, &attempt, |body| {
                    let all = events(body);
                    let mut stories = stories.lock().unwrap();
                    for (id, data) in &all[known..] {
                        let software = data.split(' ').next().unwrap_or("").to_owned();
                        stories[caller].events.push((*id, software, number));
                    }
                    known = all.len();
                });
                if known > 0 && first_attempt.is_none() {
                    first_attempt = Some(attempt.clone());
                }
                let wait: Option<f64> =
                    find_header(&reply.headers, "retry-after").and_then(|text| text.parse().ok());
                stories.lock().unwrap()[caller].tries.push(format!(
                    "{attempt} after {last:?} ended at {} ms: status {}, {known} events, whole: {}",
                    now_ms(), reply.status, reply.is_whole
                ));
                if reply.status == 200 && reply.is_whole {
                    return;
                }
                sleep_ms(wait.map_or(300 + random(200), |wait| (wait * 1_000.0) as u64));
            }
        }));
    }
    sleep_ms(1_600);
    if has_trouble {
        note!("all processes are killed, the store is away");
        store.go_away();
        for gateway in &mut gateways {
            gateway.kill();
        }
        sleep_ms(AWAY_MS);
        let age_ms = store.return_from_copy(COPY_AGE_MS);
        note!("store: back from a copy that is {age_ms} ms old");
        sleep_ms(DOWN_MS - AWAY_MS);
        for gateway in &mut gateways {
            gateway.start();
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    for gateway in &mut gateways {
        gateway.kill();
    }
    for worker in old.iter().chain(&new) {
        for run in worker.runs() {
            note!("{} ({}) ran {} from {} ms, after event {}, ended {:?}", worker.id, worker.kind.software, run.attempt, run.at_ms, run.after_event, run.ended);
        }
    }
    judge(&stories.lock().unwrap())
}

fn judge(stories: &[Story]) -> i32 {
    let (mut mixed, mut whole) = (0, 0);
    for (caller, story) in stories.iter().enumerate() {
        let mut spans: Vec<(String, u64, u64, u32)> = Vec::new();
        for (id, software, number) in &story.events {
            match spans.last_mut() {
                Some(span) if span.0 == *software && span.3 == *number => span.2 = *id,
                _ => spans.push((software.clone(), *id, *id, *number)),
            }
        }
        let is_mixed = spans.iter().any(|span| span.0 != spans[0].0);
        mixed += usize::from(is_mixed);
        whole += usize::from(story.events.len() as u64 == EVENTS);
        note!("requester {caller}: events {spans:?}{}", if is_mixed { " MIXED" } else { "" });
        for line in &story.tries {
            note!("    {line}");
        }
    }
    note!("{whole} streams came whole; {mixed} hold events of two software versions (2 are allowed)");
    if stories.iter().all(|story| story.events.is_empty()) {
        return 2;
    }
    i32::from(mixed > 2)
}
