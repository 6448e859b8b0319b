//! Generates the traces from fixed seeds, so that recording again gives the same files.

use std::path::Path;

use chicorystage_api::inventory::Class;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::replay::{Deployment, TraceRow};

const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;
/// Length of a trace of an ordinary day, in milliseconds.
const DAY_MS: u64 = 24 * HOUR_MS;
/// Length of a trace of bursts, in milliseconds.
const BURSTS_MS: u64 = 2 * HOUR_MS;
/// Length of an overload trace, in milliseconds.
const OVERLOAD_MS: u64 = 4 * MINUTE_MS;
/// Length of a trace in which models become active and idle, in milliseconds.
const CHANGING_ACTIVITY_MS: u64 = 3 * HOUR_MS;
/// Number of routers that the load balancer spreads requests over.
const ROUTERS: usize = 3;
/// Mean service time of a request in overload traces, in milliseconds.
const OVERLOAD_SERVICE_MS: u64 = 8 * SECOND_MS;

/// Generates the requests of one kind of trace.
type RecordFn = fn(&mut Recorder);

/// Writes every trace of both deployments into a directory, as CSV files.
///
/// # Errors
///
/// Fails where a file cannot be written.
pub fn record_all(directory: &Path) -> anyhow::Result<()> {
    for (seed, deployment) in (1..).zip([Deployment::co_op(), Deployment::guild()]) {
        let burst = if deployment.name == "co-op" {
            "harvest-week"
        } else {
            "edit-lock"
        };
        let kinds: [(&str, RecordFn); 7] = [
            ("ordinary-day", Recorder::ordinary_day),
            (burst, Recorder::bursts),
            ("slow-weights", Recorder::bursts),
            ("zone-loss", Recorder::bursts),
            ("overload", Recorder::overload),
            ("noisy-tenant", Recorder::noisy_tenant),
            ("waking", Recorder::changing_activity),
        ];
        for (kind_seed, (kind, record)) in (0..).zip(kinds) {
            let mut recorder = Recorder {
                deployment: deployment.clone(),
                rng: StdRng::seed_from_u64(seed * 100 + kind_seed),
                rows: Vec::new(),
            };
            record(&mut recorder);
            recorder.rows.sort_by_key(|row| (row.at_ms, row.model));
            let file = directory.join(format!("{}-{kind}.csv", deployment.name));
            TraceRow::write_all(&file, &recorder.rows)?;
        }
    }
    Ok(())
}

struct Recorder {
    deployment: Deployment,
    rng: StdRng,
    rows: Vec<TraceRow>,
}

impl Recorder {
    /// Generates a day on which a third of the models is used in sessions, a third
    /// at regular intervals and a third at random.
    fn ordinary_day(&mut self) {
        for model in 0..self.deployment.models.len() {
            match model % 3 {
                0 => self.sessions(model, 0, DAY_MS),
                1 => self.regular_use(model, 0, DAY_MS),
                _ => self.random_use(model, 0, DAY_MS),
            }
        }
    }

    /// Generates bursts of requests for idle models that reach all routers at once.
    fn bursts(&mut self) {
        let mut at_ms = 2 * MINUTE_MS;
        while at_ms < BURSTS_MS - 5 * MINUTE_MS {
            for _ in 0..self.rng.random_range(3..=6) {
                let model = self.rng.random_range(0..self.deployment.models.len());
                for _ in 0..self.rng.random_range(8..=30) {
                    let offset_ms = self.rng.random_range(0..2 * SECOND_MS);
                    self.request(at_ms + offset_ms, model);
                }
            }
            at_ms += self.exponential_ms(4 * MINUTE_MS).max(MINUTE_MS / 2);
        }
    }

    /// Generates three times the load that all engines can run, a fifth of it in the top class.
    fn overload(&mut self) {
        let interval_ms = self.overload_interval_ms() / 3.0;
        self.steady_load(interval_ms, |recorder| {
            let class = match recorder.rng.random_range(0..10) {
                0..2 => Class::Interactive,
                2..6 => Class::Standard,
                _ => Class::Batch,
            };
            let caller = recorder.caller();
            (class, caller)
        });
    }

    /// Generates load of four tenants below their fair share and one that sends ten times its own.
    fn noisy_tenant(&mut self) {
        // A part is a tenth of a tenant's fair share, which is a fifth of the capacity.
        let parts = 4 * 8 + 100;
        let part_interval_ms = self.overload_interval_ms() * 50.0;
        let interval_ms = part_interval_ms / f64::from(parts);
        let last = self.deployment.tenants.len() - 1;
        self.steady_load(interval_ms, |recorder| {
            let draw = recorder.rng.random_range(0..parts);
            let caller = usize::try_from(draw / 8).unwrap_or(last).min(last);
            (Class::Standard, caller)
        });
    }

    /// Generates load in which, during the second hour, a quarter of the models
    /// becomes active and another quarter becomes idle.
    fn changing_activity(&mut self) {
        for model in 0..self.deployment.models.len() {
            let change_at_ms = HOUR_MS + self.rng.random_range(0..HOUR_MS);
            match model % 4 {
                0 => self.random_use(model, change_at_ms, CHANGING_ACTIVITY_MS),
                1 => self.random_use(model, 0, change_at_ms),
                2 => self.sessions(model, 0, CHANGING_ACTIVITY_MS),
                _ => {}
            }
        }
    }

