//! Stand-ins and courses of the cases of the second review: `cases NUMBER FOLDER`.
//!
//! Runs in the repository's root after the build of the deploy file. Exits with 1 if the rule of the
//! case was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.

#[macro_use]
mod util;
mod callers;
mod deadly;
mod drill_order;
mod gateway;
mod one_holder;
mod revoked_key;
mod silent_stream;
mod store;
mod worker;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NUMBER FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    util::open_record(&format!("{folder}/record.txt"));
    // Nothing may hang for longer than a case may run.
    std::thread::spawn(|| {
        util::sleep_ms(115_000);
        note!("case took too long");
        eprintln!("case took too long");
        std::process::exit(2);
    });
    // run.sh makes it, ends the processes that the file `pids` names, and removes it.
    let temporary = std::env::temp_dir();
    note!("case {case}, trouble: {has_trouble}");
    let verdict = run(case, &temporary, has_trouble);
    note!("verdict: {verdict}");
    std::process::exit(verdict);
}

fn run(case: &str, folder: &Path, has_trouble: bool) -> i32 {
    match case {
        "6" => deadly::run(folder, has_trouble),
        "7" => drill_order::run(folder, has_trouble),
        "8" => one_holder::run(folder, has_trouble),
        "9" => silent_stream::run(folder, has_trouble),
        "10" => revoked_key::run(folder, has_trouble),
        _ => 2,
    }
}
