//! Tests of the engine updates that the lease holder publishes to the other gateways, and of the
//! rate at which gateways poll the store for endpoints.

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
fn only_changes_are_published_between_repeats() {
    let mut publisher = PlacementPublisher::default();
    let (a, b) = (engine("a", &["m"]), engine("b", &["n"]));
    let both = vec![a.clone(), b.clone()];
    expect_that!(publisher.due(0, both.clone(), |_| true), eq(&both));
    expect_that!(publisher.due(100, both.clone(), |_| true), is_empty());
    let changed = engine("b", &["n", "o"]);
    let now = vec![a.clone(), changed.clone()];
    expect_that!(
        publisher.due(200, now.clone(), |_| true),
        elements_are![eq(&changed)]
    );
    expect_that!(publisher.due(1_000, now.clone(), |_| true), eq(&now));
}

#[gtest]
fn a_removed_engine_is_published_once_without_models() {
    let mut publisher = PlacementPublisher::default();
    let (a, b) = (engine("a", &["m"]), engine("b", &["n"]));
    publisher.due(0, vec![a.clone(), b], |_| true);
    let without = publisher.due(100, vec![a.clone()], |engine| {
        engine.endpoint.as_str() == "a"
    });
    expect_that!(without, elements_are![eq(&engine("b", &[]))]);
    expect_that!(
        publisher.due(200, vec![a], |engine| engine.endpoint.as_str() == "a"),
        is_empty()
    );
}

// After a conflicting order the lease holder waits for the engine's report before it publishes
// what the engine has loaded. An engine without an update in that time must not appear removed.
#[gtest]
fn an_engine_in_an_unresolved_state_is_not_published_as_removed() {
    let mut publisher = PlacementPublisher::default();
    let (a, b) = (engine("a", &["m"]), engine("b", &["n"]));
    publisher.due(0, vec![a.clone(), b.clone()], |_| true);
    expect_that!(publisher.due(100, vec![a.clone()], |_| true), is_empty());
    expect_that!(publisher.due(200, vec![a, b], |_| true), is_empty());
}

#[gtest]
fn store_calls_for_endpoints_stay_bounded_as_gateways_are_added() {
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
    // A twentieth of the enlarged platform's 6,000 calls a second.
    expect_that!(calls_per_minute(330), le(300 * 60));
    // Without updates from the lease holder the registry is the only source.
    expect_that!(
        endpoints_pause_ms(300, false),
        eq(endpoints_pause_ms(1, true))
    );
}

// No request may reach an endpoint later than two seconds after it began to leave.
#[gtest]
fn a_leaving_endpoint_is_observed_in_time_for_any_number_of_gateways() {
    for gateways in [1, 8, 31, 330, 5_000] {
        expect_that!(endpoints_pause_ms(gateways, true), le(1_500), "{gateways}");
    }
}

#[gtest]
fn a_load_is_published_at_its_start_but_not_as_its_remaining_time_decreases() {
    let mut publisher = PlacementPublisher::default();
    let loading = |left_ms| EngineUpdate {
        loading: Some((ModelName::from("n"), left_ms)),
        ..engine("a", &["m"])
    };
    publisher.due(0, vec![engine("a", &["m"])], |_| true);
    expect_that!(publisher.due(100, vec![loading(900)], |_| true), len(eq(1)));
    expect_that!(publisher.due(200, vec![loading(800)], |_| true), is_empty());
}
