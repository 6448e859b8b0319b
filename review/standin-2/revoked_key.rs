//! Case 10: rule CONFIG, a withdrawn key after the drill of the store, at a machine that starts again.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::callers::{count, new_attempt, record_ends, send_new, StreamRequest};
use crate::gateway::{Bounds, Gateway};
use crate::store::Store;
use crate::util::{now_ms, random, sleep_ms};
use crate::worker::{Kind, Worker};

/// `revoke_ms` of the site.
const REVOKE_MS: u64 = 5_000;
const AWAY_MS: u64 = 1_000;
/// How long after the store's return the operator writes its state again, in milliseconds.
const REWRITE_MS: u64 = 1_000;

fn config(version: u64, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
 {{"name":"r-tag","host":"h.example","prefix":"/tag/","kind":"stream","timeout_ms":4000,
  "latency_target_ms":250,"priority":1,"backend":"llm","max_attempts":2,"sticky":true,
  "resumable":false,"gap_aim_ms":200}}],
 "services":[{{"name":"llm","health_path":"/healthz","max_conns":350,"engine":{{"slots":32,
  "kv_capacity":89138,"model_size":200000,"adapter_slots":8,"loads_per_s":14,
  "models":[{{"name":"m0","model_size":34300,"load_s":10.2,"warm_s":0.28,"disk_s":0.4,
  "adapters":0,"adapter_mb":40}}]}}}}],
 "tenants":[{{"name":"broker-a","priority":0,"api_keys":["key-kept"]}},
  {{"name":"broker-b","priority":0,"api_keys":[{keys}]}}],
 "limits":{{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
  "idle_timeout_ms":15000}}}}"#
    )
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op", "config", Some(&config(7, r#""key-other","key-withdrawn""#)));
    let kind = Kind {
        service: "llm".into(),
        zone: "z1".into(),
        software: "v1".into(),
        slots: 32,
        queue: 96,
        adapter_slots: 8,
        checks_fence: false,
        models: vec!["m0".into()],
        model_places: 2,
        load_ms: 6_000,
        disk_ms: 1_200,
        event_ms: 20,
    };
    let workers = [Worker::start("i-1", kind.clone(), &store), Worker::start("i-2", kind, &store)];
    let bounds =
        Bounds { checks_fence: false, retry_slack: 94, cpu_share: 0.5, revoke_ms: Some(REVOKE_MS) };
    let net = 10 + random(200);
    let gateway = |i: u64| {
        let (ip, zone) = (format!("127.94.{net}.{i}"), format!("z{i}"));
        Gateway::new(folder, &format!("front-{i}"), &zone, &ip, store.address, &bounds)
    };
    let mut gateways = [gateway(1), gateway(2)];
    for gateway in &mut gateways {
        gateway.start();
    }
    for gateway in &gateways {
        gateway.wait_ready();
    }
    // Requesters of each zone come to its machine; half of them have the key that will be withdrawn.
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, u64, String)>>> = Arc::default();
    let mut callers = Vec::new();
    for gateway in &gateways {
        for key in ["key-kept", "key-withdrawn", "key-kept", "key-withdrawn"] {
            let (front, name) = (gateway.front, gateway.name.clone());
            let (is_over, sent) = (Arc::clone(&is_over), Arc::clone(&sent));
            callers.push(std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let request = StreamRequest {
                        path: "/tag/2f".into(),
                        model: "m0".into(),
                        events: 6,
                        time_limit_ms: 4_000,
                        last_event_id: None,
                        resumes: None,
                        key: Some(key.to_owned()),
                    };
                    let attempt = new_attempt();
                    sent.lock().unwrap().push((attempt.clone(), now_ms(), key.to_owned()));
                    let reply = send_new(front, &request, &attempt, |_| {});
                    count(&format!("{key} to {name}"), &attempt, &reply);
                    sleep_ms(80 + random(60));
                }
            }));
        }
    }
    sleep_ms(4_000);
    store.put("op", "config", Some(&config(8, r#""key-other""#)));
    let ack_ms = now_ms();
    note!("desired state 8 is acknowledged, which takes key-withdrawn away");
    let wait_until = |after_ack_ms: u64| sleep_ms((ack_ms + after_ack_ms).saturating_sub(now_ms()));
    // Planned: one machine is stopped and started again.
    wait_until(2_200);
    gateways[0].terminate();
    gateways[0].wait_end(8_000);
    if has_trouble {
        store.go_away();
        note!("store: away");
    }
    sleep_ms(AWAY_MS / 2);
    gateways[0].start();
    sleep_ms(AWAY_MS / 2);
    if has_trouble {
        let age_ms = store.return_from_copy(now_ms() - ack_ms + 200);
        note!("store: back from a copy that is {age_ms} ms old");
        sleep_ms(REWRITE_MS);
        store.put("op", "config", Some(&config(8, r#""key-other""#)));
        note!("the operator has written desired state 8 again");
    }
    sleep_ms(3_000);
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    for gateway in &mut gateways {
        gateway.kill();
    }
    record_ends();
    let runs: Vec<_> = workers.iter().flat_map(Worker::runs).collect();
    for run in &runs {
        note!("ran {} at {} ms, ended {:?}", run.attempt, run.at_ms, run.ended);
    }
    let mut late = 0;
    for (attempt, sent_ms, key) in sent.lock().unwrap().iter() {
        let is_late = key == "key-withdrawn" && *sent_ms > ack_ms + REVOKE_MS;
        if let Some(run) = runs.iter().find(|run| is_late && run.attempt == *attempt) {
            late += 1;
            note!("{attempt} with {key}, sent {} ms after the ack, ran at {} ms", sent_ms - ack_ms, run.at_ms);
        }
    }
    note!("{} runs; {late} of requests with the withdrawn key that were sent later than revoke_ms after the ack", runs.len());
    if runs.len() < 100 {
        return 2;
    }
    i32::from(late > 0)
}
