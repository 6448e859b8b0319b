//! What the holder of the lease tells the other gateways, and what these ask the store for.

use chicorystage_api::name::{EndpointId, ModelName};
use chicorystaged::gateway::follow::endpoints_pause_ms;
use chicorystaged::gateway::peer_message::EngineUpdate;
use chicorystaged::gateway::placement_publisher::PlacementPublisher;
use googletest::prelude::*;

fn engine(id: &str, models: &[&str]) -> EngineUpdate {
    let models = models
        .iter()
        .map(|model| (ModelName::from(*model), Vec::new()));
    EngineUpdate {
        endpoint: EndpointId::from(id),
        born_unix_ms: Some(1),
        models: models.collect(),
        loading: None,
    }
}

#[gtest]
fn only_changes_are_told_between_repeats() {
    let mut told = PlacementPublisher::default();
    let (a, b) = (engine("a", &["m"]), engine("b", &["n"]));
    let both = vec![a.clone(), b.clone()];
    expect_that!(told.due(0, both.clone(), |_| true), eq(&both));
    expect_that!(told.due(100, both.clone(), |_| true), is_empty());
    let changed = engine("b", &["n", "o"]);
    let now = vec![a.clone(), changed.clone()];
    expect_that!(
        told.due(200, now.clone(), |_| true),
        elements_are![eq(&changed)]
    );
    expect_that!(told.due(1_000, now.clone(), |_| true), eq(&now));
}

#[gtest]
fn an_engine_that_is_gone_is_told_once_as_one_that_holds_nothing() {
    let mut told = PlacementPublisher::default();
    let (a, b) = (engine("a", &["m"]), engine("b", &["n"]));
    told.due(0, vec![a.clone(), b], |_| true);
    let without = told.due(100, vec![a.clone()], |engine| {
        engine.endpoint.as_str() == "a"
    });
    expect_that!(without, elements_are![eq(&engine("b", &[]))]);
    expect_that!(
        told.due(200, vec![a], |engine| engine.endpoint.as_str() == "a"),
        is_empty()
    );
}

// After a conflict the holder waits for a report before it says what the engine holds.
#[gtest]
fn an_engine_that_is_in_doubt_is_not_told_as_one_that_is_gone() {
    let mut told = PlacementPublisher::default();
    let (a, b) = (engine("a", &["m"]), engine("b", &["n"]));
    told.due(0, vec![a.clone(), b.clone()], |_| true);
    expect_that!(told.due(100, vec![a.clone()], |_| true), is_empty());
    expect_that!(told.due(200, vec![a, b], |_| true), is_empty());
}

#[gtest]
fn calls_for_endpoints_grow_little_with_the_number_of_gateways() {
    let calls_per_minute = |gateways: usize| {
        let gateway_count = u64::try_from(gateways).expect("a small number");
        60_000 / endpoints_pause_ms(gateways, true) * gateway_count
    };
    expect_that!(calls_per_minute(4), lt(720));
    for gateways in [8, 16, 31] {
        expect_that!(
            calls_per_minute(gateways),
            le(calls_per_minute(8)),
            "{gateways}"
        );
    }
    // A twentieth of the 6,000 calls a second of the grown platform.
    expect_that!(calls_per_minute(330), le(300 * 60));
    // Without word from the holder the registry is all there is.
    expect_that!(
        endpoints_pause_ms(300, false),
        eq(endpoints_pause_ms(1, true))
    );
}

// Two seconds after an endpoint began to leave no request may reach it.
#[gtest]
fn however_many_gateways_there_are_a_leaving_endpoint_is_known_in_time() {
    for gateways in [1, 8, 31, 330, 5_000] {
        expect_that!(endpoints_pause_ms(gateways, true), le(1_500), "{gateways}");
    }
}

#[gtest]
fn a_load_is_told_when_it_begins_and_not_as_its_time_runs_down() {
    let mut told = PlacementPublisher::default();
    let loading = |left_ms| EngineUpdate {
        loading: Some((ModelName::from("n"), left_ms)),
        ..engine("a", &["m"])
    };
    told.due(0, vec![engine("a", &["m"])], |_| true);
    expect_that!(told.due(100, vec![loading(900)], |_| true), len(eq(1)));
    expect_that!(told.due(200, vec![loading(800)], |_| true), is_empty());
}
