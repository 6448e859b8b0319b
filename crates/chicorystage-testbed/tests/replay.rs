//! The replay of a trace ends every request in time, is deterministic and reports missed outcomes.

use std::path::{Path, PathBuf};

use chicorystage_testbed::replay::{Policy, Report, Scenario, TraceRow, check, record_all, replay};
use googletest::prelude::*;

fn traces_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../testdata/traces")
}

fn replay_trace(trace: &str) -> (Scenario, Report) {
    let file = traces_directory().join(format!("{trace}.ini"));
    let scenario = Scenario::read(&file).expect("the scenario is committed");
    let rows = TraceRow::read_all(&file.with_extension("csv")).expect("the trace is committed");
    let report = replay(&scenario, &rows, &Policy::learned(), None).expect("a known deployment");
    (scenario, report)
}

#[gtest]
fn replay_of_a_trace_is_deterministic() {
    expect_that!(
        replay_trace("co-op-waking").1.line(),
        eq(&replay_trace("co-op-waking").1.line())
    );
}

#[gtest]
fn every_request_ends_in_time_during_a_zone_loss() {
    for trace in ["co-op-zone-loss", "guild-zone-loss"] {
        let (_, report) = replay_trace(trace);
        expect_that!(report.late, eq(0), "{trace}");
        expect_that!(report.answered, gt(0), "{trace}");
    }
}

#[gtest]
fn missed_outcome_is_reported() {
    let (mut scenario, report) = replay_trace("guild-waking");
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
        let committed = std::fs::read(traces_directory().join(name)).expect("committed");
        expect_that!(
            std::fs::read(&path).expect("readable") == committed,
            eq(true),
            "{name:?}"
        );
    }
    std::fs::remove_dir_all(&directory).expect("removable");
}
