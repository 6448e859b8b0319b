//! Routers that space out prompts keep more answers within their latency objectives.
//!
//! An engine reads (prefills) new prompts between the tokens of running answers, so prompts that
//! arrive together delay those answers. A simulation compares routers that send each prompt at
//! once with routers that defer prompts for a bounded time.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times, lengths and counts of a short load are small enough to be exact in an f64"
)]

use std::collections::{HashMap, VecDeque};
use std::ops::RangeInclusive;

use chicorystage_api::name::{EndpointId, ModelName, ServiceName, VmId, ZoneName};
use chicorystage_core::fleet::{
    Choice, EndpointEntry, EndpointState, FleetView, LoadedModel, PeerLoad, Prompt, PromptPace,
    Requirements,
};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ROUTERS: usize = 4;
const ENGINES: usize = 3;
const SLOTS: u32 = 64;
const OBJECTIVE_MS: f64 = 300.0;
const PAUSE_OBJECTIVE_MS: f64 = 150.0;
const DEFER_MAX_MS: u64 = 100;
const LOAD_MS: u64 = 40_000;
const SEEDS: RangeInclusive<u64> = 1..=6;

/// Timing of the deployed engines: a step, its growth per answer, and the prefill rate.
const STEP_MS: f64 = 4.43;
const STEP_MS_PER_ANSWER: f64 = 0.0194;
const TOKENS_READ_PER_MS: f64 = 38.1;
const TOKENS_READ_PER_STEP: u64 = 2_048;
const TOKENS_PER_EVENT: u64 = 6;

fn engine_id(i: usize) -> EndpointId {
    EndpointId::from(format!("e{i}"))
}

fn fleet() -> FleetView {
    let mut fleet = FleetView::default();
    for i in 0..ENGINES {
        let port = u16::try_from(9_000 + i).expect("a small number");
        fleet.registered(EndpointEntry {
            id: engine_id(i),
            service: ServiceName::from("llm"),
            address: ([127, 0, 0, 1], port).into(),
            zone: ZoneName::from("here"),
            slots: SLOTS,
            state: EndpointState::Ready,
            born_unix_ms: Some(1),
            software: None,
            models: vec![LoadedModel {
                model: ModelName::from("m"),
                adapters: Vec::new(),
            }],
        });
    }
    fleet
}

fn requirements(prompt: Prompt) -> Requirements {
    Requirements {
        is_resumable: false,
        is_most_urgent: false,
        service: ServiceName::from("llm"),
        software: None,
        model: Some(ModelName::from("m")),
        adapter: None,
        prompt,
        avoid: Vec::new(),
    }
}

/// A request and the part of the answer that its caller has received.
#[derive(Clone, Debug)]
struct Request {
    router: usize,
    arrived_ms: u64,
    prompt_tokens: u64,
    unread_tokens: u64,
    tokens_left: u64,
    event_tokens: u64,
    event_ms: Option<f64>,
    is_late: bool,
}

impl Request {
    fn record_event(&mut self, now_ms: f64) {
        let missed_objective = match self.event_ms {
            Some(event_ms) => now_ms - event_ms > PAUSE_OBJECTIVE_MS,
            None => now_ms - self.arrived_ms as f64 > OBJECTIVE_MS,
        };
        self.is_late |= missed_objective;
        self.event_ms = Some(now_ms);
        self.event_tokens = 0;
    }
}

/// A simulated engine that reads prompts between the tokens of its running answers.
#[derive(Debug, Default)]
struct Engine {
    running: Vec<Request>,
    step_ends_ms: f64,
}

