//! Stand-ins of callers, workers and the platform for the scripts in review/.
//!
//! `standin CASE FOLDER` plays a case and writes FOLDER/record.txt. It exits with 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.

mod callers;
mod cases;
mod gateway;
mod http;
mod json;
mod record;
mod socket;
mod store;
mod worker;

use std::path::PathBuf;
use std::time::Duration;

use record::Record;

/// Longest duration of a case.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(PathBuf::from(folder).join("record.txt"));
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        watched.line("the case has taken too long");
        finish(&watched, 2);
    });
    let temporary =
        std::env::temp_dir().join(format!("chicorystage-review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        record.line(&format!("no temporary folder: {error}"));
        finish(&record, 2);
    }
    let playing = record.clone();
    let context = cases::Context {
        record: playing,
        folder: temporary.clone(),
        has_trouble,
    };
    let name = case.clone();
    let played = std::thread::spawn(move || cases::play(&name, &context)).join();
    let code = match played {
        Ok(Ok(true)) => 1,
        Ok(Ok(false)) => 0,
        Ok(Err(error)) => {
            record.line(&format!("could not run: {error}"));
            2
        }
        Err(_panic) => {
            record.line("could not run: the stand-in failed");
            2
        }
    };
    gateway::end_all();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    finish(&record, code);
}

fn finish(record: &Record, code: i32) -> ! {
    gateway::end_all();
    record.line(match code {
        0 => "result: the rule held (0)",
        1 => "result: THE RULE WAS BROKEN (1)",
        _ => "result: the case could not run (2)",
    });
    std::process::exit(code);
}
