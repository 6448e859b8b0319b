//! Tests that inventory files are validated as a whole and that parsing and formatting round-trip.

use std::path::Path;

use chicorystage::file::{InventoryFile, item_fields, section_name};
use chicorystage_api::inventory::{Item, ItemRow};
use googletest::prelude::*;

const SAMPLES: [&str; 2] = ["altiplano-inventory", "guild-inventory"];
const MODEL: &str = "[model m]\nowner = o\ngroup = g\ndefault_version = v1\nversions = v1 8GiB\n";
const RULE: &str = "[rule moisture]\nowner = field\nreplicas_max = 1\n\
                    keep_alive_min_ms = 1\nkeep_alive_max_ms = 2\n";

fn sample(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let path = root.join(format!("../../docs/samples/{name}.ini"));
    std::fs::read_to_string(path).unwrap()
}

fn parse(text: &str) -> Vec<Item> {
    InventoryFile::parse("file.ini", text)
        .unwrap_or_else(|findings| panic!("{findings:?}"))
        .items()
        .to_vec()
}

/// Returns the findings as `line:section:key`, sorted by line.
fn findings(text: &str) -> Vec<String> {
    let found = InventoryFile::parse("file.ini", text);
    let found = found.err().unwrap_or_default();
    let places = found
        .iter()
        .map(|finding| format!("{}:{}:{}", finding.line, finding.section, finding.key));
    places.collect()
}

fn rows(items: &[Item]) -> Vec<ItemRow> {
    let rows = items.iter().map(|item| ItemRow {
        item: item.clone(),
        revision: 1,
        change_id: "c".into(),
        operator: "root".into(),
    });
    rows.collect()
}

#[gtest]
fn sample_files_are_valid_and_round_trip() {
    for name in SAMPLES {
        let items = parse(&sample(name));
        let mut text = String::new();
        for item in &items {
            text.extend([format!("[{}]\n", section_name(&item.key()))]);
            for (key, value) in item_fields(item) {
                text.extend([format!("{key} = {value}\n")]);
            }
        }
        expect_that!(parse(&text), eq(&items), "{name}");
    }
}

#[gtest]
fn each_bad_section_is_found_with_its_place() {
    let cases = [
        ("[modell m]\nowner = o\n", "1:modell m:"),
        ("[policy]\nloads_per_s = 4\n", "2:policy:loads_per_s"),
        (
            "[policy]\nloads_per_s_max = many\n",
            "2:policy:loads_per_s_max",
        ),
        (
            "[policy]\nretry_budget_percent = 101\n",
            "2:policy:retry_budget_percent",
        ),
        ("[adapter a]\nowner = o\nmemory_bytes = 1\n", "1:adapter a:"),
        (
            "[adapter m:a]\nowner = o\nmemory_bytes = 1TiB\n",
            "3:adapter m:a:memory_bytes",
        ),
    ];
    for (text, expected) in cases {
        expect_that!(findings(text), elements_are![eq(expected)], "{text}");
    }
}

#[gtest]
fn each_bad_value_is_found_with_its_place() {
    let cases = [
        ("versions = v1 8GiB", "versions = v1", "5:model m:versions"),
        (
            "versions = v1 8GiB",
            "versions = v1 0",
            "5:model m:versions",
        ),
        (
            "default_version = v1",
            "default_version = v2",
            "4:model m:default_version",
        ),
        ("owner = o", "owner = o o", "2:model m:owner"),
        ("owner = o\n", "", "1:model m:owner"),
        ("group = g", "group = g\ngroup = h", "4:model m:group"),
    ];
    for (old, new, expected) in cases {
        let text = MODEL.replace(old, new);
        expect_that!(findings(&text), elements_are![eq(expected)], "{new}");
    }
}

#[gtest]
fn a_file_of_rules_is_checked_against_the_inventory_in_force() {
    let file = InventoryFile::parse("rules.ini", RULE).unwrap();
    let in_force = rows(&parse(&sample("altiplano-inventory")));
    expect_that!(file.check_against(&in_force), ok(anything()));
    let found = file.check_against(&[]).unwrap_err();
    expect_that!(found.len(), eq(1));
    let expected = "rules.ini:1: [rule moisture] model:";
    expect_that!(found[0].to_string(), starts_with(expected));
}
