//! Choice of an endpoint for a request, from registrations, reports and observed outcomes.

use std::collections::HashMap;

use chicorystage_api::name::{AdapterName, EndpointId, ModelName, ServiceName, VmId, ZoneName};
use chicorystage_core::fleet::{
    Choice, EndpointEntry, EndpointState, EntryChange, FleetView, LoadedModel, LoadingModel,
    PeerLoad, Prompt, Requirements,
};
use googletest::prelude::*;

fn entry(id: &str, zone: &str, models: &[&str]) -> EndpointEntry {
    let models = models.iter().map(|model| LoadedModel {
        model: ModelName::from(*model),
        adapters: Vec::new(),
    });
    EndpointEntry {
        id: EndpointId::from(id),
        service: ServiceName::from("llm"),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: ZoneName::from(zone),
        slots: 4,
        state: EndpointState::Ready,
        born_unix_ms: Some(1),
        software: None,
        models: models.collect(),
    }
}

fn requirements(model: &str) -> Requirements {
    Requirements {
        is_resumable: false,
        is_most_urgent: false,
        service: ServiceName::from("llm"),
        software: None,
        model: Some(ModelName::from(model)),
        adapter: None,
        prompt: Prompt::default(),
        avoid: Vec::new(),
    }
}

fn fleet(entries: &[EndpointEntry]) -> FleetView {
    let mut fleet = FleetView::default();
    for entry in entries {
        fleet.registered(entry.clone());
    }
    fleet
}

fn choose(fleet: &FleetView, now_ms: u64, requirements: &Requirements) -> Choice {
    fleet.choose(now_ms, &ZoneName::from("here"), requirements)
}

fn at(id: &str) -> Choice {
    Choice::Endpoint(EndpointId::from(id))
}

#[test]
fn own_zone_wins_between_equal_endpoints() {
    let fleet = fleet(&[entry("a", "there", &["m"]), entry("b", "here", &["m"])]);
    assert_that!(choose(&fleet, 0, &requirements("m")), eq(&at("b")));
}

#[test]
fn requests_of_all_routers_count() {
    let mut fleet = fleet(&[entry("a", "here", &["m"]), entry("b", "there", &["m"])]);
    let in_progress = HashMap::from([((EndpointId::from("a"), None), 2)]);
    let load = PeerLoad {
        valid_until_ms: 1_500,
        in_progress,
    };
    fleet.peer_load(VmId::from("other"), load);
    assert_that!(choose(&fleet, 0, &requirements("m")), eq(&at("b")));
    // A load report that is too old no longer counts.
    fleet.forget_silent_peers(10_000);
    assert_that!(choose(&fleet, 10_000, &requirements("m")), eq(&at("a")));
}

#[test]
fn combined_load_replaces_the_loads_of_single_peers() {
    let mut fleet = fleet(&[entry("a", "here", &["m"])]);
    let id = EndpointId::from("a");
    let load = |count| PeerLoad {
        valid_until_ms: 1_500,
        in_progress: HashMap::from([((id.clone(), None), count)]),
    };
    fleet.peer_load(VmId::from("x"), load(2));
    fleet.peer_load(VmId::from("y"), load(1));
    assert_that!(fleet.occupancy(&id), eq(3));
    fleet.peer_load(VmId::from("x"), load(1));
    assert_that!(fleet.occupancy(&id), eq(2));
    fleet.replace_peer_loads(VmId::from("x"), load(4));
    assert_that!(fleet.occupancy(&id), eq(4));
}

#[test]
fn reported_reason_is_the_one_closest_to_serving() {
    let mut fleet = fleet(&[entry("a", "here", &["m"]), entry("b", "here", &["n"])]);
    assert_that!(choose(&fleet, 0, &requirements("x")), eq(&Choice::NoModel));
    let adapter = Requirements {
        adapter: Some(AdapterName::from("a1")),
        ..requirements("m")
    };
    assert_that!(choose(&fleet, 0, &adapter), eq(&Choice::NoAdapter));
    let model = ModelName::from("m");
    for _ in 0..4 {
        let endpoint = fleet.get_mut(&EndpointId::from("a")).expect("known");
        endpoint.started(0, Some(&model));
    }
    assert_that!(choose(&fleet, 0, &requirements("m")), eq(&Choice::Full));
    let other = Requirements {
        service: ServiceName::from("none"),
        ..requirements("m")
    };
    assert_that!(choose(&fleet, 0, &other), eq(&Choice::NoEndpoint));
}

#[test]
fn endpoint_is_avoided_for_a_while_after_a_failure_and_when_silent() {
    let mut fleet = fleet(&[entry("a", "here", &["m"]), entry("b", "there", &["m"])]);
    let id = EndpointId::from("a");
    fleet.get_mut(&id).expect("known").outcome(0, false);
    assert_that!(choose(&fleet, 0, &requirements("m")), eq(&at("b")));
    assert_that!(choose(&fleet, 60_000, &requirements("m")), eq(&at("a")));
    // One request started, and the endpoint has not answered anything for a second.
    fleet
        .get_mut(&id)
        .expect("known")
        .started(60_000, Some(&ModelName::from("m")));
    assert_that!(choose(&fleet, 61_000, &requirements("m")), eq(&at("b")));
}

