//! The cases.

mod herd;
mod parts;
mod plain;
mod retire;
mod rollback;
mod slow;
mod stop;
mod two_services;
mod uploads;

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

pub struct Context {
    pub record: Record,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

/// Plays a case; returns whether the rule was broken.
pub fn play(name: &str, context: &Context) -> Result<bool, String> {
    match name {
        "retire" => retire::play(context),
        "rollback" => rollback::play(context),
        "herd" => herd::play(context),
        "parts" => parts::play(context),
        "plain" => plain::play(context),
        "slow" => slow::play(context),
        "stop" => stop::play(context),
        "two_services" => two_services::play(context),
        "uploads" => uploads::play(context),
        _ => Err(format!("there is no case {name}")),
    }
}

/// Version of a desired state with one service and one route to it.
pub fn desired_state(route: &str, service: &str) -> String {
    format!(
        r#"{{"version":7,"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000}},"routes":[{route}],"services":[{service}]}}"#
    )
}

/// A service with one model that every worker holds.
pub const MODEL_SERVICE: &str = r#"{"name":"llm","health_path":"/healthz","max_conns":230,"engine":{"slots":32,"kv_capacity":90000,"model_size":220000,"adapter_slots":8,"loads_per_s":3.9,"models":[{"name":"m0","model_size":72700,"load_s":6.0,"adapters":0,"adapter_mb":12}]}}"#;

/// A route of streams that may be taken up again.
pub const STREAM_ROUTE: &str = r#"{"name":"dossier","host":"shop.example","prefix":"/dossier/","kind":"stream","backend":"llm","timeout_ms":25000,"latency_target_ms":3000,"gap_aim_ms":150,"priority":1,"max_attempts":2,"resumable":true,"sticky":true}"#;

/// A route of streams that may not be taken up again, to the same service.
pub const ONCE_ROUTE: &str = r#"{"name":"lot","host":"shop.example","prefix":"/lot/","kind":"stream","backend":"llm","timeout_ms":25000,"latency_target_ms":3000,"gap_aim_ms":150,"priority":1,"max_attempts":1,"resumable":false,"sticky":true}"#;

pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Starts a thread for each job.
pub fn in_parallel<T: Send + 'static>(
    jobs: Vec<Box<dyn FnOnce() -> T + Send>>,
) -> Vec<std::thread::JoinHandle<T>> {
    jobs.into_iter().map(std::thread::spawn).collect()
}

/// Writes the entries of a worker, and ends it when an order has crashed it; it is back empty some seconds
/// later. Returns the number of such crashes.
pub fn host(
    record: &Record,
    store: &Store,
    mut worker: Worker,
    is_over: &AtomicBool,
    restart: &dyn Fn(usize) -> std::io::Result<Worker>,
) -> usize {
    let mut crashes = 0;
    let show = |worker: &Worker| {
        for order in worker.accepted_orders() {
            record.line(&format!("worker {} accepted the order: {order}", worker.id));
        }
    };
    while !is_over.load(Ordering::SeqCst) {
        pause(2);
        if worker.take_change() {
            worker.register(store, "ready");
        }
        if !worker.has_crashed() {
            continue;
        }
        worker.end();
        crashes += 1;
        record.line(&format!(
            "worker {} crashes: it is ordered to load more than its memory holds",
            worker.id
        ));
        show(&worker);
        // Three check-in intervals without a word.
        pause(3_600);
        store.remove("servers", &worker.id);
        pause(1_400);
        match restart(crashes) {
            Ok(next) => worker = next,
            Err(error) => {
                record.line(&format!("worker {} is not back: {error}", worker.id));
                return crashes;
            }
        }
        worker.register(store, "ready");
        record.line(&format!("the worker is back as {}, empty", worker.id));
    }
    show(&worker);
    crashes
}
