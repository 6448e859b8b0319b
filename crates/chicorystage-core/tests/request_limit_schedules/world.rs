//! Gateways that divide the limit of one endpoint, on virtual time, over a network that loses and
//! delays messages.

use std::collections::VecDeque;

use chicorystage_api::name::{EndpointId, VmId};
use chicorystage_core::fleet::{holder_silence_ms, load_period_ms};
use chicorystage_core::request_limit::{EndpointLimit, LimitAllocator, RequestGrant, TokenWish};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Length of a step, in milliseconds.
const STEP_MS: u64 = 5;
/// Interval between two passes of a gateway, in milliseconds.
const PASS_MS: u64 = 50;
/// Longest delay of a message or of a request on its way, in milliseconds.
const DELAY_MAX_MS: u64 = 20;
/// Time without a holder after one is lost, in milliseconds.
pub const TAKE_OVER_MS: u64 = 3_500;

/// What happens in a schedule.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub gateways: usize,
    /// Limit in requests a second.
    pub per_s: f64,
    /// Requests a second at each gateway.
    pub demand_per_s: Vec<f64>,
    /// Time for which a request waits for a token, in milliseconds.
    pub wait_ms: u64,
    /// Span without requests, from and until a time in milliseconds.
    pub quiet_ms: (u64, u64),
    /// Span in which requests go elsewhere and make their gateways want tokens for the next ones.
    pub elsewhere_ms: (u64, u64),
    /// Part of the messages that are lost.
    pub loss: f64,
    /// Times at which the holder is lost, in milliseconds.
    pub holder_lost_ms: Vec<u64>,
    /// Gateways that cannot reach any holder from and until a time in milliseconds.
    pub cut: Vec<(usize, u64, u64)>,
    /// Gateways that hear the holder and are not heard from and until a time in milliseconds.
    pub unheard: Vec<(usize, u64, u64)>,
    /// Gateways that restart, and when, in milliseconds.
    pub restarts: Vec<(usize, u64)>,
    pub length_ms: u64,
}

enum Message {
    Wish {
        from: usize,
        wish: TokenWish,
    },
    Grant {
        to: usize,
        grant: RequestGrant,
    },
    /// Any other message of the holder.
    Sum {
        to: usize,
    },
}

struct Gateway {
    limit: EndpointLimit,
    /// Times until which requests wait.
    waiting: VecDeque<u64>,
    heard_ms: Option<u64>,
    passed_ms: u64,
}

pub struct World {
    schedule: Schedule,
    now_ms: u64,
    random: StdRng,
    gateways: Vec<Gateway>,
    allocator: LimitAllocator,
    /// The holder; `None` while there is none.
    holder: Option<usize>,
    no_holder_until_ms: u64,
    messages: Vec<(u64, Message)>,
    endpoint: EndpointId,
    /// Times at which requests arrive at the endpoint, in milliseconds.
    pub arrivals: Vec<u64>,
    /// Requests that wait until their time is over.
    pub waited_in_vain: usize,
    pub requests: usize,
}

impl World {
    pub fn new(schedule: Schedule) -> Self {
        let gateways = (0..schedule.gateways).map(|_| new_gateway(schedule.per_s));
        Self {
            now_ms: 0,
            random: StdRng::seed_from_u64(schedule.seed),
            gateways: gateways.collect(),
            allocator: LimitAllocator::default(),
            holder: Some(0),
            no_holder_until_ms: 0,
            messages: Vec::new(),
            endpoint: EndpointId::from("e"),
            arrivals: Vec::new(),
            waited_in_vain: 0,
            requests: 0,
            schedule,
        }
    }

    pub fn run(&mut self) {
        while self.now_ms < self.schedule.length_ms {
            self.now_ms += STEP_MS;
            self.change_holder();
            self.restart();
            self.deliver();
            self.publish();
            for number in 0..self.gateways.len() {
                self.demand(number);
                self.pass(number);
                self.serve_waiting(number);
            }
        }
        self.arrivals.sort_unstable();
    }

    fn change_holder(&mut self) {
        let is_lost = self
            .schedule
            .holder_lost_ms
            .iter()
            .any(|at_ms| self.is_now(*at_ms));
        if is_lost && let Some(holder) = self.holder.take() {
            self.gateways[holder] = new_gateway(self.schedule.per_s);
            self.no_holder_until_ms = self.now_ms + TAKE_OVER_MS;
        }
        if self.holder.is_none() && self.now_ms >= self.no_holder_until_ms {
            let holder = self.random.random_range(0..self.gateways.len());
            self.holder = Some(holder);
            self.allocator.clear();
        }
    }

    fn restart(&mut self) {
        for (number, at_ms) in self.schedule.restarts.clone() {
            if self.is_now(at_ms) && self.holder != Some(number) {
                self.gateways[number] = new_gateway(self.schedule.per_s);
            }
        }
    }

    fn is_now(&self, at_ms: u64) -> bool {
        at_ms < self.now_ms + STEP_MS && at_ms >= self.now_ms
    }

    fn is_cut(&self, number: usize) -> bool {
        is_listed(&self.schedule.cut, number, self.now_ms)
    }

    fn send(&mut self, peer: usize, message: Message) {
        if self.is_cut(peer) || self.random.random_bool(self.schedule.loss) {
            return;
        }
        let delay_ms = self.random.random_range(1..=DELAY_MAX_MS);
        self.messages.push((self.now_ms + delay_ms, message));
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.messages = later;
        let due: Vec<(u64, Message)> = due;
        for (_, message) in due {
            match message {
                Message::Wish { from, wish } => self.answer(from, wish),
                Message::Grant { to, grant } => {
                    self.gateways[to].heard_ms = Some(now_ms);
                    self.gateways[to].limit.granted(now_ms, grant);
                }
                Message::Sum { to } => self.gateways[to].heard_ms = Some(now_ms),
            }
        }
    }

