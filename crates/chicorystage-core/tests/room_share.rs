//! Many routers with requests that wait for the same few engines.
//!
//! In virtual time, requests arrive at 31 routers for a model that three engines hold, at more than these
//! can serve. What does not fit waits at its router. The load that routers know is an interval or two old,
//! some reports are lost, the lease holder is away for a second, and a third of the routers start anew.
//! Judged is how far engines are overrun, and whether slots stay free while requests wait.

use std::collections::HashMap;

use chicorystage_api::name::{EndpointId, ModelName, ServiceName, VmId, ZoneName};
use chicorystage_core::fleet::{
    Choice, EndpointEntry, EndpointState, FleetView, LoadedModel, PeerLoad, Prompt, Requirements,
    RoomReport, StaleLoad, WaitingRequests, load_period_ms, load_valid_ms,
};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ROUTERS: usize = 31;
const ENGINES: usize = 3;
const SLOTS: u32 = 24;
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 20_000;
const WARM_UP_MS: u64 = 3_000;
/// Share of steps in which a request arrives, 70 a second: a quarter more than the engines serve.
const ARRIVAL_SHARE: f64 = 0.7;
/// Shortest and longest time of an answer, in milliseconds.
const ANSWER_MS: std::ops::Range<u64> = 600..1_980;
/// Share of the reports that are lost.
const LOST_SHARE: f64 = 0.03;
/// Time in which there is no lease holder, and no report, in milliseconds.
const SILENT_MS: std::ops::Range<u64> = 8_000..9_000;
/// Time at which a third of the routers start anew, in milliseconds.
const RESTART_MS: u64 = 14_000;
/// Time for which a request waits at most, in milliseconds.
const WAIT_MS: u64 = 2_000;
const SEEDS: u64 = 8;
/// Interval between two reports where a test makes them, in milliseconds.
const INTERVAL_MS: u64 = 140;
/// Slots that are used all the same, of 100.
const USED_PERCENT_MIN: u64 = 90;

struct Running {
    router: usize,
    engine: usize,
    began_ms: u64,
    ends_ms: u64,
}

struct World {
    random: StdRng,
    now_ms: u64,
    divides: bool,
    routers: Vec<FleetView>,
    /// Arrival times of the requests that wait at each router.
    waiting: Vec<Vec<u64>>,
    /// Requests in progress and waiting by router, as the lease holder knows them.
    reported: Vec<(HashMap<usize, u32>, u32)>,
    running: Vec<Running>,
    /// Sums over all steps of requests beyond the slots, and of slots in use.
    overrun: u64,
    used: u64,
    steps: u64,
}

fn engine_id(engine: usize) -> EndpointId {
    EndpointId::from(format!("e{engine}"))
}

fn model() -> ModelName {
    ModelName::from("m")
}