impl Engine {
    /// Runs the steps that begin by `now_ms`; returns the requests whose answers are complete.
    fn advance(&mut self, now_ms: f64) -> Vec<Request> {
        let mut completed = Vec::new();
        while self.step_ends_ms <= now_ms {
            if self.running.is_empty() {
                self.step_ends_ms = now_ms + 1.0;
                break;
            }
            let read_tokens = self.read();
            let answers = self.running.len() as f64;
            self.step_ends_ms +=
                STEP_MS + STEP_MS_PER_ANSWER * answers + read_tokens as f64 / TOKENS_READ_PER_MS;
            self.write();
            completed.extend(
                self.running
                    .extract_if(.., |request| request.tokens_left == 0),
            );
        }
        completed
    }

    fn read(&mut self) -> u64 {
        let mut budget_tokens = TOKENS_READ_PER_STEP;
        for request in &mut self.running {
            let read_tokens = request.unread_tokens.min(budget_tokens);
            request.unread_tokens -= read_tokens;
            budget_tokens -= read_tokens;
        }
        TOKENS_READ_PER_STEP - budget_tokens
    }

    fn write(&mut self) {
        let now_ms = self.step_ends_ms;
        for request in self
            .running
            .iter_mut()
            .filter(|request| request.unread_tokens == 0)
        {
            request.tokens_left -= 1;
            request.event_tokens += 1;
            let is_first = request.event_ms.is_none();
            if is_first || request.event_tokens == TOKENS_PER_EVENT || request.tokens_left == 0 {
                request.record_event(now_ms);
            }
        }
    }
}

/// Returns requests in order of arrival, with the traffic profile of the deployment's callers.
///
/// Intervals, prompt lengths and answer lengths are distributed exponentially.
fn requests(seed: u64, rate_per_s: f64) -> VecDeque<Request> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut requests = VecDeque::new();
    let mut at_ms = 0.0;
    while at_ms < LOAD_MS as f64 {
        let mut exponential = |mean: f64| -mean * (1.0 - random.random::<f64>()).ln();
        at_ms += exponential(1_000.0 / rate_per_s);
        let prompt_tokens = exponential(543.0).clamp(20.0, 2_310.0) as u64;
        let answer_events = exponential(47.0).clamp(1.0, 159.0) as u64;
        requests.push_back(Request {
            router: random.random_range(0..ROUTERS),
            arrived_ms: at_ms as u64,
            prompt_tokens,
            unread_tokens: prompt_tokens,
            tokens_left: answer_events * TOKENS_PER_EVENT,
            event_tokens: 0,
            event_ms: None,
            is_late: false,
        });
    }
    requests
}

/// Returns the share of answers on time when routers defer prompts for at most `defer_max_ms`.
///
/// With `None` each prompt is sent at once.
fn share_on_time(seed: u64, rate_per_s: f64, defer_max_ms: Option<u64>) -> f64 {
    let mut arriving = requests(seed, rate_per_s);
    let total = arriving.len();
    let mut fleets = vec![fleet(); ROUTERS];
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut waiting: VecDeque<Request> = VecDeque::new();
    let mut on_time = 0;
    for now_ms in 0..2 * LOAD_MS {
        for (i, engine) in engines.iter_mut().enumerate() {
            for completed in engine.advance(now_ms as f64) {
                let endpoint = fleets[completed.router]
                    .get_mut(&engine_id(i))
                    .expect("known");
                endpoint.ended(Some(&ModelName::from("m")));
                on_time += usize::from(!completed.is_late);
            }
        }
        while arriving
            .front()
            .is_some_and(|next| next.arrived_ms <= now_ms)
        {
            waiting.extend(arriving.pop_front());
        }
        for request in std::mem::take(&mut waiting) {
            let prompt = Prompt {
                tokens: defer_max_ms.map_or(0, |_| request.prompt_tokens),
                defer_until_ms: request.arrived_ms + defer_max_ms.unwrap_or(0),
            };
            let fleet = &mut fleets[request.router];
            let choice = fleet.choose(now_ms, &ZoneName::from("here"), &requirements(prompt));
            let Choice::Endpoint(id) = choice else {
                waiting.push_back(request);
                continue;
            };
            let endpoint = fleet.get_mut(&id).expect("known");
            endpoint.started(now_ms, Some(&ModelName::from("m")));
            endpoint.pace.sent(now_ms, prompt.tokens, ROUTERS);
            let i = (0..ENGINES)
                .find(|i| engine_id(*i) == id)
                .expect("one of them");
            engines[i].running.push(request);
        }
    }
    on_time as f64 / total as f64
}

