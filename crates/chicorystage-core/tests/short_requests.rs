//! Many routers send short requests to a few endpoints by reports that are old.
//!
//! In virtual time, routers send requests of a plain service with short answers. Between two reports most
//! requests end that the last one told of, so that an endpoint which was busy then is not busy now. What
//! callers get is judged by how many requests find all places of their endpoint taken while another
//! endpoint has a free one.

use std::collections::HashMap;

use chicorystage_api::name::{EndpointId, ServiceName, VmId, ZoneName};
use chicorystage_core::fleet::{
    Choice, EndpointEntry, EndpointState, FleetView, PeerLoad, Prompt, Requirements, StaleLoad,
    load_period_ms,
};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENDPOINTS: usize = 4;
const SLOTS: u32 = 6;
const STEP_MS: u64 = 1;
const RUN_MS: u64 = 30_000;
/// Shortest and longest time of an answer, in milliseconds.
const ANSWER_MS: std::ops::Range<u64> = 30..120;
/// Share of steps in which a request arrives, 190 a second: they take 0.6 of all places.
const ARRIVAL_SHARE: f64 = 0.19;
/// Largest share of requests that may find their endpoint overrun, as a part of the share without learning
/// how long requests stay.
const IMPROVED_PART: f64 = 0.5;

/// A request in progress.
struct Running {
    router: usize,
    endpoint: usize,
    began_ms: u64,
    ends_ms: u64,
}

struct World {
    random: StdRng,
    now_ms: u64,
    reported: HashMap<(usize, usize), u32>,
    routers: Vec<FleetView>,
    running: Vec<Running>,
    learns: bool,
    sent: u32,
    overrun: u32,
}

fn endpoint_id(endpoint: usize) -> EndpointId {
    EndpointId::from(format!("e{endpoint}"))
}

fn service() -> ServiceName {
    ServiceName::from("app")
}

fn view() -> FleetView {
    let mut view = FleetView::default();
    for endpoint in 0..ENDPOINTS {
        view.registered(EndpointEntry {
            id: endpoint_id(endpoint),
            service: service(),
            address: ([127, 0, 0, 1], 9_000).into(),
            zone: ZoneName::from("z"),
            slots: SLOTS,
            state: EndpointState::Ready,
            born_unix_ms: Some(1),
            software: None,
            models: Vec::new(),
        });
    }
    view
}

impl World {
    /// Creates routers that learn how long requests stay if `learns`.
    fn new(seed: u64, routers: usize, learns: bool) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            reported: HashMap::new(),
            routers: (0..routers).map(|_| view()).collect(),
            running: Vec::new(),
            learns,
            sent: 0,
            overrun: 0,
        }
    }

    /// Returns the share of requests that found their endpoint full while another one was not.
    fn overrun_share(mut self) -> f64 {
        let period_ms = load_period_ms(self.routers.len());
        while self.now_ms < RUN_MS {
            self.now_ms += STEP_MS;
            self.end_requests();
            if self.now_ms.is_multiple_of(period_ms) {
                self.report_loads(period_ms);
            }
            if self.random.random_bool(ARRIVAL_SHARE) {
                self.send(period_ms);
            }
        }
        f64::from(self.overrun) / f64::from(self.sent)
    }

    fn end_requests(&mut self) {
        let now_ms = self.now_ms;
        for ended in self
            .running
            .extract_if(.., |running| running.ends_ms <= now_ms)
        {
            let router = &mut self.routers[ended.router];
            let endpoint = router.get_mut(&endpoint_id(ended.endpoint));
            endpoint.expect("a known endpoint").ended(None);
            if self.learns {
                router.request_ended(&service(), now_ms - ended.began_ms);
            }
        }
    }

    /// Tells each router what the lease holder knows of all others, and renews that.
    fn report_loads(&mut self, period_ms: u64) {
        for (i, router) in self.routers.iter_mut().enumerate() {
            let mut in_progress = HashMap::new();
            for ((_, endpoint), count) in self.reported.iter().filter(|((from, _), _)| *from != i) {
                *in_progress
                    .entry((endpoint_id(*endpoint), None))
                    .or_default() += count;
            }
            let load = PeerLoad {
                valid_until_ms: self.now_ms + 3 * period_ms,
                in_progress,
            };
            router.replace_peer_loads(VmId::from("holder"), load);
        }
        self.reported.clear();
        for running in &self.running {
            let key = (running.router, running.endpoint);
            *self.reported.entry(key).or_default() += 1;
        }
    }

    fn send(&mut self, period_ms: u64) {
        let router = self.random.random_range(0..self.routers.len());
        let stale_load = StaleLoad {
            age_ms: period_ms,
            random: self.random.random(),
        };
        let requirements = Requirements {
            service: service(),
            model: None,
            adapter: None,
            software: None,
            is_resumable: false,
            is_most_urgent: false,
            prompt: Prompt::default(),
            avoid: Vec::new(),
        };
        let zone = ZoneName::from("z");
        let fleet = &mut self.routers[router];
        let choice = fleet.choose_spread(self.now_ms, &zone, &requirements, stale_load);
        self.sent += 1;
        let Choice::Endpoint(id) = choice else {
            // The request waits, although an endpoint may have room.
            let is_idle = (0..ENDPOINTS).any(|other| self.has_room(other));
            self.overrun += u32::from(is_idle);
            return;
        };
        let endpoint = (0..ENDPOINTS).find(|endpoint| endpoint_id(*endpoint) == id);
        let endpoint = endpoint.expect("a known endpoint");
        let is_idle_elsewhere = (0..ENDPOINTS).any(|other| self.has_room(other));
        if !self.has_room(endpoint) && is_idle_elsewhere {
            self.overrun += 1;
        }
        let known = self.routers[router].get_mut(&id).expect("a known endpoint");
        known.started(self.now_ms, None);
        self.running.push(Running {
            router,
            endpoint,
            began_ms: self.now_ms,
            ends_ms: self.now_ms + self.random.random_range(ANSWER_MS),
        });
    }

    fn has_room(&self, endpoint: usize) -> bool {
        let there = self
            .running
            .iter()
            .filter(|running| running.endpoint == endpoint);
        there.count() < SLOTS as usize
    }
}

#[test]
fn short_requests_do_not_overrun_the_endpoint_that_was_idle_in_the_last_report() {
    for routers in [5, 27, 68] {
        let share = |learns| -> f64 {
            let shares = (0..4).map(|seed| World::new(seed, routers, learns).overrun_share());
            shares.sum::<f64>() / 4.0
        };
        let (learned, fixed) = (share(true), share(false));
        println!(
            "{routers} routers: overrun {learned:.4} of the requests, {fixed:.4} without learning"
        );
        assert_that!(learned, le(fixed * IMPROVED_PART), "{routers} routers");
    }
}
