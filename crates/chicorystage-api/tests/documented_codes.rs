//! Refusal codes and their HTTP statuses agree with docs/API.md.

use chicorystage_api::refusal::RefusalCode;
use googletest::prelude::*;

const API_PAGE: &str = include_str!("../../../docs/API.md");

#[gtest]
fn every_refusal_code_is_documented() {
    for code in RefusalCode::ALL {
        expect_that!(API_PAGE, contains_substring(format!("`{code}`")));
    }
}

#[gtest]
fn documented_statuses_are_those_sent() {
    for code in RefusalCode::ALL {
        let rows = API_PAGE.lines().filter(|line| line.starts_with("| "));
        let mut rows = rows
            .filter(|line| line.contains(&format!("`{code}`")))
            .peekable();
        if rows.peek().is_none() {
            // Codes used only between processes are listed in the text below the table.
            continue;
        }
        let status = format!("| {} |", code.http_status());
        expect_that!(
            rows.any(|row| row.starts_with(&status)),
            is_true(),
            "{code}"
        );
    }
}