fn requirements(is_most_urgent: bool) -> Requirements {
    Requirements {
        service: ServiceName::from("llm"),
        model: Some(model()),
        adapter: None,
        software: None,
        is_resumable: false,
        is_most_urgent,
        prompt: Prompt::default(),
        avoid: Vec::new(),
    }
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

impl World {
    fn new(seed: u64, divides: bool) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            divides,
            routers: (0..ROUTERS).map(|_| view()).collect(),
            waiting: vec![Vec::new(); ROUTERS],
            reported: vec![(HashMap::new(), 0); ROUTERS],
            running: Vec::new(),
            overrun: 0,
            used: 0,
            steps: 0,
        }
    }

    fn run(mut self) -> Self {
        let period_ms = load_period_ms(ROUTERS);
        while self.now_ms < RUN_MS {
            self.now_ms += STEP_MS;
            self.end_requests();
            if self.now_ms == RESTART_MS {
                self.restart();
            }
            self.report(period_ms);
            if self.random.random_bool(ARRIVAL_SHARE) {
                let router = self.random.random_range(0..ROUTERS);
                self.waiting[router].push(self.now_ms);
            }
            for router in 0..ROUTERS {
                self.send(router, period_ms);
            }
            if self.now_ms > WARM_UP_MS {
                self.count();
            }
        }
        self
    }

    fn end_requests(&mut self) {
        let now_ms = self.now_ms;
        for ended in self
            .running
            .extract_if(.., |running| running.ends_ms <= now_ms)
        {
            let router = &mut self.routers[ended.router];
            let endpoint = router.get_mut(&engine_id(ended.engine));
            endpoint.expect("a known engine").ended(Some(&model()));
            router.request_ended(&ServiceName::from("llm"), now_ms - ended.began_ms);
        }
        for waiting in &mut self.waiting {
            waiting.retain(|arrived_ms| now_ms < arrived_ms + WAIT_MS);
        }
    }

    /// Makes the reports that are due now: each router has its own moments, some reports are lost, and for
    /// a time there is no lease holder.
    fn report(&mut self, period_ms: u64) {
        for router in 0..ROUTERS {
            let offset_ms = STEP_MS * u64::try_from(router).expect("few");
            let is_due = (self.now_ms + offset_ms).is_multiple_of(period_ms);
            if !is_due || SILENT_MS.contains(&self.now_ms) || self.random.random_bool(LOST_SHARE) {
                continue;
            }
            self.tell(router, period_ms);
            let mut counts = HashMap::new();
            for running in self.running.iter().filter(|sent| sent.router == router) {
                *counts.entry(running.engine).or_default() += 1;
            }
            let waits = u32::try_from(self.waiting[router].len()).expect("few");
            self.reported[router] = (counts, waits);
        }
    }

    /// Tells a router what the lease holder knows of the others.
    fn tell(&mut self, router: usize, period_ms: u64) {
        let mut in_progress = HashMap::new();
        let mut others = 0;
        let known = self.reported.iter().enumerate();
        for (_, (counts, waits)) in known.filter(|(from, _)| *from != router) {
            for (engine, count) in counts {
                *in_progress.entry((engine_id(*engine), None)).or_default() += count;
            }
            others += waits;
        }
        let valid_until_ms = self.now_ms + load_valid_ms(ROUTERS);
        let load = PeerLoad {
            valid_until_ms,
            in_progress,
        };
        let view = &mut self.routers[router];
        view.replace_peer_loads(VmId::from("holder"), load);
        if !self.divides {
            return;
        }
        let own = u32::try_from(self.waiting[router].len()).expect("few");
        let waiting = WaitingRequests {
            own: HashMap::from([(model(), own)]),
            others: HashMap::from([(model(), others)]),
        };
        let report = RoomReport {
            routers: ROUTERS,
            interval_ms: period_ms,
            valid_until_ms,
        };
        let random = || self.random.random();
        view.share_room(self.now_ms, &waiting, report, random);
    }

    /// Starts a third of the routers anew; what waited there and ran for them is gone.
    fn restart(&mut self) {
        for router in 0..ROUTERS / 3 {
            self.routers[router] = view();
            self.waiting[router].clear();
            self.running.retain(|running| running.router != router);
        }
    }

    fn send(&mut self, router: usize, age_ms: u64) {
        while !self.waiting[router].is_empty() {
            let stale_load = StaleLoad {
                age_ms,
                random: self.random.random(),
            };
            let view = &mut self.routers[router];
            let zone = ZoneName::from("z");
            let needs = requirements(false);
            let choice = view.choose_spread(self.now_ms, &zone, &needs, stale_load);
            let Choice::Endpoint(id) = choice else {
                return;
            };
            self.waiting[router].remove(0);
            let endpoint = view.get_mut(&id).expect("a known engine");
            endpoint.started(self.now_ms, Some(&model()));
            let engine = (0..ENGINES).find(|engine| engine_id(*engine) == id);
            self.running.push(Running {
                router,
                engine: engine.expect("a known engine"),
                began_ms: self.now_ms,
                ends_ms: self.now_ms + self.random.random_range(ANSWER_MS),
            });
        }
    }

    fn count(&mut self) {
        self.steps += 1;
        for engine in 0..ENGINES {
            let running = self.running.iter().filter(|sent| sent.engine == engine);
            let running = u64::try_from(running.count()).expect("few");
            let slots = u64::from(SLOTS);
            self.overrun += running.saturating_sub(slots);
            self.used += running.min(slots);
        }
    }

    /// Returns the slots that were used, of 100.
    fn used_percent(&self) -> u64 {
        let engines = u64::try_from(ENGINES).expect("few");
        self.used * 100 / (self.steps * u64::from(SLOTS) * engines)
    }
}

#[test]
fn dividing_the_room_halves_what_engines_are_overrun_by_and_leaves_no_slots_unused() {
    let (mut alone_overrun, mut divided_overrun) = (0, 0);
    for seed in 0..SEEDS {
        let alone = World::new(seed, false).run();
        let divided = World::new(seed, true).run();
        alone_overrun += alone.overrun;
        divided_overrun += divided.overrun;
        assert_that!(divided.used_percent(), ge(USED_PERCENT_MIN), "seed {seed}");
    }
    assert_that!(divided_overrun * 2, le(alone_overrun));
}

/// Returns the view of a router that knows `others` requests of the other routers at each engine.
fn loaded(others: u32) -> FleetView {
    let mut view = view();
    let in_progress = (0..ENGINES).map(|engine| ((engine_id(engine), None), others));
    let load = PeerLoad {
        valid_until_ms: 1_000,
        in_progress: in_progress.collect(),
    };
    view.replace_peer_loads(VmId::from("holder"), load);
    view
}

