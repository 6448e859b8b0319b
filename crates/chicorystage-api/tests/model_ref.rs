//! Tests of model references as sent by callers.

use chicorystage_api::inventory::ModelRef;
use googletest::prelude::*;

#[gtest]
fn accepted_forms_are_printed_as_given() {
    for text in ["brief", "brief@2", "brief:noir", "brief@2:noir"] {
        expect_that!(
            ModelRef::parse(text).map(|parsed| parsed.to_string()),
            ok(eq(text))
        );
    }
}

#[gtest]
fn malformed_forms_are_refused_with_what_is_allowed() {
    for text in [
        "", "@2", "brief@", "brief:", "a:b:c", "a@1@2", "a b", "a/b", "a:b@1",
    ] {
        let error = ModelRef::parse(text).unwrap_err();
        expect_that!(
            error.to_string(),
            contains_substring("allowed: model, model@version")
        );
    }
}
