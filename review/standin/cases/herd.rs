//! All gateways are killed while workers of a second software version come in; callers take their
//! streams up again.

use std::time::{Duration, Instant};

use crate::callers::{Stream, StreamRequest, stream};
use crate::cases::{Context, MODEL_SERVICE, STREAM_ROUTE, desired_state, in_parallel, pause};
use crate::gateway::{Gateway, wait_until_ready};
use crate::store::Store;
use crate::worker::{Work, Worker};

const STREAMS: usize = 24;
const WORK: Work = Work::Events {
    events: 230,
    pause_ms: 100,
};
const CONTACT: Duration = Duration::from_secs(3);

pub fn play(context: &Context) -> Result<bool, String> {
    let record = &context.record;
    let text = |error: std::io::Error| error.to_string();
    let store = Store::default();
    store.put("op", "config", &desired_state(STREAM_ROUTE, MODEL_SERVICE));
    let start = |id: &str, version: &str| Worker::start(id, version, "llm", WORK, Some("m0"));
    let old = [
        start("i-old-1", "v1").map_err(text)?,
        start("i-old-2", "v1").map_err(text)?,
    ];
    for worker in &old {
        worker.register(&store, "ready");
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
    record.line("4 gateways are ready; 2 workers of software version v1 serve");
    pause(6_000);
    let request = |id: String| StreamRequest {
        path: "/dossier/1".into(),
        model: Some("m0".into()),
        id,
        parts: "5c1e07a2:522".into(),
        deadline: Duration::from_secs(25),
    };
    let places: Vec<_> = gateways
        .iter()
        .map(|one| (one.name.clone(), one.callers))
        .collect();
    let mut jobs: Vec<Box<dyn FnOnce() -> Stream + Send>> = Vec::new();
    for number in 0..STREAMS {
        // Each try at another gateway; the pauses after a break grow.
        let pauses = [10 * number as u64, 1_000, 2_000, 4_000, 2_000];
        let tries = pauses.iter().enumerate().map(|(i, pause_ms)| {
            let (name, address) = places[(number + i) % places.len()].clone();
            (name, address, Duration::from_millis(*pause_ms))
        });
        let (tries, record) = (tries.collect::<Vec<_>>(), record.clone());
        let request = request(format!("9c41d07be2a3{number:02x}"));
        jobs.push(Box::new(move || stream(&record, &request, &tries)));
    }
    record.line(&format!(
        "{STREAMS} streams begin, spread over the gateways"
    ));
    let threads = in_parallel(jobs);
    pause(2_000);
    let new = start("i-new-1", "v2").map_err(text)?;
    new.register(&store, "ready");
    record.line("a release: a worker of version v2 registers (the store has accepted it)");
    pause(4_000);
    record.line(&format!(
        "rows of the system: {:?} {:?}",
        store.keys("chicorystage"),
        store.keys("chicorystage-streams")
    ));
    let mut back = Instant::now();
    if context.has_trouble {
        for gateway in &gateways {
            gateway.kill();
        }
        record.line("all gateways are killed at once (SIGKILL)");
        pause(500);
        for gateway in &mut gateways {
            gateway.run().map_err(text)?;
        }
        back = Instant::now();
        record.line("all gateways are started again");
        if !wait_until_ready(&gateways, Duration::from_secs(10)) {
            return Err("gateways are not ready again".into());
        }
        record.line("all gateways are ready again");
    } else {
        pause(500);
    }
    pause(5_500);
    // New streams, begun when the taken-up ones of the fourth try come.
    let mut jobs: Vec<Box<dyn FnOnce() -> Stream + Send>> = Vec::new();
    for number in 0..STREAMS {
        let (name, address) = places[number % places.len()].clone();
        let record = record.clone();
        let request = request(format!("77aa0c15fe60{number:02x}"));
        let tries = vec![(name, address, Duration::from_millis(10 * number as u64))];
        jobs.push(Box::new(move || stream(&record, &request, &tries)));
    }
    record.line(&format!("{STREAMS} new streams begin"));
    let fresh = in_parallel(jobs);
    let mut streams = Vec::new();
    for thread in threads {
        streams.push(thread.join().map_err(|_| "a caller failed".to_owned())?);
    }
    let mut begun = 0;
    for thread in fresh {
        let stream = thread.join().map_err(|_| "a caller failed".to_owned())?;
        begun += usize::from(stream.events().next().is_some());
    }
    // Streams that had begun and were taken up at machines in touch; a stream goes on if a try brings more.
    let mut tries = 0;
    let mut taken_up = 0;
    let mut gone_on = 0;
    for stream in &streams {
        let begun = stream.tries.iter().position(|one| !one.events.is_empty());
        let later = stream
            .tries
            .iter()
            .skip(begun.map_or(usize::MAX, |first| first + 1));
        let in_touch: Vec<_> = later.filter(|one| one.began >= back + CONTACT).collect();
        tries += in_touch.len();
        taken_up += usize::from(!in_touch.is_empty());
        gone_on += usize::from(
            in_touch
                .iter()
                .any(|one| !one.events.is_empty() || one.is_whole),
        );
    }
    let whole = streams.iter().filter(|stream| stream.is_whole()).count();
    record.line(&format!(
        "taken up at machines in touch: {taken_up} streams in {tries} tries, {gone_on} went on; new streams: {begun} of {STREAMS} began; {whole} of {STREAMS} streams became whole"
    ));
    for line in gateways[0].log_lines("stream_taken_up").iter().take(8) {
        record.line(&format!("log of {}: {line}", gateways[0].name));
    }
    if begun * 2 < STREAMS {
        return Err("new streams do not begin".into());
    }
    // Broken: gone_on / taken_up is under half of begun / STREAMS.
    Ok(taken_up >= 12 && 2 * gone_on * STREAMS < begun * taken_up)
}