fn share(view: &mut FleetView, routers: usize, own: u32, others: u32) {
    share_at(view, 0, routers, own, others);
}

fn share_at(view: &mut FleetView, now_ms: u64, routers: usize, own: u32, others: u32) {
    let waiting = WaitingRequests {
        own: HashMap::from([(model(), own)]),
        others: HashMap::from([(model(), others)]),
    };
    let report = RoomReport {
        routers,
        interval_ms: INTERVAL_MS,
        valid_until_ms: now_ms + 500,
    };
    view.share_room(now_ms, &waiting, report, || 0.0);
}

fn choose(view: &FleetView, now_ms: u64, is_most_urgent: bool) -> Choice {
    view.choose(now_ms, &ZoneName::from("z"), &requirements(is_most_urgent))
}

#[test]
fn a_router_without_waiting_requests_leaves_the_room_to_the_others_until_the_next_report() {
    let mut view = loaded(SLOTS - 2);
    share(&mut view, ROUTERS, 0, 40);
    assert_that!(choose(&view, 100, false), eq(&Choice::Full));
    assert_that!(choose(&view, 500, false), not(eq(&Choice::Full)));
}

#[test]
fn requests_that_engines_admit_first_do_not_wait_for_a_share() {
    let mut view = loaded(SLOTS - 2);
    share(&mut view, ROUTERS, 0, 40);
    assert_that!(choose(&view, 100, true), not(eq(&Choice::Full)));
}

#[test]
fn a_slot_that_an_own_request_frees_is_used_again() {
    let mut view = loaded(SLOTS - 2);
    let endpoint = view.get_mut(&engine_id(0)).expect("a known engine");
    endpoint.started(0, Some(&model()));
    share(&mut view, ROUTERS, 0, 40);
    assert_that!(choose(&view, 100, false), eq(&Choice::Full));
    let endpoint = view.get_mut(&engine_id(0)).expect("a known engine");
    endpoint.ended(Some(&model()));
    assert_that!(
        choose(&view, 100, false),
        eq(&Choice::Endpoint(engine_id(0)))
    );
}

#[test]
fn room_for_all_that_wait_is_not_divided() {
    let mut view = loaded(SLOTS / 2);
    share(&mut view, ROUTERS, 0, 30);
    assert_that!(choose(&view, 100, false), not(eq(&Choice::Full)));
}

#[test]
fn few_routers_do_not_divide_the_room() {
    let mut view = loaded(SLOTS - 2);
    let slots = usize::try_from(SLOTS).expect("few");
    share(&mut view, slots, 0, 40);
    assert_that!(choose(&view, 100, false), not(eq(&Choice::Full)));
}

/// Returns how many requests a router begins until it finds no room.
fn begin_all(view: &mut FleetView, now_ms: u64) -> u32 {
    let mut begun = 0;
    while let Choice::Endpoint(id) = choose(view, now_ms, false) {
        let endpoint = view.get_mut(&id).expect("a known engine");
        endpoint.started(now_ms, Some(&model()));
        begun += 1;
    }
    begun
}

#[test]
fn a_share_is_not_given_again_before_the_next_report() {
    let mut view = loaded(SLOTS / 2);
    share_at(&mut view, 0, ROUTERS, 40, 40);
    let share = begin_all(&mut view, 0);
    assert_that!(share, gt(0));
    for now_ms in [1, 5, 20, 60] {
        share_at(&mut view, now_ms, ROUTERS, 40, 40);
        assert_that!(begin_all(&mut view, now_ms), eq(0), "after {now_ms} ms");
    }
    share_at(&mut view, INTERVAL_MS, ROUTERS, 40, 40);
    assert_that!(begin_all(&mut view, INTERVAL_MS), gt(0));
}

#[test]
fn shares_end_when_no_request_waits_any_more() {
    let mut view = loaded(SLOTS - 2);
    share(&mut view, ROUTERS, 0, 40);
    assert_that!(view.divided_endpoints(), eq(ENGINES));
    let report = RoomReport {
        routers: ROUTERS,
        interval_ms: INTERVAL_MS,
        valid_until_ms: 500,
    };
    view.share_room(10, &WaitingRequests::default(), report, || 0.0);
    assert_that!(view.divided_endpoints(), eq(0));
    assert_that!(choose(&view, 10, false), not(eq(&Choice::Full)));
}

#[test]
fn an_engine_that_has_restarted_is_not_bound_by_its_former_share() {
    let mut view = loaded(SLOTS - 2);
    share(&mut view, ROUTERS, 0, 40);
    view.get_mut(&engine_id(1)).expect("known").restarted();
    assert_that!(
        choose(&view, 100, false),
        eq(&Choice::Endpoint(engine_id(1)))
    );
}
