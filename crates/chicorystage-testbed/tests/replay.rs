//! The replay of a trace ends every request in time, is deterministic and reports missed outcomes.

use std::path::{Path, PathBuf};

use chicorystage_testbed::replay::{Policy, Report, Scenario, TraceRow, check, record_all, replay};
use googletest::prelude::*;

fn traces() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../testdata/traces")
}

fn run(trace: &str) -> (Scenario, Report) {
    let file = traces().join(format!("{trace}.ini"));
    let scenario = Scenario::read(&file).expect("the scenario is committed");
    let rows = TraceRow::read_all(&file.with_extension("csv")).expect("the trace is committed");
    let report = replay(&scenario, &rows, &Policy::learned(), None).expect("a known deployment");
    (scenario, report)
}

#[gtest]
fn the_same_trace_gives_the_same_figures() {
    expect_that!(
        run("co-op-waking").1.line(),
        eq(&run("co-op-waking").1.line())
    );
}

#[gtest]
fn every_request_is_settled_in_time_while_a_zone_is_lost() {
    for trace in ["co-op-zone-loss", "guild-zone-loss"] {
        let (_, report) = run(trace);
        expect_that!(report.late, eq(0), "{trace}");
        expect_that!(report.answered, gt(0), "{trace}");
    }
}

#[gtest]
fn a_missed_outcome_is_found() {
    let (mut scenario, report) = run("guild-waking");
    scenario.outcomes.first_token_p95_ms_max = Some(0);
    let findings = check(&scenario, &[report]);
    expect_that!(
        findings.iter().filter(|finding| !finding.met).count(),
        ge(1)
    );
    expect_that!(findings.iter().any(|finding| finding.met), eq(true));
}

#[gtest]
fn the_recorder_writes_the_committed_traces() {
    let directory =
        std::env::temp_dir().join(format!("chicorystage-traces-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a temporary directory");
    record_all(&directory).expect("writable");
    for entry in std::fs::read_dir(&directory).expect("readable") {
        let path = entry.expect("readable").path();
        let name = path.file_name().expect("a file");
        let committed = std::fs::read(traces().join(name)).expect("committed");
        expect_that!(
            std::fs::read(&path).expect("readable") == committed,
            eq(true),
            "{name:?}"
        );
    }
    std::fs::remove_dir_all(&directory).expect("removable");
}