    /// Adds sessions that are hours apart, with requests half a minute apart on average.
    fn sessions(&mut self, model: usize, from_ms: u64, until_ms: u64) {
        let between_ms = self.rng.random_range(2 * HOUR_MS..8 * HOUR_MS);
        let mut at_ms = from_ms + self.exponential_ms(between_ms / 2);
        while at_ms < until_ms {
            for _ in 0..self.rng.random_range(4..20) {
                self.request(at_ms, model);
                at_ms += self.exponential_ms(30 * SECOND_MS);
            }
            at_ms += self.exponential_ms(between_ms);
        }
    }

    /// Adds requests at regular intervals, with a jitter of up to 5 % of the interval.
    fn regular_use(&mut self, model: usize, from_ms: u64, until_ms: u64) {
        let period_ms = self.rng.random_range(15 * MINUTE_MS..2 * HOUR_MS);
        let jitter_ms = period_ms / 20;
        let mut at_ms = from_ms + self.rng.random_range(0..period_ms);
        while at_ms < until_ms {
            let offset_ms = self.rng.random_range(0..=jitter_ms);
            for _ in 0..self.rng.random_range(1..4) {
                let apart_ms = self.rng.random_range(0..5 * SECOND_MS);
                self.request(at_ms + offset_ms + apart_ms, model);
            }
            at_ms += period_ms;
        }
    }

    fn random_use(&mut self, model: usize, from_ms: u64, until_ms: u64) {
        let interval_ms = self.rng.random_range(5 * MINUTE_MS..3 * HOUR_MS);
        let mut at_ms = from_ms + self.exponential_ms(interval_ms);
        while at_ms < until_ms {
            self.request(at_ms, model);
            at_ms += self.exponential_ms(interval_ms);
        }
    }

    fn steady_load(
        &mut self,
        interval_ms: f64,
        mut class_and_caller: impl FnMut(&mut Self) -> (Class, usize),
    ) {
        let mut at_ms = 0.0;
        loop {
            at_ms += self.exponential(interval_ms);
            let sent_ms = whole_ms(at_ms);
            if sent_ms >= OVERLOAD_MS {
                return;
            }
            let (class, caller) = class_and_caller(self);
            let model = self.rng.random_range(0..self.deployment.models.len());
            let service_ms = self
                .rng
                .random_range(OVERLOAD_SERVICE_MS / 2..OVERLOAD_SERVICE_MS * 3 / 2);
            let row = TraceRow {
                service_ms,
                class,
                caller,
                timeout_ms: timeout_ms(class),
                ..self.row(sent_ms, model)
            };
            self.rows.push(row);
        }
    }

    /// Returns the mean interval between requests that exactly saturates all engines.
    fn overload_interval_ms(&self) -> f64 {
        to_f64(OVERLOAD_SERVICE_MS) / to_f64(self.deployment.capacity())
    }

    fn request(&mut self, at_ms: u64, model: usize) {
        let row = self.row(at_ms, model);
        self.rows.push(row);
    }

    fn row(&mut self, at_ms: u64, model: usize) -> TraceRow {
        let class = match self.rng.random_range(0..10) {
            0..4 => Class::Interactive,
            4..8 => Class::Standard,
            _ => Class::Batch,
        };
        let service_ms = match class {
            Class::Interactive => self.rng.random_range(400..2 * SECOND_MS),
            Class::Standard => self.rng.random_range(2 * SECOND_MS..12 * SECOND_MS),
            Class::Batch => self.rng.random_range(10 * SECOND_MS..40 * SECOND_MS),
        };
        let with_adapter = self.rng.random_bool(0.5);
        let per_model = self
            .deployment
            .adapters
            .div_ceil(self.deployment.models.len());
        let adapter = model * per_model + self.rng.random_range(0..per_model);
        TraceRow {
            at_ms,
            router: self.rng.random_range(0..ROUTERS),
            caller: self.caller(),
            class,
            model,
            adapter: (with_adapter && adapter < self.deployment.adapters).then_some(adapter),
            service_ms,
            timeout_ms: timeout_ms(class),
        }
    }

    fn caller(&mut self) -> usize {
        self.rng.random_range(0..self.deployment.tenants.len())
    }

    fn exponential_ms(&mut self, mean_ms: u64) -> u64 {
        whole_ms(self.exponential(to_f64(mean_ms)))
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        -uniform.ln() * mean
    }
}

fn timeout_ms(class: Class) -> u64 {
    match class {
        Class::Interactive => 30 * SECOND_MS,
        Class::Standard => 2 * MINUTE_MS,
        Class::Batch => 10 * MINUTE_MS,
    }
}

fn to_f64(value: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "trace times are small")]
    let value = value as f64;
    value
}

fn whole_ms(value: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "trace times are positive and small"
    )]
    let ms = value as u64;
    ms
}
