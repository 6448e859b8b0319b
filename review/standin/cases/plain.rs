//! A worker of a second software version of a service without an engine serves for a while and is taken
//! back; callers take its streams up again.

use std::time::Duration;

use crate::callers::{Stream, StreamRequest, stream};
use crate::cases::{Context, desired_state, in_parallel, pause};
use crate::gateway::{Gateway, wait_until_ready};
use crate::store::Store;
use crate::worker::{Work, Worker};

const STREAMS: usize = 192;
/// Workers of version v1; the one of v2 is one in eight.
const OLD: usize = 7;
const WORK: Work = Work::Events {
    events: 110,
    pause_ms: 100,
};
const SERVICE: &str = r#"{"name":"feed","health_path":"/healthz","max_conns":230}"#;
const ROUTE: &str = r#"{"name":"feed","host":"shop.example","prefix":"/feed/","kind":"stream","backend":"feed","timeout_ms":25000,"latency_target_ms":3000,"gap_aim_ms":150,"priority":1,"max_attempts":2,"resumable":true}"#;

pub fn play(context: &Context) -> Result<bool, String> {
    let record = &context.record;
    let text = |error: std::io::Error| error.to_string();
    let store = Store::default();
    store.put("op", "config", &desired_state(ROUTE, SERVICE));
    let start = |id: &str, version: &str| Worker::start(id, version, "feed", WORK, None);
    let mut old = Vec::new();
    for number in 1..=OLD {
        let worker = start(&format!("i-old-{number}"), "v1").map_err(text)?;
        worker.register(&store, "ready");
        old.push(worker);
    }
    let new = start("i-new-1", "v2").map_err(text)?;
    new.register(&store, "ready");
    let door = store.door().map_err(text)?;
    let mut gateways = Vec::new();
    for number in 1..=4 {
        gateways.push(Gateway::start(&context.folder, number, door.address).map_err(text)?);
    }
    if !wait_until_ready(&gateways, Duration::from_secs(10)) {
        return Err("gateways are not ready".into());
    }
    record.line(&format!(
        "4 gateways are ready; {OLD} workers of software version v1 and 1 of v2 serve"
    ));
    pause(6_000);
    record.line(&format!(
        "rows of the system: {:?}",
        store.keys("chicorystage")
    ));
    let mut jobs: Vec<Box<dyn FnOnce() -> Stream + Send>> = Vec::new();
    for number in 0..STREAMS {
        let first = &gateways[number % 4];
        let again = &gateways[(number + 1 + number / 4 % 3) % 4];
        let tries = vec![
            (
                first.name.clone(),
                first.callers,
                Duration::from_millis(5 * number as u64),
            ),
            (
                again.name.clone(),
                again.callers,
                Duration::from_millis(1_000),
            ),
        ];
        let record = record.clone();
        let request = StreamRequest {
            path: "/feed/1".into(),
            model: None,
            id: format!("9c41d07be2a3{number:02x}"),
            parts: "5c1e07a2:522".into(),
            deadline: Duration::from_secs(25),
        };
        jobs.push(Box::new(move || stream(&record, &request, &tries)));
    }
    record.line(&format!(
        "{STREAMS} streams begin, spread over the gateways"
    ));
    let threads = in_parallel(jobs);
    pause(2_500);
    if context.has_trouble {
        new.leave();
        new.register(&store, "draining");
        record.line("the worker of version v2 reports draining (the store has accepted it); drain_ms is 2000");
        pause(2_300);
        new.end();
        store.remove("servers", &new.id);
        record.line("the worker of version v2 exits; its entry is removed");
    }
    let mut streams = Vec::new();
    for thread in threads {
        streams.push(thread.join().map_err(|_| "a caller failed".to_owned())?);
    }
    let at_new = streams
        .iter()
        .filter(|stream| stream.versions().iter().any(|version| version == "v2"));
    let again = streams.iter().filter(|stream| stream.tries.len() > 1);
    let mixed = streams.iter().filter(|stream| stream.versions().len() > 1);
    let (at_new, again, mixed) = (at_new.count(), again.count(), mixed.count());
    record.line(&format!(
        "{at_new} streams hold events of v2; {again} were taken up again; {mixed} hold events of v1 and v2 (the rule allows 2)"
    ));
    for gateway in &gateways {
        for line in gateway.log_lines("stream_taken_up") {
            record.line(&format!("log of {}: {line}", gateway.name));
        }
    }
    if at_new < 12 || (context.has_trouble && again < 12) {
        return Err("too few streams began at v2".into());
    }
    Ok(mixed > 2)
}
