//! Gateways that hold the quota of one team, on virtual time, over a network that loses and delays
//! messages.

use std::collections::VecDeque;

use chicorystage_api::name::{TeamName, VmId};
use chicorystage_core::fleet::load_period_ms;
use chicorystage_core::quota::{QuotaDecision, QuotaLedger, QuotaTerms, TeamLevel, TeamUse};
use chicorystage_core::teams::{KeyHasher, Quota, QuotaUnit, TeamDeclaration, TeamDirectory};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use zeroize::Zeroizing;

/// Length of a step, in milliseconds.
const STEP_MS: u64 = 10;
/// Longest delay of a message, in milliseconds.
const DELAY_MAX_MS: u64 = 20;
/// Time without a lease holder after one is lost, in milliseconds.
const TAKE_OVER_MS: u64 = 3_500;
/// Silence after which the gateways notice that the lease holder is lost, in milliseconds.
const NOTICED_MS: u64 = 700;
pub const TERMS: QuotaTerms = QuotaTerms {
    window_ms: 8_000,
    tolerance: 0.1,
    allowance: 7_400.0,
};

/// What happens in a schedule.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    /// Quota in tokens a second, and the burst.
    pub per_s: f64,
    /// Demand of each gateway in tokens a second.
    pub demand_per_s: Vec<f64>,
    /// Largest and smallest cost of a request, in tokens.
    pub cost: std::ops::Range<u32>,
    /// Part of the messages that are lost.
    pub loss: f64,
    /// Spans in which demand is multiplied, from and until a time in milliseconds.
    pub hot: Vec<(u64, u64, f64)>,
    /// Times at which the holder is lost, in milliseconds.
    pub holder_lost_ms: Vec<u64>,
    /// Gateways that send and hear nothing from and until a time in milliseconds; longer ones would
    /// stop admitting keys.
    pub cut: Vec<(usize, u64, u64)>,
    /// Gateways that restart, and when, in milliseconds.
    pub restarts: Vec<(usize, u64)>,
    /// Whether gateways charge each other's use.
    pub reports: bool,
    pub length_ms: u64,
}

enum Message {
    Use(usize, u64, Vec<TeamUse>),
    Levels(Vec<TeamLevel>),
}

struct Gateway {
    ledger: QuotaLedger,
    incarnation: u64,
    heard_ms: u64,
    owed: f64,
}

pub struct World {
    schedule: Schedule,
    now_ms: u64,
    random: StdRng,
    gateways: Vec<Gateway>,
    holder: Option<usize>,
    no_holder_until_ms: u64,
    messages: VecDeque<(u64, usize, Message)>,
    /// Time and cost of each request that was admitted.
    pub admitted: Vec<(u64, f64)>,
    /// Time and cost of each request that was refused.
    pub refused: Vec<(u64, f64)>,
}

fn team() -> TeamName {
    TeamName::from("t")
}

pub fn quota(per_s: f64) -> Quota {
    Quota {
        per_s,
        burst: per_s,
        unit: QuotaUnit::Tokens { plain: 200.0 },
    }
}

pub fn ledger(per_s: f64) -> QuotaLedger {
    let declaration = TeamDeclaration {
        name: team().to_string(),
        keys: vec![Zeroizing::new("k".to_owned())],
        priority: 0.0,
        per_s,
        burst: per_s,
        unit: QuotaUnit::Tokens { plain: 200.0 },
    };
    let teams = TeamDirectory::new(vec![declaration], &KeyHasher::new([1; 64]));
    let mut ledger = QuotaLedger::new(TERMS);
    ledger.set_quotas(0, &teams.expect("well declared"));
    ledger
}

impl World {
    pub fn new(schedule: Schedule) -> Self {
        let gateways = schedule.demand_per_s.iter().map(|_| Gateway {
            ledger: ledger(schedule.per_s),
            incarnation: 1,
            heard_ms: 0,
            owed: 0.0,
        });
        Self {
            now_ms: 0,
            random: StdRng::seed_from_u64(schedule.seed),
            gateways: gateways.collect(),
            holder: Some(0),
            no_holder_until_ms: 0,
            messages: VecDeque::new(),
            admitted: Vec::new(),
            refused: Vec::new(),
            schedule,
        }
    }

    pub fn run(mut self) -> Self {
        while self.now_ms < self.schedule.length_ms {
            self.now_ms += STEP_MS;
            self.change();
            self.deliver();
            for number in 0..self.gateways.len() {
                self.report(number);
                self.demand(number);
            }
        }
        self
    }

    /// Returns the most units that were admitted in any window.
    pub fn units_max(&self) -> f64 {
        let mut units = 0.0;
        let mut most = 0.0_f64;
        let mut first = 0;
        for (at_ms, cost) in &self.admitted {
            units += cost;
            while self.admitted[first].0 + TERMS.window_ms <= *at_ms {
                units -= self.admitted[first].1;
                first += 1;
            }
            most = most.max(units);
        }
        most
    }

    /// Returns the units of `requests` between two times.
    pub fn units(requests: &[(u64, f64)], from_ms: u64, until_ms: u64) -> f64 {
        let within = requests
            .iter()
            .filter(|(at_ms, _)| (from_ms..until_ms).contains(at_ms));
        within.map(|(_, cost)| cost).sum()
    }

