//! Engines that crash behind gateways that exchange what they see over a lossy network.

mod gateways;

use std::collections::HashSet;

use chicorystage_api::name::{PromptPartId, ServiceName};
use chicorystage_core::suspects::prompt_parts::{BrokenRequest, PartEvidence, ServicePart};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use gateways::{Gateway, Message};

/// Time after the fifth crash, or a kill, from which requests with the part count, in milliseconds.
pub const SETTLED_MS: u64 = 3_000;
const CRASHES_BEFORE_SETTLING: usize = 5;
const STEP_MS: u64 = 5;
const ENGINES: usize = 18;
const ZONES: usize = 3;
const REQUESTS_PER_S: f64 = 45.0;
/// Second parts of sound prompts where a schedule sets no other number.
const SECOND_PARTS: u32 = 60;
const HEAD_MS: std::ops::Range<u64> = 10..60;
const EVENT_MS: u64 = 40;
const BEGINNING_EVENTS: u64 = 4;
const EVENTS: u64 = 40;
/// Time from the start of an attempt to the crash that it causes, in milliseconds.
const POISON_MS: std::ops::Range<u64> = 50..160;
const DOWN_MS: std::ops::Range<u64> = 2_000..4_000;
const CHECK_MS: std::ops::Range<u64> = 100..140;
/// Requests of a fan-out.
const FAN_OUT: u32 = 40;
const SERVICE: &str = "llm";
const BAD_PART: &str = "bad";

/// Requests with a part that crashes engines.
#[derive(Clone, Copy, Debug)]
pub struct Poison {
    /// Share of all requests.
    pub share: f64,
    /// Whether there are no other requests.
    pub is_alone: bool,
    /// Longest time from the start of an attempt to the crash that it causes, in milliseconds.
    pub wait_max_ms: u64,
    /// Whether the crash takes the head of the answer with it.
    pub is_head_lost: bool,
}

impl Poison {
    /// Returns requests whose answers begin soon and show it.
    pub fn new(share: f64, is_alone: bool) -> Self {
        Self {
            share,
            is_alone,
            wait_max_ms: POISON_MS.end,
            is_head_lost: false,
        }
    }
}

#[derive(Debug)]
struct Request {
    gateway: usize,
    engine: usize,
    began_ms: u64,
    head_ms: u64,
    /// Time of the crash that it causes; `None` if it is sound.
    crash_ms: Option<u64>,
    parts: Vec<PromptPartId>,
    is_past_beginning: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Engine {
    up_ms: u64,
    incarnation: u64,
}

/// Engines, gateways and callers on a simulated clock.
pub struct FleetWorld {
    pub poison: Option<Poison>,
    pub single_crashes_per_s: f64,
    pub requests_per_s: f64,
    /// Whether all prompts share a third part.
    pub has_tail: bool,
    /// Second parts of sound prompts; the first are asked for far more often.
    pub second_parts: u32,
    /// Longest time until a gateway notices that an engine has fallen silent, in milliseconds; 0 if crashes
    /// are noticed at once.
    pub noticed_max_ms: u64,
    /// Number of gateways, from the first, at which requests arrive.
    pub entry_gateways: usize,
    random: StdRng,
    now_ms: u64,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    requests: Vec<Request>,
    /// Messages with the time of their arrival and their receiver.
    messages: Vec<(u64, usize, Message)>,
    /// All parts that were ever quarantined.
    rows: Vec<ServicePart>,
    /// Parts whose quarantine the store keeps.
    in_force: HashSet<ServicePart>,
    /// Sound requests that were sent and refused.
    pub sound_sent: usize,
    pub sound_refused: usize,
    poison_sent_ms: Vec<u64>,
    poison_crashes_ms: Vec<u64>,
    killed_ms: Option<u64>,
}

impl FleetWorld {
    pub fn new(seed: u64, gateways: usize) -> Self {
        Self {
            poison: None,
            single_crashes_per_s: 0.0,
            requests_per_s: REQUESTS_PER_S,
            has_tail: false,
            second_parts: SECOND_PARTS,
            noticed_max_ms: 0,
            entry_gateways: gateways,
            random: StdRng::seed_from_u64(seed),
            now_ms: 10_000,
            engines: vec![Engine::default(); ENGINES],
            gateways: (0..gateways).map(|_| Gateway::default()).collect(),
            requests: Vec::new(),
            messages: Vec::new(),
            rows: Vec::new(),
            in_force: HashSet::new(),
            sound_sent: 0,
            sound_refused: 0,
            poison_sent_ms: Vec::new(),
            poison_crashes_ms: Vec::new(),
            killed_ms: None,
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, length_ms: u64) {
        let until_ms = self.now_ms + length_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.deliver();
            self.arrive();
            self.advance();
            self.crash_singly();
        }
    }

