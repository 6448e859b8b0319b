//! Case 6: a request that crashes each worker that begins to run it, sent again by many: rule BUDGET.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::callers::{count, new_attempt, record_ends, send_new, StreamRequest};
use crate::gateway::{Bounds, Gateway};
use crate::store::Store;
use crate::util::{random, sleep_ms};
use crate::worker::{Kind, Worker, DEADLY_PATH};

const CONTACT_MS: u64 = 3_000;
/// Retries that the rule allows later than `contact_ms` after the third crash.
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-summary","host":"h.example","prefix":"/summary/","kind":"stream","timeout_ms":10000,
  "latency_target_ms":300,"priority":1,"backend":"llm","max_attempts":1,"sticky":true,
  "resumable":false,"gap_aim_ms":150}],
 "services":[{"name":"llm","health_path":"/healthz","max_conns":230,"engine":{"slots":32,
  "kv_capacity":96203,"model_size":220000,"adapter_slots":8,"loads_per_s":3.9,
  "models":[
  {"name":"m0","model_size":72700,"load_s":6.0,"warm_s":0.4,"disk_s":1.2,"adapters":0,"adapter_mb":66},
  {"name":"m1","model_size":72700,"load_s":6.0,"warm_s":0.4,"disk_s":1.2,"adapters":0,"adapter_mb":66},
  {"name":"m2","model_size":72700,"load_s":6.0,"warm_s":0.4,"disk_s":1.2,"adapters":0,"adapter_mb":66}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
  "idle_timeout_ms":15000}}"#;

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
    let kind = |models: &[&str]| Kind {
        service: "llm".into(),
        zone: "z1".into(),
        software: "v1".into(),
        slots: 32,
        queue: 96,
        adapter_slots: 8,
        checks_fence: true,
        models: models.iter().map(|model| (*model).to_owned()).collect(),
        model_places: 3,
        load_ms: 6_000,
        disk_ms: 1_200,
        event_ms: 20,
    };
    // The model of the deadly request is on three workers of six.
    let workers: Vec<Worker> = (1..=6)
        .map(|i| {
            let models: &[&str] = if i <= 3 { &["m0", "m1"] } else { &["m1", "m2"] };
            Worker::start(&format!("i-{i}"), kind(models), &store)
        })
        .collect();
    let bounds =
        Bounds { checks_fence: true, retry_slack: 54, cpu_share: 0.19, revoke_ms: None };
    let net = 10 + random(200);
    let gateway = |i: u64| {
        let (ip, zone) = (format!("127.96.{net}.{i}"), format!("z{i}"));
        Gateway::new(folder, &format!("front-{i}"), &zone, &ip, store.address, &bounds)
    };
    let mut gateways: Vec<Gateway> = (1..=4).map(gateway).collect();
    for gateway in &mut gateways {
        gateway.start();
    }
    for gateway in &gateways {
        gateway.wait_ready();
    }
    sleep_ms(2_000);
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let deadly: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut callers = Vec::new();
    // Sound requests of three models, and a request that comes again, the same each time, at any machine.
    for number in 0..18 {
        let is_deadly = number >= 12;
        if is_deadly && !has_trouble {
            continue;
        }
        let (fronts, is_over, deadly) = (fronts.clone(), Arc::clone(&is_over), Arc::clone(&deadly));
        callers.push(std::thread::spawn(move || {
            // The requests that crash workers begin to come at one moment, the others before.
            sleep_ms(if is_deadly { 3_000 } else { random(500) });
            while !is_over.load(Ordering::Relaxed) {
                let path = if is_deadly { DEADLY_PATH.to_owned() } else { format!("/summary/{}", random(1_000)) };
                let request = StreamRequest {
                    path,
                    model: if is_deadly { "m0".into() } else { format!("m{}", random(3)) },
                    events: 20,
                    time_limit_ms: 10_000,
                    last_event_id: None,
                    resumes: None,
                    key: None,
                };
                let attempt = new_attempt();
                if is_deadly {
                    deadly.lock().unwrap().push(attempt.clone());
                }
                let front = fronts[random(fronts.len() as u64) as usize];
                let reply = send_new(front, &request, &attempt, |_| {});
                count(if is_deadly { "deadly" } else { "sound" }, &attempt, &reply);
                sleep_ms(if is_deadly { 300 + random(400) } else { 100 + random(200) });
            }
        }));
    }
    sleep_ms(25_000);
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    for gateway in &mut gateways {
        gateway.kill();
    }
    record_ends();
    let deadly = deadly.lock().unwrap();
    let mut crashes: Vec<(u64, String, String)> = Vec::new();
    let mut runs = Vec::new();
    for worker in &workers {
        crashes.extend(worker.crashes().into_iter().map(|(at, attempt)| (at, worker.id.clone(), attempt)));
        runs.extend(worker.runs().into_iter().map(|run| (run.at_ms, worker.id.clone(), run.attempt, run.ended)));
    }
    crashes.sort();
    runs.sort();
    for (at_ms, worker, attempt) in &crashes {
        note!("{worker} crashes at {at_ms} ms while it runs {attempt}");
    }
    for (at_ms, worker, attempt, ended) in &runs {
        let what = if deadly.contains(attempt) { "deadly" } else { "sound" };
        note!("{worker} runs {attempt} ({what}) from {at_ms} ms, ended {ended:?}");
    }
    let cut = runs.iter().filter(|run| !deadly.contains(&run.2) && !run.3.is_some_and(|end| end.1)).count();
    let third_ms = crashes.get(2).map(|crash| crash.0);
    let late: Vec<_> = runs
        .iter()
        .filter(|run| deadly.contains(&run.2) && third_ms.is_some_and(|third_ms| run.0 > third_ms + CONTACT_MS))
        .collect();
    for (at_ms, worker, attempt, _) in &late {
        note!("late: {worker} runs {attempt} from {at_ms} ms");
    }
    note!(
        "{} crashes, the third at {third_ms:?} ms; {} deadly requests ran later than contact_ms after it \
         ({ALLOWED} are allowed); {cut} sound streams were cut",
        crashes.len(), late.len()
    );
    if runs.len() < 100 || (has_trouble && crashes.len() < 3) {
        return 2;
    }
    i32::from(late.len() > ALLOWED)
}