    /// Sends what the holder repeats to all.
    fn publish(&mut self) {
        let Some(holder) = self.holder else {
            return;
        };
        if !self
            .now_ms
            .is_multiple_of(load_period_ms(self.gateways.len()))
        {
            return;
        }
        for to in 0..self.gateways.len() {
            if to != holder {
                self.send(to, Message::Sum { to });
            }
        }
    }

    fn demand(&mut self, number: usize) {
        let step_s = f64::from(u32::try_from(STEP_MS).unwrap()) / 1_000.0;
        let chance = (self.schedule.demand_per_s[number] * step_s).min(1.0);
        if is_within(self.schedule.quiet_ms, self.now_ms) || !self.random.random_bool(chance) {
            return;
        }
        if is_within(self.schedule.elsewhere_ms, self.now_ms) {
            let until_ms = self.now_ms + self.schedule.wait_ms;
            let limit = &mut self.gateways[number].limit;
            limit.want_later(self.now_ms, until_ms);
            return;
        }
        self.requests += 1;
        let until_ms = self.now_ms + self.schedule.wait_ms;
        let gateway = &mut self.gateways[number];
        let next_ms = gateway.limit.next_for_new_ms(self.now_ms);
        if gateway.limit.has_token(self.now_ms) || next_ms.is_none_or(|at_ms| at_ms <= until_ms) {
            if !gateway.limit.has_token(self.now_ms) {
                gateway.limit.want(self.now_ms, until_ms);
                gateway.passed_ms = 0;
            }
            gateway.waiting.push_back(until_ms);
        }
    }

    fn serve_waiting(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let gateway = &mut self.gateways[number];
        while let Some(until_ms) = gateway.waiting.front().copied() {
            let next_ms = gateway.limit.next_for_waiting_ms(now_ms);
            if gateway.limit.has_token(now_ms) {
                gateway.waiting.pop_front();
                gateway.limit.use_token(now_ms);
                let delay_ms = self.random.random_range(0..=DELAY_MAX_MS);
                self.arrivals.push(now_ms + delay_ms);
            } else if now_ms >= until_ms {
                gateway.waiting.pop_front();
                self.waited_in_vain += 1;
            } else if next_ms.is_some_and(|next_ms| next_ms > until_ms) {
                gateway.waiting.pop_front();
            } else {
                return;
            }
        }
    }

    /// The part of a gateway's pass that concerns the limit.
    fn pass(&mut self, number: usize) {
        if self.now_ms < self.gateways[number].passed_ms + PASS_MS && self.holder != Some(number) {
            return;
        }
        let now_ms = self.now_ms;
        let count = self.gateways.len();
        let gateway = &mut self.gateways[number];
        gateway.passed_ms = now_ms;
        if self.holder == Some(number) {
            let wish = gateway.limit.take_wish(now_ms);
            if let Some(wish) = wish {
                self.record_wish(number, wish);
            }
            self.grant(wish.map(|_| number));
            return;
        }
        let silence_ms = holder_silence_ms(count);
        if gateway
            .heard_ms
            .is_some_and(|heard_ms| now_ms < heard_ms + silence_ms)
        {
            let is_unheard = is_listed(&self.schedule.unheard, number, now_ms);
            if let Some(wish) = gateway.limit.take_wish(now_ms)
                && !is_unheard
            {
                self.send(number, Message::Wish { from: number, wish });
            }
            if !self.gateways[number].limit.is_unanswered(now_ms) {
                return;
            }
        }
        let random = self.random.random();
        self.gateways[number].limit.grant_own(now_ms, count, random);
    }

    fn answer(&mut self, from: usize, wish: TokenWish) {
        if self.holder.is_some() {
            self.record_wish(from, wish);
            self.grant(Some(from));
        }
    }

    fn record_wish(&mut self, from: usize, wish: TokenWish) {
        let endpoint = self.endpoint.clone();
        self.allocator
            .set_limit(self.now_ms, &endpoint, self.schedule.per_s);
        self.allocator.wish(self.now_ms, &endpoint, &vm(from), wish);
    }

    fn grant(&mut self, asking: Option<usize>) {
        let mut taken = self.allocator.take_grants(self.now_ms);
        if let Some(from) = asking
            && !taken.iter().any(|(_, to, _)| *to == vm(from))
        {
            taken.push((self.endpoint.clone(), vm(from), 0));
        }
        for (endpoint, to, tokens) in taken {
            let Some(grant) = self.allocator.grant(self.now_ms, &endpoint, &to, tokens) else {
                continue;
            };
            let to = number_of(&to);
            if self.holder == Some(to) {
                self.gateways[to].limit.granted(self.now_ms, grant);
            } else {
                self.send(to, Message::Grant { to, grant });
            }
        }
    }
}

fn is_within((from_ms, until_ms): (u64, u64), now_ms: u64) -> bool {
    (from_ms..until_ms).contains(&now_ms)
}

/// Returns whether a list names a gateway with a span that holds the time.
fn is_listed(list: &[(usize, u64, u64)], number: usize, now_ms: u64) -> bool {
    list.iter().any(|(listed, from_ms, until_ms)| {
        *listed == number && (*from_ms..*until_ms).contains(&now_ms)
    })
}

fn new_gateway(per_s: f64) -> Gateway {
    Gateway {
        limit: EndpointLimit::new(per_s),
        waiting: VecDeque::new(),
        heard_ms: None,
        passed_ms: 0,
    }
}

fn vm(number: usize) -> VmId {
    VmId::from(format!("g{number}").as_str())
}

fn number_of(vm: &VmId) -> usize {
    vm.as_str()[1..].parse().unwrap()
}
