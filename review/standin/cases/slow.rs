//! The only worker that holds a model turns slow; callers send streams for the model on kept channels.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::cases::{Context, MODEL_SERVICE, STREAM_ROUTE, desired_state, in_parallel, pause};
use crate::gateway::{Gateway, wait_until_ready};
use crate::http::{Answer, Part, send, send_again};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Work, Worker};

const CALLERS: usize = 30;
const WORK: Work = Work::Model {
    events: 40,
    first_ms: 900,
    pause_ms: 30,
};
const SLOWNESS: u64 = 4;
const DEADLINE: Duration = Duration::from_secs(25);

/// How the second request of a caller ended.
struct End {
    events: usize,
    is_whole: bool,
}

pub fn play(context: &Context) -> Result<bool, String> {
    let record = &context.record;
    let text = |error: std::io::Error| error.to_string();
    let store = Store::default();
    store.put("op", "config", &desired_state(STREAM_ROUTE, MODEL_SERVICE));
    let holder = Worker::start("i-holder", "v1", "llm", WORK, Some("m0")).map_err(text)?;
    holder.register(&store, "ready");
    let mut others = Vec::new();
    for number in 1..=7 {
        let id = format!("i-other-{number}");
        let worker = Worker::start(&id, "v1", "llm", WORK, Some("")).map_err(text)?;
        worker.register(&store, "ready");
        others.push(worker);
    }
    let door = store.door().map_err(text)?;
    let mut gateways = Vec::new();
    for number in 1..=4 {
        gateways.push(Gateway::start(&context.folder, number, door.address).map_err(text)?);
    }
    if !wait_until_ready(&gateways, Duration::from_secs(10)) {
        return Err("gateways are not ready".into());
    }
    record.line("4 gateways are ready; 1 of 8 workers holds the model");
    pause(12_000);
    let address = gateways[0].callers;
    let began = Instant::now();
    let mut jobs: Vec<Box<dyn FnOnce() -> Result<End, String> + Send>> = Vec::new();
    for number in 0..CALLERS {
        let record = record.clone();
        jobs.push(Box::new(move || call(&record, address, number, began)));
    }
    record.line(&format!(
        "{CALLERS} callers send a request each at {}, on new channels",
        gateways[0].name
    ));
    let threads = in_parallel(jobs);
    pause(4_000);
    if context.has_trouble {
        holder.slow_down(SLOWNESS);
        record.line(&format!(
            "the worker {} works {SLOWNESS} times as long from now on",
            holder.id
        ));
    }
    let mut ends = Vec::new();
    for thread in threads {
        ends.push(thread.join().map_err(|_| "a caller failed".to_owned())??);
    }
    let whole = ends.iter().filter(|end| end.is_whole).count();
    let closed = ends
        .iter()
        .filter(|end| !end.is_whole && end.events == 0)
        .count();
    record.line(&format!(
        "second requests: {whole} of {CALLERS} answers are whole; {closed} channels were closed without an event of the answer (the rule allows 3)"
    ));
    for line in gateways[0].log_lines("answer_broken") {
        record.line(&format!("log of {}: {line}", gateways[0].name));
    }
    Ok(closed > 3)
}

/// Sends two requests on one channel.
fn call(
    record: &Record,
    address: SocketAddr,
    number: usize,
    began: Instant,
) -> Result<End, String> {
    let headers = |attempt: &str| {
        vec![
            ("Host", "shop.example".to_owned()),
            ("Attempt-Id", attempt.to_owned()),
            ("Deadline-Ms", DEADLINE.as_millis().to_string()),
            ("Model", "m0".to_owned()),
            ("Token-Counts", "715,280".to_owned()),
            ("Prompt-Prefix", format!("5c1e07a2:172,{attempt}:543")),
        ]
    };
    pause(10 * number as u64);
    let first = format!("7e90b3d41c22{number:02x}00");
    let answer = send(
        address,
        "POST",
        "/dossier/1",
        &headers(&first),
        format!("prompt of {number}").as_bytes(),
        DEADLINE,
        None,
    );
    let mut answer = answer.map_err(|error| format!("first request {first}: {error}"))?;
    let end = read(record, &first, &mut answer);
    if !end.is_whole {
        return Err(format!("the first request {first} was not answered"));
    }
    let due = Duration::from_millis(4_500 + 10 * number as u64);
    std::thread::sleep(due.saturating_sub(began.elapsed()));
    let second = format!("7e90b3d41c22{number:02x}01");
    let answer = send_again(
        answer.into_connection(),
        "POST",
        "/dossier/1",
        &headers(&second),
        format!("another prompt of {number}").as_bytes(),
    );
    match answer {
        Ok(mut answer) => Ok(read(record, &second, &mut answer)),
        Err(error) => {
            record.line(&format!(
                "request {second}: the channel ended without an answer: {error}"
            ));
            Ok(End {
                events: 0,
                is_whole: false,
            })
        }
    }
}

fn read(record: &Record, attempt: &str, answer: &mut Answer) -> End {
    let sent = Instant::now();
    let mut text = Vec::new();
    let end = loop {
        match answer.next() {
            Part::Data(data) => text.extend(data),
            Part::End => break None,
            Part::Broken(why) => break Some(why),
        }
    };
    let events = String::from_utf8_lossy(&text).matches("data: ").count();
    record.line(&format!(
        "request {attempt}: status {}, {events} events, {} {:.3} s after the head",
        answer.status,
        end.as_deref()
            .map_or("whole".to_owned(), |why| format!("NOT WHOLE ({why})")),
        sent.elapsed().as_secs_f64()
    ));
    End {
        events,
        is_whole: end.is_none() && answer.status == 200,
    }
}
