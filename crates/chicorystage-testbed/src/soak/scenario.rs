use std::ops::Range;
use std::time::Duration;

use anyhow::bail;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep_until};

use crate::soak::fault::{Fault, Step};
use crate::soak::gateway_process::GatewayProcess;
use crate::soak::services::{BOUND, Services, answered, streamed};
use crate::users_platform::{PlatformFixture, Reply, StoreMode};

/// Begin of the first fault, more than a window of the retry budget after the start of the load, in
/// milliseconds.
const FIRST_FAULT_MS: u64 = 11_000;
/// Range of the length of a random fault, in milliseconds.
const FAULT_MS: Range<u64> = 300..14_000;
/// Range of the pause between two random faults, in milliseconds; faults overlap.
const PAUSE_MS: Range<u64> = 200..6_000;
/// Range of the time for which a gateway is paused, in milliseconds.
const GATEWAY_PAUSE_MS: Range<u64> = 300..4_000;
/// Range of the age of the copy to which the store returns, in milliseconds.
const STORE_COPY_AGE_MS: Range<u64> = 500..20_000;
/// Range of the time for which the store fails, in milliseconds.
const STORE_FAULT_MS: Range<u64> = 300..5_000;
/// Factor of the load during a burst.
const BURST_FACTOR: f64 = 4.0;
/// Factor of the load during a burst that spends the budget of a rarely used service at once.
const EDGE_BURST_FACTOR: f64 = 30.0;
/// Factor of the load of a rarely used service between bursts.
const EDGE_USUAL_FACTOR: f64 = 0.02;
/// Number of such bursts.
const EDGE_BURSTS: u64 = 5;
/// Length of such a burst, in milliseconds.
const EDGE_BURST_MS: u64 = 60;
/// Time for which requests of such a burst are refused, in milliseconds.
const EDGE_REFUSALS_MS: u64 = 200;
/// By how much less than a window the next burst begins after one, in milliseconds.
const EDGE_MS: u64 = 300;
/// Time for which the processes of the applications are paused, in milliseconds.
const PAUSED_MS: u64 = 9_000;

/// The faults and bursts of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Faults by time.
    pub steps: Vec<Step>,
    /// Times in which more requests are sent, in milliseconds since the start of the load.
    pub bursts_ms: Vec<Range<u64>>,
    /// Factor of the load in these times.
    pub burst_factor: f64,
    /// Factor of the load at other times.
    pub usual_factor: f64,
}

impl Scenario {
    /// Returns the scenario of that name.
    ///
    /// # Errors
    ///
    /// Fails if there is none of that name.
    pub fn named(
        name: &str,
        length_ms: u64,
        gateways: usize,
        rng: &mut StdRng,
    ) -> anyhow::Result<Self> {
        let mut scenario = match name {
            "burst" => Self::burst(),
            "outage" => Self::outage(length_ms),
            "edge" => Self::edge(),
            "pause" => Self::pause(),
            "random" => Self::random(length_ms, gateways, rng),
            _ => bail!("unknown scenario {name:?}; allowed: burst, edge, outage, pause or random"),
        };
        scenario.steps.sort_by_key(|step| step.at_ms);
        Ok(scenario)
    }

    /// Many requests find the applications full; a second later these lose answers, and again 26 s
    /// after the beginning.
    fn burst() -> Self {
        let at_ms = FIRST_FAULT_MS;
        let steps = [
            (at_ms, Fault::Application(Reply::NotExecuted)),
            (at_ms + 1_000, Fault::Application(Reply::Disconnect)),
            (at_ms + 2_500, Fault::Application(answered())),
            (at_ms + 26_000, Fault::Application(Reply::Disconnect)),
            (at_ms + 27_000, Fault::Application(answered())),
        ];
        Self {
            steps: steps.map(|(at_ms, fault)| Step { at_ms, fault }).into(),
            bursts_ms: one(at_ms..at_ms + 2_500),
            burst_factor: BURST_FACTOR,
            usual_factor: 1.0,
        }
    }

    /// The applications refuse all requests until the end.
    fn outage(length_ms: u64) -> Self {
        let steps = [
            (FIRST_FAULT_MS, Fault::Application(Reply::NotExecuted)),
            (length_ms, Fault::Application(answered())),
        ];
        Self {
            steps: steps.map(|(at_ms, fault)| Step { at_ms, fault }).into(),
            bursts_ms: Vec::new(),
            burst_factor: 1.0,
            usual_factor: 1.0,
        }
    }

    /// Short bursts of requests to rarely used services, which refuse them; each begins a little less
    /// than a window after the one before.
    fn edge() -> Self {
        let begins = (0..EDGE_BURSTS).map(|i| FIRST_FAULT_MS + i * (BOUND.window_ms - EDGE_MS));
        let steps = begins.clone().flat_map(|at_ms| {
            let end_ms = at_ms + EDGE_REFUSALS_MS;
            [
                (at_ms, Fault::Application(Reply::NotExecuted)),
                (end_ms, Fault::Application(answered())),
            ]
        });
        Self {
            steps: steps.map(|(at_ms, fault)| Step { at_ms, fault }).collect(),
            bursts_ms: begins.map(|at_ms| at_ms..at_ms + EDGE_BURST_MS).collect(),
            burst_factor: EDGE_BURST_FACTOR,
            usual_factor: EDGE_USUAL_FACTOR,
        }
    }