/// Returns the mean share on time over all seeds, first without spacing, then with it.
fn unspaced_and_spaced_shares(rate_per_s: f64) -> (f64, f64) {
    let mean = |defer_max_ms| {
        let shares = SEEDS.map(|seed| share_on_time(seed, rate_per_s, defer_max_ms));
        shares.sum::<f64>() / SEEDS.count() as f64
    };
    let (unspaced, spaced) = (mean(None), mean(Some(DEFER_MAX_MS)));
    println!("{rate_per_s} requests/s: on time {unspaced:.3} sent at once, {spaced:.3} spaced");
    (unspaced, spaced)
}

#[test]
fn spaced_prompts_keep_more_answers_on_time() {
    for rate_per_s in [36.0, 50.0] {
        let (unspaced, spaced) = unspaced_and_spaced_shares(rate_per_s);
        assert_that!(spaced, ge(0.95), "{rate_per_s} requests/s");
        assert_that!(spaced, gt(unspaced), "{rate_per_s} requests/s");
    }
}

#[test]
fn spacing_keeps_more_answers_on_time_also_at_full_engines() {
    let (unspaced, spaced) = unspaced_and_spaced_shares(75.0);
    assert_that!(spaced, gt(unspaced));
}

#[test]
fn pace_is_consumed_by_prompt_length_and_refills_over_time() {
    let mut pace = PromptPace::default();
    assert_that!(pace.defer_ms(1_000), eq(0.0));
    pace.sent(1_000, 1_100, 1);
    assert_that!(pace.defer_ms(1_000), near(50.0, 0.01));
    assert_that!(pace.defer_ms(1_030), near(20.0, 0.01));
    assert_that!(pace.defer_ms(1_060), eq(0.0));
    // Each of four routers has a quarter of the engine's prefill rate.
    pace.sent(2_000, 1_100, 4);
    assert_that!(pace.defer_ms(2_000), near(200.0, 0.01));
}

// Of 68 routers, two have requests at the engine beside this one.
#[test]
fn router_shares_the_pace_only_with_those_that_use_the_engine() {
    let mut fleet = fleet();
    let id = engine_id(0);
    assert_that!(fleet.sharing_routers(&id, 68), eq(1));
    let in_progress = HashMap::from([((id.clone(), None), 2)]);
    let load = PeerLoad {
        valid_until_ms: 1_000,
        in_progress,
    };
    fleet.peer_load(VmId::from("holder"), load);
    assert_that!(fleet.sharing_routers(&id, 68), eq(3));
    assert_that!(fleet.sharing_routers(&id, 2), eq(2));
}

#[test]
fn request_is_deferred_only_until_its_limit() {
    let mut fleet = fleet();
    let prompt = Prompt {
        tokens: 2_000,
        defer_until_ms: 50,
    };
    for _ in 0..ENGINES {
        let choice = fleet.choose(0, &ZoneName::from("here"), &requirements(prompt));
        let Choice::Endpoint(id) = choice else {
            panic!("an idle engine was not chosen: {choice:?}");
        };
        let endpoint = fleet.get_mut(&id).expect("known");
        endpoint.pace.sent(0, prompt.tokens, ROUTERS);
    }
    let choose = |now_ms| fleet.choose(now_ms, &ZoneName::from("here"), &requirements(prompt));
    assert_that!(choose(0), eq(&Choice::Reading));
    assert_that!(choose(49), eq(&Choice::Reading));
    assert_that!(matches!(choose(50), Choice::Endpoint(_)), eq(true));
}
