use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use chicorystage_borders::BoxFuture;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until};

/// Sustained rate of model fetches that the store starts, per second.
const MODEL_STARTS_PER_S: u32 = 4;
/// Concurrent model fetches above which all of them slow down.
const FULL_SPEED_MODELS: u64 = 4;
/// Concurrent adapter fetches above which all of them slow down.
const FULL_SPEED_ADAPTERS: u64 = 30;
/// Interval at which a running fetch recomputes its speed, in milliseconds.
const SPEED_UPDATE_INTERVAL_MS: u64 = 10;
const US_PER_MS: u64 = 1_000;
const PERCENT: u64 = 100;

/// Kind of weights that an engine fetches from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FetchKind {
    /// Weights of a whole model; starts are rate-limited.
    Model,
    /// Weights of an adapter; starts are not rate-limited.
    Adapter,
}

/// The platform's weight store, whose bandwidth all engines share.
pub trait WeightStore: Send + Sync {
    /// Fetches weights; takes `duration_ms` at full speed and longer if the store is slow.
    fn fetch(&self, kind: FetchKind, duration_ms: u64) -> BoxFuture<'_, ()>;
}

/// An in-memory weight store with the rate and concurrency limits of the platform's one.
#[derive(Debug, Default)]
pub struct FakeWeightStore {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    models_in_flight: u64,
    adapters_in_flight: u64,
    models_highest: u64,
    adapters_highest: u64,
    next_start: Option<Instant>,
    slowdown_percent: u64,
}

impl FakeWeightStore {
    /// Creates an idle store without slowdown.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the additional time of every fetch, in percent of its duration; 0 is full speed.
    pub fn set_slowdown_percent(&self, slowdown_percent: u64) {
        self.lock().slowdown_percent = slowdown_percent;
    }

    /// Returns the highest numbers of concurrent model fetches and adapter fetches so far.
    #[must_use]
    pub fn in_flight_highest(&self) -> (u64, u64) {
        let state = self.lock();
        (state.models_highest, state.adapters_highest)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    async fn run_fetch(&self, kind: FetchKind, duration_ms: u64) {
        if kind == FetchKind::Model {
            let start = self.lock().next_start();
            sleep_until(start).await;
        }
        let _in_flight = InFlightGuard::new(self, kind);
        // Lets fetches that start at the same moment register first, so that all of them
        // compute their speed from the same number.
        tokio::task::yield_now().await;
        let mut left_us = duration_ms * US_PER_MS;
        while left_us > 0 {
            let (full, actual) = self.lock().speed_fraction(kind);
            let needed_us = left_us * actual / full;
            let step_us = needed_us.clamp(1, SPEED_UPDATE_INTERVAL_MS * US_PER_MS);
            sleep(Duration::from_micros(step_us)).await;
            left_us = left_us.saturating_sub((step_us * full).div_ceil(actual));
        }
    }
}

impl State {
    /// Reserves the next start: a burst of as many starts as run at full speed,
    /// then evenly spaced ones.
    fn next_start(&mut self) -> Instant {
        let spacing = Duration::from_secs(1) / MODEL_STARTS_PER_S;
        let now = Instant::now();
        let burst = spacing * (MODEL_STARTS_PER_S - 1);
        let earliest = self
            .next_start
            .map_or(now, |next| next.max(now.checked_sub(burst).unwrap_or(now)));
        let first = now.checked_sub(burst).unwrap_or(now);
        self.next_start = Some(if self.next_start.is_none() {
            first + spacing
        } else {
            earliest + spacing
        });
        earliest.max(now)
    }

    /// Returns the speed of a fetch as a fraction of full speed: numerator and denominator.
    fn speed_fraction(&self, kind: FetchKind) -> (u64, u64) {
        let (full, in_flight) = match kind {
            FetchKind::Model => (FULL_SPEED_MODELS, self.models_in_flight),
            FetchKind::Adapter => (FULL_SPEED_ADAPTERS, self.adapters_in_flight),
        };
        (
            full * PERCENT,
            in_flight.max(full) * (PERCENT + self.slowdown_percent),
        )
    }

    /// Returns the current and the highest number of concurrent fetches of a kind.
    fn counters(&mut self, kind: FetchKind) -> (&mut u64, &mut u64) {
        match kind {
            FetchKind::Model => (&mut self.models_in_flight, &mut self.models_highest),
            FetchKind::Adapter => (&mut self.adapters_in_flight, &mut self.adapters_highest),
        }
    }
}

impl WeightStore for FakeWeightStore {
    fn fetch(&self, kind: FetchKind, duration_ms: u64) -> BoxFuture<'_, ()> {
        Box::pin(self.run_fetch(kind, duration_ms))
    }
}

/// Counts a fetch as running until dropped, also if its future is cancelled.
struct InFlightGuard<'a> {
    store: &'a FakeWeightStore,
    kind: FetchKind,
}

impl<'a> InFlightGuard<'a> {
    fn new(store: &'a FakeWeightStore, kind: FetchKind) -> Self {
        let mut state = store.lock();
        let (in_flight, highest) = state.counters(kind);
        *in_flight += 1;
        *highest = (*highest).max(*in_flight);
        Self { store, kind }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        *self.store.lock().counters(self.kind).0 -= 1;
    }
}
