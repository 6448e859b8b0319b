//! The demo command succeeds for the deployments of both users.

use std::process::Command;

use googletest::prelude::*;

fn run_demo(deployment: &str) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_chicorystage-testbed"))
        .args(["demo", "--once", "--deployment", deployment])
        .output()
        .expect("the test bed starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.success(), text)
}

#[gtest]
fn altiplano_demo_succeeds_and_runs_the_payout_once() {
    let (succeeded, text) = run_demo("altiplano");
    expect_that!(succeeded, is_true(), "{text}");
    expect_that!(text, contains_substring("payout again"));
    expect_that!(text, contains_substring("payout, answer lost"));
    expect_that!(text, contains_substring("cold stream"));
}

#[gtest]
fn guild_demo_succeeds_and_runs_the_clearance_request_once() {
    let (succeeded, text) = run_demo("guild");
    expect_that!(succeeded, is_true(), "{text}");
    expect_that!(text, contains_substring("clearance request again"));
}