    /// The processes of the applications are paused; while they are, gateways repeat what timed
    /// out, and all of it arrives when they go on.
    fn pause() -> Self {
        let at_ms = FIRST_FAULT_MS;
        let steps = [
            (at_ms, Fault::ApplicationRunning(false)),
            (at_ms + PAUSED_MS, Fault::Application(Reply::NotExecuted)),
            (at_ms + PAUSED_MS, Fault::ApplicationRunning(true)),
            (
                at_ms + PAUSED_MS + BOUND.window_ms,
                Fault::Application(answered()),
            ),
        ];
        Self {
            steps: steps.map(|(at_ms, fault)| Step { at_ms, fault }).into(),
            bursts_ms: one(at_ms..at_ms + PAUSED_MS + BOUND.window_ms),
            burst_factor: BURST_FACTOR,
            usual_factor: 1.0,
        }
    }

    /// Faults of all kinds in series, some of which overlap.
    fn random(length_ms: u64, gateways: usize, rng: &mut StdRng) -> Self {
        let mut steps = Vec::new();
        let mut at_ms = rng.random_range(2_000..FIRST_FAULT_MS);
        while at_ms < length_ms {
            let gateway = rng.random_range(0..gateways);
            let (fault, end, range_ms) = match rng.random_range(0..10) {
                0..=3 => (
                    Fault::Application(failing_reply(rng)),
                    Some(Fault::Application(answered())),
                    FAULT_MS,
                ),
                4 => (
                    Fault::Model(failing_reply(rng)),
                    Some(Fault::Model(streamed())),
                    FAULT_MS,
                ),
                5 => (
                    Fault::ApplicationRunning(false),
                    Some(Fault::ApplicationRunning(true)),
                    FAULT_MS,
                ),
                6 => (Fault::Restart(gateway), None, FAULT_MS),
                7 => (
                    Fault::Pause(gateway),
                    Some(Fault::Continue(gateway)),
                    GATEWAY_PAUSE_MS,
                ),
                8 => (
                    Fault::CopyStore,
                    Some(Fault::RestoreStore),
                    STORE_COPY_AGE_MS,
                ),
                _ => (
                    Fault::Store(store_mode(rng)),
                    Some(Fault::Store(StoreMode::Serving)),
                    STORE_FAULT_MS,
                ),
            };
            steps.push(Step { at_ms, fault });
            let end_ms = at_ms + rng.random_range(range_ms);
            steps.extend(end.map(|fault| Step {
                at_ms: end_ms,
                fault,
            }));
            at_ms += rng.random_range(PAUSE_MS);
        }
        let burst_from_ms = rng.random_range(0..length_ms);
        Self {
            steps,
            bursts_ms: one(burst_from_ms..burst_from_ms + rng.random_range(FAULT_MS)),
            burst_factor: rng.random_range(1.0..=BURST_FACTOR),
            usual_factor: 1.0,
        }
    }

    /// Returns the factor of the load at a time.
    #[must_use]
    pub fn load_factor(&self, at_ms: u64) -> f64 {
        if self
            .bursts_ms
            .iter()
            .any(|burst_ms| burst_ms.contains(&at_ms))
        {
            return self.burst_factor;
        }
        self.usual_factor
    }

    /// Carries out the steps at their times.
    ///
    /// # Errors
    ///
    /// Fails where a process cannot be started or signalled.
    pub async fn play(
        &self,
        start: Instant,
        gateways: &mut [GatewayProcess],
        services: &Services,
        fixture: &PlatformFixture,
    ) -> anyhow::Result<()> {
        let mut copy = fixture.store.copy();
        for step in &self.steps {
            sleep_until(start + Duration::from_millis(step.at_ms)).await;
            match &step.fault {
                Fault::Application(reply) => services.set_application_reply(reply),
                Fault::ApplicationRunning(is_running) => {
                    services.set_application_running(*is_running);
                }
                Fault::Model(reply) => services.set_model_reply(reply),
                Fault::Store(mode) => fixture.store.set_mode(*mode),
                Fault::CopyStore => copy = fixture.store.copy(),
                Fault::RestoreStore => {
                    fixture.store.restore(copy.clone());
                    services.write_again(fixture);
                }
                Fault::Restart(number) => gateways[*number].restart().await?,
                Fault::Pause(number) => gateways[*number].pause().await?,
                Fault::Continue(number) => gateways[*number].resume().await?,
            }
        }
        Ok(())
    }
}

fn one(range_ms: Range<u64>) -> Vec<Range<u64>> {
    std::iter::once(range_ms).collect()
}

fn failing_reply(rng: &mut StdRng) -> Reply {
    match rng.random_range(0..3) {
        0 => Reply::NotExecuted,
        1 => Reply::Disconnect,
        _ => Reply::Complete {
            status: 500,
            body: "failed".to_owned(),
        },
    }
}

fn store_mode(rng: &mut StdRng) -> StoreMode {
    match rng.random_range(0..3) {
        0 => StoreMode::Busy,
        1 => StoreMode::Silent,
        _ => StoreMode::LosingResponses,
    }
}
