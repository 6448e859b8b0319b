//! What a view tells of a choice, compared with the choices that it makes.

use std::collections::HashMap;

use chicorystage_api::name::{AdapterName, EndpointId, ModelName, ServiceName, VmId, ZoneName};
use chicorystage_core::fleet::{
    Choice, ChoiceReport, EndpointEntry, EndpointState, FleetView, LoadedModel, PeerLoad, Prompt,
    Rejection, Requirements, StaleLoad,
};
use googletest::prelude::*;

const NOW_MS: u64 = 10_000;
const SLOTS: u32 = 8;
/// Number of choices that are made; their random numbers are evenly spread.
const CHOICES: u32 = 10_000;
/// Largest difference between a probability that is told and the share of choices.
const DIFFERENCE_MAX: f64 = 0.001;

fn requirements() -> Requirements {
    Requirements {
        service: ServiceName::from("llm"),
        model: Some(ModelName::from("m")),
        adapter: None,
        software: None,
        is_resumable: false,
        is_most_urgent: false,
        prompt: Prompt::default(),
        avoid: Vec::new(),
    }
}

/// Returns a view of engines with the given identities, models and requests of other routers.
fn view(engines: &[(&str, &str, u32)]) -> FleetView {
    let mut view = FleetView::default();
    let mut in_progress = HashMap::new();
    for (id, model, others) in engines {
        let id = EndpointId::from(*id);
        in_progress.insert((id.clone(), None), *others);
        view.registered(EndpointEntry {
            id,
            service: ServiceName::from("llm"),
            address: ([127, 0, 0, 1], 9_000).into(),
            zone: ZoneName::from("z"),
            slots: SLOTS,
            state: EndpointState::Ready,
            born_unix_ms: Some(1),
            software: None,
            models: vec![LoadedModel {
                model: ModelName::from(*model),
                adapters: Vec::new(),
            }],
        });
    }
    let load = PeerLoad {
        valid_until_ms: NOW_MS + 1_000,
        in_progress,
    };
    view.replace_peer_loads(VmId::from("holder"), load);
    view
}

fn report(view: &FleetView, requirements: &Requirements, age_ms: u64) -> ChoiceReport {
    view.report_choice(NOW_MS, &ZoneName::from("z"), requirements, age_ms)
}

#[test]
fn probabilities_are_those_with_which_endpoints_are_chosen() {
    let view = view(&[
        ("e1", "m", 2),
        ("e2", "m", 4),
        ("e3", "m", 7),
        ("e4", "n", 0),
    ]);
    for age_ms in [0, 120, 600] {
        let mut chosen: HashMap<EndpointId, u32> = HashMap::new();
        for i in 0..CHOICES {
            let stale_load = StaleLoad {
                age_ms,
                random: f64::from(i) / f64::from(CHOICES),
            };
            let zone = ZoneName::from("z");
            let choice = view.choose_spread(NOW_MS, &zone, &requirements(), stale_load);
            if let Choice::Endpoint(id) = choice {
                *chosen.entry(id).or_default() += 1;
            }
        }
        for endpoint in report(&view, &requirements(), age_ms).endpoints {
            let count = chosen.get(&endpoint.id).copied().unwrap_or(0);
            let share = f64::from(count) / f64::from(CHOICES);
            let difference = (share - endpoint.probability).abs();
            assert_that!(
                difference,
                le(DIFFERENCE_MAX),
                "{} at {age_ms} ms",
                endpoint.id
            );
        }
    }
}

#[test]
fn each_endpoint_that_cannot_take_the_request_has_its_reason() {
    let mut view = view(&[
        ("e1", "m", 1),
        ("e2", "m", SLOTS),
        ("e3", "n", 0),
        ("e4", "m", 0),
    ]);
    let leaving = EndpointId::from("e4");
    view.get_mut(&leaving).expect("known").said_it_leaves();
    let report = report(&view, &requirements(), 0);
    assert_that!(report.missing, none());
    let reasons: Vec<Option<Rejection>> = report
        .endpoints
        .iter()
        .map(|endpoint| endpoint.rejection)
        .collect();
    let expected = vec![
        None,
        Some(Rejection::Full),
        Some(Rejection::NoModel),
        Some(Rejection::Unusable),
    ];
    assert_that!(reasons, eq(&expected));
}

#[test]
fn a_request_that_no_endpoint_can_take_has_the_reason_of_a_choice() {
    let view = view(&[("e1", "m", 1), ("e2", "n", 0)]);
    let mut adapter = requirements();
    adapter.adapter = Some(AdapterName::from("a1"));
    let zone = ZoneName::from("z");
    let expected = view.choose(NOW_MS, &zone, &adapter);
    assert_that!(expected, eq(&Choice::NoAdapter));
    assert_that!(report(&view, &adapter, 0).missing, some(eq(&expected)));
}