    pub fn quarantined(&self) -> &[ServicePart] {
        &self.rows
    }

    /// Returns the parts whose quarantine has not ended.
    pub fn quarantined_now(&self) -> Vec<ServicePart> {
        self.in_force.iter().cloned().collect()
    }

    /// Returns how many requests with the bad part were sent so late that they count.
    pub fn late_poison(&self) -> usize {
        let fifth_ms = self.poison_crashes_ms.get(CRASHES_BEFORE_SETTLING - 1);
        let Some(&fifth_ms) = fifth_ms else {
            return 0;
        };
        let from_ms = fifth_ms.max(self.killed_ms.unwrap_or(0)) + SETTLED_MS;
        let sent = self.poison_sent_ms.iter();
        sent.filter(|&&sent_ms| sent_ms > from_ms).count()
    }

    /// Kills all gateways at once; new ones know the rows of the store alone.
    pub fn kill_all_gateways(&mut self) {
        let rows = self.in_force.clone();
        for gateway in &mut self.gateways {
            gateway.evidence = PartEvidence::default();
            gateway.quarantined.clone_from(&rows);
        }
        self.requests.clear();
        self.messages.clear();
        self.killed_ms = Some(self.now_ms);
    }

    /// Crashes all engines of some availability zones at once.
    pub fn crash_zones(&mut self) {
        let zones = self.random.random_range(1..=ZONES);
        for engine in (0..ENGINES).filter(|engine| engine % ZONES < zones) {
            self.crash(engine);
        }
    }

    fn crash_singly(&mut self) {
        let chance = self.single_crashes_per_s * to_s(STEP_MS);
        if self.random.random_bool(chance) {
            let engine = self.random.random_range(0..ENGINES);
            self.crash(engine);
        }
    }

    fn arrive(&mut self) {
        let mut expected = self.requests_per_s * to_s(STEP_MS);
        while expected > 0.0 && self.random.random_bool(expected.clamp(0.0, 1.0)) {
            self.send();
            expected -= 1.0;
        }
    }

    /// Sends many sound requests with a new part at once.
    pub fn fan_out(&mut self) {
        let parts = vec![
            PromptPartId::from("f0"),
            PromptPartId::from(format!("new{}", self.now_ms)),
        ];
        for _ in 0..FAN_OUT {
            self.send_to_any(parts.clone(), false);
        }
    }

    fn send(&mut self) {
        let poison = self.poison;
        let is_bad = poison.is_some_and(|poison| self.random.random_bool(poison.share));
        if !is_bad && poison.is_some_and(|poison| poison.is_alone) {
            return;
        }
        let parts = self.prompt(is_bad);
        self.send_to_any(parts, is_bad);
    }

    /// Sends a request to a random engine that is up, unless its gateway refuses it.
    fn send_to_any(&mut self, parts: Vec<PromptPartId>, is_bad: bool) {
        let up: Vec<usize> = (0..ENGINES)
            .filter(|&engine| self.engines[engine].up_ms <= self.now_ms)
            .collect();
        if up.is_empty() {
            return;
        }
        let gateway = self.random.random_range(0..self.entry_gateways);
        let is_let_through = self.let_through(gateway, &parts);
        if !is_bad {
            self.sound_sent += 1;
            self.sound_refused += usize::from(!is_let_through);
        }
        if !is_let_through {
            return;
        }
        if is_bad {
            self.poison_sent_ms.push(self.now_ms);
        }
        let poison = self.poison.filter(|_| is_bad);
        let crash_ms = poison.map(|poison| {
            let wait_ms = POISON_MS.start..poison.wait_max_ms;
            self.now_ms + self.random.random_range(wait_ms)
        });
        let head_ms = self.now_ms + self.random.random_range(HEAD_MS);
        let lost_head_ms = crash_ms.filter(|_| poison.is_some_and(|poison| poison.is_head_lost));
        self.requests.push(Request {
            gateway,
            engine: up[self.random.random_range(0..up.len())],
            began_ms: self.now_ms,
            head_ms: lost_head_ms.map_or(head_ms, |crash_ms| crash_ms + STEP_MS),
            crash_ms,
            parts,
            is_past_beginning: false,
        });
    }

