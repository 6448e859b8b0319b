//! A worker of a second software version serves for a while and is taken back; meanwhile the store
//! turns one machine away, at which callers take the broken streams up again.

use std::time::Duration;

use crate::callers::{StreamRequest, stream};
use crate::cases::{Context, MODEL_SERVICE, STREAM_ROUTE, desired_state, in_parallel, pause};
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

pub fn play(context: &Context) -> Result<bool, String> {
    let record = &context.record;
    let text = |error: std::io::Error| error.to_string();
    let store = Store::default();
    store.put("op", "config", &desired_state(STREAM_ROUTE, MODEL_SERVICE));
    let start = |id: &str, version: &str| Worker::start(id, version, "llm", WORK, Some("m0"));
    let mut old = Vec::new();
    for number in 1..=OLD {
        let worker = start(&format!("i-old-{number}"), "v1").map_err(text)?;
        worker.register(&store, "ready");
        old.push(worker);
    }
    let mut gateways = Vec::new();
    let mut doors = Vec::new();
    for number in 1..=4 {
        let door = store.door().map_err(text)?;
        gateways.push(Gateway::start(&context.folder, number, door.address).map_err(text)?);
        doors.push(door);
    }
    if !wait_until_ready(&gateways, Duration::from_secs(10)) {
        return Err("gateways are not ready".into());
    }
    record.line(&format!(
        "4 gateways are ready; {OLD} workers of software version v1 serve"
    ));
    pause(6_000);
    record.line(&format!(
        "rows of the system: {:?}",
        store.keys("chicorystage")
    ));
    if context.has_trouble {
        doors[3].turn_away(true);
        record.line(&format!(
            "from now the store answers 503 to {} and serves the others",
            gateways[3].name
        ));
    }
    pause(300);
    let new = start("i-new-1", "v2").map_err(text)?;
    new.register(&store, "ready");
    record.line("a worker of version v2 registers (the store has accepted it)");
    pause(1_200);
    let mut jobs: Vec<Box<dyn FnOnce() -> _ + Send>> = Vec::new();
    for number in 0..STREAMS {
        let first = &gateways[number % 3];
        let again = &gateways[3];
        let tries = vec![
            (
                first.name.clone(),
                first.callers,
                Duration::from_millis(5 * number as u64),
            ),
            (
                again.name.clone(),
                again.callers,
                Duration::from_millis(200),
            ),
        ];
        let record = record.clone();
        let request = StreamRequest {
            path: "/dossier/1".into(),
            model: Some("m0".into()),
            id: format!("9c41d07be2a3{number:02x}"),
            parts: "5c1e07a2:522".into(),
            deadline: Duration::from_secs(25),
        };
        jobs.push(Box::new(move || stream(&record, &request, &tries)));
    }
    record.line(&format!(
        "{STREAMS} streams begin at the first three gateways"
    ));
    let threads = in_parallel(jobs);
    pause(2_300);
    new.leave();
    new.register(&store, "draining");
    record.line(
        "the worker of version v2 reports draining (the store has accepted it); drain_ms is 2000",
    );
    pause(2_300);
    new.end();
    store.remove("servers", &new.id);
    record.line("the worker of version v2 exits; its entry is removed");
    pause(2_500);
    if context.has_trouble {
        let refused = doors[3].refused();
        doors[3].turn_away(false);
        record.line(&format!(
            "the store serves {} again; it refused {refused} calls",
            gateways[3].name
        ));
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
        "{at_new} streams hold events of v2; {again} were taken up again at {}; {mixed} hold events of v1 and v2 (the rule allows 2)",
        gateways[3].name
    ));
    for line in gateways[3].log_lines("stream_taken_up").iter().take(40) {
        record.line(&format!("log of {}: {line}", gateways[3].name));
    }
    if at_new < 12 || again < 12 {
        return Err("too few streams began at v2".into());
    }
    Ok(mixed > 2)
}