    fn change(&mut self) {
        let is_cut = self.holder.is_some_and(|holder| self.is_cut(holder));
        if is_cut || self.schedule.holder_lost_ms.contains(&self.now_ms) {
            self.holder = None;
            self.no_holder_until_ms = self.now_ms + TAKE_OVER_MS;
        }
        let is_free = self.holder.is_none() && self.now_ms >= self.no_holder_until_ms;
        if is_free {
            let number = self.random.random_range(0..self.gateways.len());
            self.holder = (!self.is_cut(number)).then_some(number);
        }
        let per_s = self.schedule.per_s;
        for (number, at_ms) in self.schedule.restarts.clone() {
            if at_ms == self.now_ms {
                let gateway = &mut self.gateways[number];
                gateway.ledger = ledger(per_s);
                gateway.incarnation += 1;
                gateway.heard_ms = 0;
                // The lease of a holder that restarts expires.
                if self.holder == Some(number) {
                    self.holder = None;
                    self.no_holder_until_ms = self.now_ms + TAKE_OVER_MS;
                }
            }
        }
    }

    fn is_cut(&self, number: usize) -> bool {
        let cut = &mut self.schedule.cut.iter();
        cut.any(|(cut, from_ms, until_ms)| {
            *cut == number && (*from_ms..*until_ms).contains(&self.now_ms)
        })
    }

    fn deliver(&mut self) {
        let due = self
            .messages
            .iter()
            .filter(|(at_ms, ..)| *at_ms <= self.now_ms);
        for _ in 0..due.count() {
            let Some(at) = self
                .messages
                .iter()
                .position(|(at_ms, ..)| *at_ms <= self.now_ms)
            else {
                return;
            };
            let Some((_, to, message)) = self.messages.remove(at) else {
                return;
            };
            if self.is_cut(to) || !self.schedule.reports {
                continue;
            }
            let now_ms = self.now_ms;
            let gateway = &mut self.gateways[to];
            match message {
                Message::Use(from, incarnation, uses) => {
                    let vm = VmId::from(from.to_string());
                    let gateways = self.schedule.demand_per_s.len();
                    let ledger = &mut gateway.ledger;
                    ledger.reported(now_ms, &vm, incarnation, uses, gateways);
                }
                Message::Levels(levels) => {
                    gateway.heard_ms = now_ms;
                    gateway.ledger.told(now_ms, levels);
                }
            }
        }
    }

    /// Sends the reports of a gateway that are due now.
    fn report(&mut self, number: usize) {
        let period_ms = load_period_ms(self.gateways.len());
        let offset_ms = u64::try_from(number).expect("few gateways") * STEP_MS;
        if !(self.now_ms + offset_ms).is_multiple_of(period_ms) || self.is_cut(number) {
            return;
        }
        let now_ms = self.now_ms;
        let others: Vec<usize> = (0..self.gateways.len()).filter(|i| *i != number).collect();
        let gateway = &mut self.gateways[number];
        if self.holder == Some(number) {
            gateway.heard_ms = now_ms;
            let levels = gateway
                .ledger
                .levels(now_ms, self.schedule.demand_per_s.len());
            for to in others {
                self.send(to, Message::Levels(levels.clone()));
            }
            return;
        }
        let uses = gateway.ledger.own_use(now_ms);
        let incarnation = gateway.incarnation;
        let hears_holder = gateway.heard_ms > 0 && now_ms < gateway.heard_ms + NOTICED_MS;
        let to: Vec<usize> = match self.holder {
            Some(holder) if hears_holder => vec![holder],
            None if hears_holder => Vec::new(),
            _ => others,
        };
        for to in to {
            self.send(to, Message::Use(number, incarnation, uses.clone()));
        }
    }

    fn send(&mut self, to: usize, message: Message) {
        if self.random.random_bool(self.schedule.loss) {
            return;
        }
        let at_ms = self.now_ms + self.random.random_range(1..=DELAY_MAX_MS);
        self.messages.push_back((at_ms, to, message));
    }

    fn demand(&mut self, number: usize) {
        let hot = self.schedule.hot.iter();
        let hot = hot.filter(|(from_ms, until_ms, _)| (*from_ms..*until_ms).contains(&self.now_ms));
        let factor = hot.map(|(_, _, factor)| *factor).fold(1.0, f64::max);
        let step_s = 0.01;
        // Spread at random around the demand, as independent callers do.
        let units = self.schedule.demand_per_s[number] * factor * step_s;
        self.gateways[number].owed += units * self.random.random_range(0.0..2.0);
        loop {
            let cost = f64::from(self.random.random_range(self.schedule.cost.clone()));
            if self.gateways[number].owed < cost {
                return;
            }
            self.gateways[number].owed -= cost;
            let now_ms = self.now_ms;
            let gateways = self.gateways.len();
            let random = self.random.random();
            let ledger = &mut self.gateways[number].ledger;
            ledger.asked(now_ms, &team(), cost);
            match ledger.admit(now_ms, &team(), cost, gateways, random) {
                QuotaDecision::Admitted(_) => self.admitted.push((now_ms, cost)),
                QuotaDecision::Refused { .. } => self.refused.push((now_ms, cost)),
            }
        }
    }
}