#[test]
fn unreachable_endpoint_is_skipped_for_a_while_even_when_alone() {
    let mut fleet = fleet(&[entry("a", "here", &["m"])]);
    fleet
        .get_mut(&EndpointId::from("a"))
        .expect("known")
        .unreachable(0);
    assert_that!(
        choose(&fleet, 100, &requirements("m")),
        eq(&Choice::NoEndpoint)
    );
    assert_that!(choose(&fleet, 1_000, &requirements("m")), eq(&at("a")));
}

#[test]
fn restarted_endpoint_with_the_same_id_keeps_no_models() {
    let mut fleet = fleet(&[entry("a", "here", &["m"])]);
    let id = EndpointId::from("a");
    let models = vec![LoadedModel {
        model: ModelName::from("n"),
        adapters: Vec::new(),
    }];
    fleet
        .get_mut(&id)
        .expect("known")
        .models_reported(0, models, None);
    assert_that!(choose(&fleet, 0, &requirements("n")), eq(&at("a")));
    let mut restarted = entry("a", "here", &[]);
    restarted.born_unix_ms = Some(2);
    assert_that!(fleet.registered(restarted), eq(EntryChange::Restarted));
    assert_that!(choose(&fleet, 0, &requirements("n")), eq(&Choice::NoModel));
}

#[test]
fn ready_time_is_the_earliest_due_load_of_the_model() {
    let mut fleet = fleet(&[entry("a", "here", &["m"]), entry("b", "here", &["n"])]);
    let model = ModelName::from("x");
    let loading = |due_ms| {
        let model = model.clone();
        Some(LoadingModel { model, due_ms })
    };
    assert_that!(
        fleet.ready_ms(0, &requirements("x"), &Choice::NoModel),
        none()
    );
    for (id, due_ms) in [("a", 9_000), ("b", 4_000)] {
        let endpoint = fleet.get_mut(&EndpointId::from(id)).expect("known");
        endpoint.models_reported(0, Vec::new(), loading(due_ms));
    }
    let ready_ms =
        |now_ms, requirements: &Requirements, choice| fleet.ready_ms(now_ms, requirements, &choice);
    assert_that!(
        ready_ms(0, &requirements("x"), Choice::NoModel),
        some(eq(4_000))
    );
    assert_that!(ready_ms(0, &requirements("x"), Choice::Full), none());
    assert_that!(ready_ms(0, &requirements("y"), Choice::NoModel), none());
    // A due time that was reported too long ago no longer counts.
    assert_that!(ready_ms(3_500, &requirements("x"), Choice::NoModel), none());
}

// An endpoint that started again under another identity stays listed under its old one until that
// entry expires; a request to it is always refused.
#[test]
fn endpoint_that_says_it_is_another_one_is_not_chosen_until_its_entry_is_written_again() {
    let stale = entry("a", "here", &["m"]);
    let mut fleet = fleet(std::slice::from_ref(&stale));
    let known = fleet.get_mut(&stale.id).expect("it is registered");
    known.identity_refused(10_000);
    assert_that!(
        choose(&fleet, 12_000, &requirements("m")),
        eq(&Choice::NoEndpoint)
    );
    fleet.registered(stale);
    assert_that!(choose(&fleet, 12_000, &requirements("m")), eq(&at("a")));
}

// An endpoint that has an engine's address refuses each request as if the model were missing.
#[test]
fn engine_that_refuses_three_requests_in_a_row_counts_as_another_endpoint() {
    let engine = entry("a", "here", &["m", "n", "o", "p"]);
    let mut fleet = fleet(std::slice::from_ref(&engine));
    for (model, expected) in [("m", at("a")), ("n", at("a")), ("o", Choice::NoEndpoint)] {
        let known = fleet.get_mut(&engine.id).expect("it is registered");
        known.missing_reported(10_000, model.into(), None);
        assert_that!(choose(&fleet, 10_001, &requirements("p")), eq(&expected));
    }
}

#[test]
fn engine_that_serves_between_refusals_does_not_count_as_another_endpoint() {
    let engine = entry("a", "here", &["m", "n", "o", "p"]);
    let mut fleet = fleet(std::slice::from_ref(&engine));
    let known = fleet.get_mut(&engine.id).expect("it is registered");
    known.missing_reported(10_000, "m".into(), None);
    known.missing_reported(10_000, "n".into(), None);
    known.outcome(10_000, true);
    known.missing_reported(10_000, "o".into(), None);
    assert_that!(choose(&fleet, 10_001, &requirements("p")), eq(&at("a")));
}