    /// Returns the shared parts of a random prompt.
    fn prompt(&mut self, is_bad: bool) -> Vec<PromptPartId> {
        let first = PromptPartId::from(format!("f{}", self.skewed(4)));
        let second = if is_bad {
            PromptPartId::from(BAD_PART)
        } else {
            PromptPartId::from(format!("s{}", self.skewed(self.second_parts)))
        };
        let tail = self.has_tail.then(|| PromptPartId::from("tail"));
        [first, second].into_iter().chain(tail).collect()
    }

    fn skewed(&mut self, len: u32) -> u32 {
        let first = self.random.random_range(0..len);
        first.min(self.random.random_range(0..len))
    }

    /// Lets answers go on, end, or crash their engines.
    fn advance(&mut self) {
        let now_ms = self.now_ms;
        let crashing = self.requests.iter();
        let crashing = crashing.filter(|request| request.crash_ms.is_some_and(|at| at <= now_ms));
        let engines: HashSet<usize> = crashing.map(|request| request.engine).collect();
        for engine in engines {
            self.poison_crashes_ms.push(now_ms);
            self.crash(engine);
        }
        let mut sound = Vec::new();
        for request in &mut self.requests {
            let advanced_ms = request.head_ms + BEGINNING_EVENTS * EVENT_MS;
            if !request.is_past_beginning && request.crash_ms.is_none() && advanced_ms <= now_ms {
                request.is_past_beginning = true;
                sound.push((request.gateway, request.parts.clone()));
            }
        }
        self.requests
            .retain(|request| request.head_ms + EVENTS * EVENT_MS > now_ms);
        for (gateway, parts) in sound {
            let known = &self.gateways[gateway];
            let mut wrong = known.quarantined_parts(&parts);
            wrong.retain(|part| known.evidence.has_rivals(part));
            let evidence = &mut self.gateways[gateway].evidence;
            let cleared = evidence.record_sound(now_ms, &service(), &parts);
            if !cleared.is_empty() {
                self.broadcast(gateway, &Message::Sound(cleared));
            }
            for part in wrong {
                self.lift(gateway, &part);
            }
        }
    }

    /// Crashes an engine, which breaks all its requests.
    fn crash(&mut self, engine: usize) {
        let now_ms = self.now_ms;
        if self.engines[engine].up_ms > now_ms {
            return;
        }
        let incarnation = self.engines[engine].incarnation;
        self.engines[engine] = Engine {
            up_ms: now_ms + self.random.random_range(DOWN_MS),
            incarnation: incarnation + 1,
        };
        let all = std::mem::take(&mut self.requests);
        let (broken, kept) = all
            .into_iter()
            .partition::<Vec<_>, _>(|request| request.engine == engine);
        self.requests = kept;
        for gateway in 0..self.gateways.len() {
            let own = broken.iter().filter(|request| request.gateway == gateway);
            let own = own.filter(|request| !request.is_past_beginning);
            let own: Vec<BrokenRequest> = own
                .map(|request| BrokenRequest {
                    parts: request.parts.clone(),
                    is_begun: request.head_ms <= now_ms,
                    attempt_began_ms: request.began_ms,
                })
                .collect();
            if own.is_empty() {
                continue;
            }
            let unnoticed_ms = self.random.random_range(0..=self.noticed_max_ms);
            let check = Message::CheckDone {
                engine,
                incarnation,
                broke_ms: now_ms + unnoticed_ms,
                broken: own,
            };
            let checked_ms = CHECK_MS.start + unnoticed_ms..CHECK_MS.end + unnoticed_ms;
            self.deliver_in(checked_ms, gateway, check);
        }
    }
}

fn service() -> ServiceName {
    ServiceName::from(SERVICE)
}

#[expect(clippy::cast_precision_loss, reason = "a time of a few milliseconds")]
fn to_s(time_ms: u64) -> f64 {
    time_ms as f64 / 1_000.0
}
