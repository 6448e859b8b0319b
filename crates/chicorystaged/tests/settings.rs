//! Tests that settings files are validated as a whole and that the sample files are valid.

use std::path::Path;

use chicorystaged::settings::{GatewayFile, Settings, with_overrides};
use googletest::prelude::*;

const SAMPLES: [&str; 6] = [
    "altiplano-router",
    "altiplano-agent-engine",
    "altiplano-agent-service",
    "guild-router",
    "guild-agent-engine",
    "guild-agent-service",
];

fn sample(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let path = root.join(format!("../../docs/samples/{name}.ini"));
    std::fs::read_to_string(path).unwrap()
}

/// Returns the findings as `section.key`, sorted by line.
fn findings(text: &str) -> Vec<String> {
    let found = Settings::parse("file.ini", text).err().unwrap_or_default();
    let found = found.iter();
    found
        .map(|finding| format!("{}.{}", finding.section, finding.key))
        .collect()
}

#[gtest]
fn the_samples_pass() {
    for name in SAMPLES {
        let parsed = Settings::parse(name, &sample(name));
        expect_that!(parsed.err(), none(), "{name}");
    }
}

#[gtest]
fn each_bad_setting_is_found() {
    let cases = [
        (
            "timeout_ms = 2000",
            "timeout_ms = fast",
            "platform.timeout_ms",
        ),
        ("timeout_ms = 2000", "timeout_ms = 9", "platform.timeout_ms"),
        (
            "timeout_ms = 2000",
            "timeout_ms = 4000",
            "platform.timeout_ms",
        ),
        ("timeout_ms = 2000", "timeout_s = 2", "platform.timeout_s"),
        ("vm = entry-1", "vm = entry 1", "daemon.vm"),
        (
            "vm = entry-1\n",
            "vm = entry-1\nvm = entry-2\n",
            "daemon.vm",
        ),
        ("vm = entry-1\n", "", "daemon.vm"),
        ("role = router", "role = broker", "daemon.role"),
        ("level = info", "level = loud", "log.level"),
        ("[log]", "[logs]", "logs.file"),
        (":7003", ":8080", "router.admin_api"),
        ("10.20.0.11:7001", "0.0.0.0:7000", "listen.health"),
        ("10.20.0.5:7401", "10.20.0.11:7000", "platform.object_store"),
        (
            "drain_lag_ms = 5000",
            "drain_lag_ms = 700000",
            "router.drain_lag_ms",
        ),
        (
            "freshness_max_ms = 3000",
            "freshness_max_ms = 100",
            "router.freshness_max_ms",
        ),
        (
            "root_token_sha256 = da",
            "root_token_sha256 = xy",
            "router.root_token_sha256",
        ),
    ];
    let router = sample("altiplano-router");
    for (old, new, expected) in cases {
        let text = router.replacen(old, new, 1);
        assert!(text != router, "{old}");
        expect_that!(findings(&text), contains(eq(expected)), "{new}");
    }
    let agent = sample("altiplano-agent-engine");
    let text = agent.replace("router_group = entry", "router_group = colmena-llm");
    expect_that!(findings(&text), elements_are![eq("agent.router_group")]);
}

#[gtest]
fn all_findings_are_reported_together_with_their_place() {
    let text = sample("altiplano-router")
        .replace("zone = huehue-a", "zone =")
        .replace("waiting_max = 4096", "waiting_max = none")
        .replace("level = info", "colour = red");
    let found = Settings::parse("file.ini", &text).unwrap_err();
    expect_that!(found.len(), eq(3));
    for (finding, key) in found.iter().zip(["zone", "colour", "waiting_max"]) {
        let line = text.lines().nth(finding.line as usize - 1).unwrap();
        expect_that!(line, starts_with(key));
        expect_that!(finding.to_string(), starts_with("file.ini:"));
    }
}

#[gtest]
fn a_malformed_token_digest_is_hidden_in_findings() {
    let sample = sample("altiplano-router");
    let text = sample.replace("root_token_sha256 = da", "root_token_sha256 = plain");
    let found = format!("{:?}", Settings::parse("file.ini", &text).err());
    expect_that!(found, contains_substring("(hidden)"));
    expect_that!(found, not(contains_substring("plain")));
}

const GATEWAY: &str = "[daemon]\nrole = gateway\nvm = v1\nzone = z\n[gateway]\ncallers = 127.0.0.1:1\n\
    readiness = 127.0.0.1:2\npeers = 127.0.0.1:3\nstore = 127.0.0.1:4\n";

/// Returns the bound of withdrawals of a gateway with settings of the command line.
fn revoke_max_ms(overrides: &[&str]) -> Option<u64> {
    let overrides: Vec<String> = overrides.iter().map(|given| (*given).to_owned()).collect();
    let text = with_overrides(GATEWAY, &overrides).expect("well formed");
    let file = GatewayFile::parse("file.ini", &text).expect("valid settings");
    file.gateway.revoke_max_ms
}

#[gtest]
fn settings_of_the_command_line_are_added_and_those_without_a_value_left_out() {
    expect_that!(revoke_max_ms(&[]), some(eq(5_000)));
    expect_that!(revoke_max_ms(&["teams.revoke_max_ms="]), some(eq(5_000)));
    expect_that!(revoke_max_ms(&["teams.revoke_max_ms=700"]), some(eq(700)));
    let open = ["teams.revoke_max_ms=700", "teams.fail_closed=false"];
    expect_that!(revoke_max_ms(&open), none());
    for wrong in ["teams.revoke_max_ms", "revoke_max_ms=1"] {
        let refused = with_overrides(GATEWAY, &[wrong.to_owned()]);
        expect_that!(refused.err(), some(eq(wrong)));
    }
}