#[gtest]
fn requests_wait_for_full_endpoints_rather_than_go_to_one_that_breaks_connections() -> Result<()> {
    let mut fleet = fleet(&[entry("a", "here", &["m"]), entry("b", "here", &["m"])]);
    let broken = EndpointId::from("b");
    let full = EndpointId::from("a");
    for _ in 0..4 {
        let endpoint = fleet.get_mut(&full).or_fail()?;
        endpoint.started(1_000, Some(&ModelName::from("m")));
    }
    let endpoint = fleet.get_mut(&broken).or_fail()?;
    endpoint.connection_broke(1_000);
    verify_that!(choose(&fleet, 1_000, &requirements("m")), eq(&at("b")))?;
    let endpoint = fleet.get_mut(&broken).or_fail()?;
    endpoint.connection_broke(1_010);
    verify_that!(choose(&fleet, 1_010, &requirements("m")), eq(&Choice::Full))?;
    verify_that!(choose(&fleet, 1_809, &requirements("m")), eq(&Choice::Full))?;
    verify_that!(choose(&fleet, 1_810, &requirements("m")), eq(&at("b")))?;
    fleet.get_mut(&broken).or_fail()?.responded();
    verify_that!(choose(&fleet, 1_100, &requirements("m")), eq(&at("b")))
}

#[gtest]
fn endpoint_that_broke_connections_gets_one_request_at_a_time_until_it_answers() -> Result<()> {
    let mut fleet = fleet(&[entry("a", "here", &["m"]), entry("b", "here", &["m"])]);
    let model = ModelName::from("m");
    let full = EndpointId::from("a");
    for _ in 0..4 {
        fleet.get_mut(&full).or_fail()?.started(1_000, Some(&model));
    }
    let id = EndpointId::from("b");
    let endpoint = fleet.get_mut(&id).or_fail()?;
    endpoint.connection_broke(1_000);
    endpoint.connection_broke(1_000);
    let later_ms = 1_800;
    verify_that!(choose(&fleet, later_ms, &requirements("m")), eq(&at("b")))?;
    fleet
        .get_mut(&id)
        .or_fail()?
        .started(later_ms, Some(&model));
    verify_that!(
        choose(&fleet, later_ms, &requirements("m")),
        eq(&Choice::Full)
    )?;
    fleet.get_mut(&id).or_fail()?.responded();
    verify_that!(choose(&fleet, later_ms, &requirements("m")), eq(&at("b")))
}

#[gtest]
fn endpoint_that_breaks_connections_is_chosen_where_no_other_holds_the_model() -> Result<()> {
    let mut fleet = fleet(&[entry("a", "here", &["other"]), entry("b", "here", &["m"])]);
    let endpoint = fleet.get_mut(&EndpointId::from("b")).or_fail()?;
    for _ in 0..3 {
        endpoint.connection_broke(1_000);
    }
    verify_that!(choose(&fleet, 1_000, &requirements("m")), eq(&at("b")))
}

#[gtest]
fn endpoint_that_says_it_leaves_gets_nothing_new_until_it_restarts() -> Result<()> {
    let mut fleet = fleet(&[entry("a", "here", &["m"])]);
    let endpoint = fleet.get_mut(&EndpointId::from("a")).or_fail()?;
    endpoint.said_it_leaves();
    // The registry lags behind, whatever it says.
    fleet.registered(entry("a", "here", &["m", "n"]));
    verify_that!(
        choose(&fleet, 10_000, &requirements("m")),
        eq(&Choice::NoEndpoint)
    )?;
    let restarted = EndpointEntry {
        born_unix_ms: Some(2),
        ..entry("a", "here", &["m"])
    };
    fleet.registered(restarted);
    verify_that!(choose(&fleet, 10_000, &requirements("m")), eq(&at("a")))
}

#[gtest]
fn endpoint_that_names_a_time_gets_nothing_before() -> Result<()> {
    let mut fleet = fleet(&[entry("a", "here", &["m"]), entry("b", "here", &["m"])]);
    let mut hold = |id: &str, hold_ms| -> Result<()> {
        let endpoint = fleet.get_mut(&EndpointId::from(id)).or_fail()?;
        endpoint.hold_back(1_000, hold_ms);
        Ok(())
    };
    hold("a", 2_000)?;
    // A shorter time that is named later does not shorten it.
    hold("a", 100)?;
    verify_that!(choose(&fleet, 1_500, &requirements("m")), eq(&at("b")))?;
    verify_that!(
        fleet.ready_ms(1_500, &requirements("m"), &Choice::Full),
        none()
    )?;
    let endpoint = fleet.get_mut(&EndpointId::from("b")).or_fail()?;
    endpoint.hold_back(1_000, 5_000);
    verify_that!(choose(&fleet, 2_999, &requirements("m")), eq(&Choice::Full))?;
    verify_that!(
        fleet.ready_ms(2_999, &requirements("m"), &Choice::Full),
        some(eq(3_000))
    )?;
    verify_that!(choose(&fleet, 3_000, &requirements("m")), eq(&at("a")))
}
