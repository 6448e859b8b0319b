//! Many routers choose among the same endpoints by reports that are old.
//!
//! In virtual time, 68 routers send requests for a model that a few engines have loaded. Each
//! router knows its own requests at once. The others' reach the lease holder with one report and
//! the router with the next, so that they are up to two intervals old. What callers get is judged
//! by how many requests find their engine's places taken.

use std::collections::HashMap;

use chicorystage_api::name::{EndpointId, ModelName, ServiceName, VmId, ZoneName};
use chicorystage_core::fleet::{
    Choice, EndpointEntry, EndpointState, FleetView, LoadedModel, PeerLoad, Prompt, Requirements,
    StaleLoad, load_period_ms,
};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ROUTERS: usize = 68;
const ENGINES: usize = 8;
const SLOTS: u32 = 16;
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 30_000;
/// Share of steps in which a request arrives, 50 a second; with [`ANSWER_MS`] requests take 0.59 of
/// all places.
const ARRIVAL_SHARE: f64 = 0.5;
/// Shortest and longest time of an answer, in milliseconds.
const ANSWER_MS: std::ops::Range<u64> = 300..2_700;
/// Largest share of requests that may find all places of their engine taken: 95 in 100 begin at once.
const CROWDED_SHARE_MAX: f64 = 0.05;

/// A request in progress.
struct Running {
    router: usize,
    engine: usize,
    ends_ms: u64,
}

struct World {
    random: StdRng,
    now_ms: u64,
    /// Requests in progress by router and engine, as the lease holder knows them.
    reported: HashMap<(usize, usize), u32>,
    routers: Vec<FleetView>,
    running: Vec<Running>,
    sent: u32,
    crowded: u32,
}

fn engine_id(engine: usize) -> EndpointId {
    EndpointId::from(format!("e{engine}"))
}

fn model() -> ModelName {
    ModelName::from("m")
}

fn view() -> FleetView {
    let mut view = FleetView::default();
    for engine in 0..ENGINES {
        view.registered(EndpointEntry {
            id: engine_id(engine),
            service: ServiceName::from("llm"),
            address: ([127, 0, 0, 1], 9_000).into(),
            zone: ZoneName::from("z"),
            slots: SLOTS,
            state: EndpointState::Ready,
            born_unix_ms: Some(1),
            software: None,
            models: vec![LoadedModel {
                model: model(),
                adapters: Vec::new(),
            }],
        });
    }
    view
}

fn requirements() -> Requirements {
    Requirements {
        service: ServiceName::from("llm"),
        model: Some(model()),
        adapter: None,
        software: None,
        is_resumable: false,
        is_most_urgent: false,
        prompt: Prompt::default(),
        avoid: Vec::new(),
    }
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            reported: HashMap::new(),
            routers: (0..ROUTERS).map(|_| view()).collect(),
            running: Vec::new(),
            sent: 0,
            crowded: 0,
        }
    }

    /// Runs with the given choice and returns the share of requests that found no free place.
    fn crowded_share(mut self, choose: impl Fn(&FleetView, u64, f64) -> Choice) -> f64 {
        let period_ms = load_period_ms(ROUTERS);
        while self.now_ms < RUN_MS {
            self.now_ms += STEP_MS;
            self.end_requests();
            if self.now_ms.is_multiple_of(period_ms) {
                self.report_loads(period_ms);
            }
            if self.random.random_bool(ARRIVAL_SHARE) {
                self.send(&choose);
            }
        }
        f64::from(self.crowded) / f64::from(self.sent)
    }

    fn end_requests(&mut self) {
        let now_ms = self.now_ms;
        for ended in self
            .running
            .extract_if(.., |running| running.ends_ms <= now_ms)
        {
            let endpoint = self.routers[ended.router].get_mut(&engine_id(ended.engine));
            endpoint.expect("a known engine").ended(Some(&model()));
        }
    }

    /// Tells each router what the lease holder knows of all others, and renews that.
    fn report_loads(&mut self, period_ms: u64) {
        for (i, router) in self.routers.iter_mut().enumerate() {
            let mut in_progress = HashMap::new();
            for ((_, engine), count) in self.reported.iter().filter(|((from, _), _)| *from != i) {
                *in_progress.entry((engine_id(*engine), None)).or_default() += count;
            }
            let load = PeerLoad {
                valid_until_ms: self.now_ms + 3 * period_ms,
                in_progress,
            };
            router.replace_peer_loads(VmId::from("holder"), load);
        }
        self.reported.clear();
        for running in &self.running {
            let key = (running.router, running.engine);
            *self.reported.entry(key).or_default() += 1;
        }
    }

    fn send(&mut self, choose: &impl Fn(&FleetView, u64, f64) -> Choice) {
        let router = self.random.random_range(0..ROUTERS);
        let random = self.random.random();
        let choice = choose(&self.routers[router], self.now_ms, random);
        self.sent += 1;
        let Choice::Endpoint(id) = choice else {
            self.crowded += 1;
            return;
        };
        let engine = (0..ENGINES).find(|engine| engine_id(*engine) == id);
        let engine = engine.expect("a known engine");
        let occupancy = self
            .running
            .iter()
            .filter(|running| running.engine == engine);
        if occupancy.count() >= SLOTS as usize {
            self.crowded += 1;
        }
        let endpoint = self.routers[router].get_mut(&id).expect("a known engine");
        endpoint.started(self.now_ms, Some(&model()));
        self.running.push(Running {
            router,
            engine,
            ends_ms: self.now_ms + self.random.random_range(ANSWER_MS),
        });
    }
}

fn zone() -> ZoneName {
    ZoneName::from("z")
}

/// Chooses as a gateway does.
fn spread(fleet: &FleetView, now_ms: u64, random: f64) -> Choice {
    let stale_load = StaleLoad {
        age_ms: load_period_ms(ROUTERS),
        random,
    };
    fleet.choose_spread(now_ms, &zone(), &requirements(), stale_load)
}

#[test]
fn routers_with_old_reports_do_not_crowd_on_one_engine() {
    for seed in 0..8 {
        let share = World::new(seed).crowded_share(spread);
        assert_that!(share, lt(CROWDED_SHARE_MAX), "seed {seed}");
    }
}

// What the spreading is for: the endpoint of the least reported load is the same for all routers.
#[test]
fn least_reported_load_alone_crowds_engines() {
    let least = |fleet: &FleetView, now_ms, _random| fleet.choose(now_ms, &zone(), &requirements());
    let share = World::new(0).crowded_share(least);
    assert_that!(share, gt(CROWDED_SHARE_MAX));
}

// With fresh reports the endpoint of the least load is chosen, whatever the random number.
#[test]
fn fresh_reports_leave_nothing_to_chance() {
    let mut fleet = view();
    // The second and the last engine are equal, and the rest have more requests.
    for engine in (0..ENGINES - 1).filter(|engine| *engine != 1) {
        let endpoint = fleet.get_mut(&engine_id(engine)).expect("a known engine");
        endpoint.started(0, Some(&model()));
    }
    for i in 0..10 {
        let stale_load = StaleLoad {
            age_ms: 0,
            random: f64::from(i) / 10.0,
        };
        let choice = fleet.choose_spread(0, &zone(), &requirements(), stale_load);
        assert_that!(choice, eq(&Choice::Endpoint(engine_id(1))));
    }
}
