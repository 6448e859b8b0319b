use std::ops::Range;
use std::time::Duration;

use anyhow::bail;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep_until};

use crate::soak::fault::{Fault, Step};
use crate::soak::gateway_process::GatewayProcess;
use crate::soak::services::{Services, answered, streamed};
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
/// Range of the time for which the store fails, in milliseconds.
const STORE_FAULT_MS: Range<u64> = 300..5_000;
/// Factor of the load during a burst.
const BURST_FACTOR: u32 = 4;

/// The faults and bursts of a run.
#[derive(Debug)]
pub struct Course {
    /// Faults by time.
    pub steps: Vec<Step>,
    /// Time in which more requests are sent, in milliseconds since the start of the load.
    pub burst_ms: Range<u64>,
    /// Factor of the load in that time.
    pub burst_factor: u32,
}

impl Course {
    /// Returns the course of that name.
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
        let mut course = match name {
            "burst" => Self::burst(),
            "outage" => Self::outage(length_ms),
            "random" => Self::random(length_ms, gateways, rng),
            _ => bail!("unknown course {name:?}; allowed: burst, outage or random"),
        };
        course.steps.sort_by_key(|step| step.at_ms);
        Ok(course)
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
            burst_ms: at_ms..at_ms + 2_500,
            burst_factor: BURST_FACTOR,
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
            burst_ms: 0..0,
            burst_factor: 1,
        }
    }

    /// Faults of all kinds in series, some of which overlap.
    fn random(length_ms: u64, gateways: usize, rng: &mut StdRng) -> Self {
        let mut steps = Vec::new();
        let mut at_ms = rng.random_range(2_000..FIRST_FAULT_MS);
        while at_ms < length_ms {
            let gateway = rng.random_range(0..gateways);
            let (fault, end, range_ms) = match rng.random_range(0..8) {
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
                5 => (Fault::Restart(gateway), None, FAULT_MS),
                6 => (
                    Fault::Pause(gateway),
                    Some(Fault::Continue(gateway)),
                    GATEWAY_PAUSE_MS,
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
            burst_ms: burst_from_ms..burst_from_ms + rng.random_range(FAULT_MS),
            burst_factor: rng.random_range(1..=BURST_FACTOR),
        }
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
        for step in &self.steps {
            sleep_until(start + Duration::from_millis(step.at_ms)).await;
            match &step.fault {
                Fault::Application(reply) => services.set_application_reply(reply),
                Fault::Model(reply) => services.set_model_reply(reply),
                Fault::Store(mode) => fixture.store.set_mode(*mode),
                Fault::Restart(number) => gateways[*number].restart().await?,
                Fault::Pause(number) => gateways[*number].pause().await?,
                Fault::Continue(number) => gateways[*number].resume().await?,
            }
        }
        Ok(())
    }
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
