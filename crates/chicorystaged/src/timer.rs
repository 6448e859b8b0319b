//! Clocks and periodic ticks.
//!
//! Code reads time through [`Clock`], a monotonic clock that counts
//! milliseconds since its start and follows tokio's virtual time in tests.
//! Periodic work subscribes to ticks of the clock; dropping the receiver ends
//! the subscription.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval_at};

/// A monotonic clock in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// One tick of a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick {
    /// Clock's reading when the tick was sent, in milliseconds since its start.
    pub now_ms: u64,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock started, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns a receiver of ticks that are `period_ms` apart.
    ///
    /// At most one tick is buffered. Ticks that were missed while the process
    /// was paused are not sent later.
    #[must_use]
    pub fn subscribe(&self, period_ms: u64) -> mpsc::Receiver<Tick> {
        let clock = *self;
        let (sender, receiver) = mpsc::channel(1);
        let period = Duration::from_millis(period_ms.max(1));
        tokio::spawn(async move {
            let mut ticks = interval_at(Instant::now() + period, period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    _instant = ticks.tick() => {}
                    () = sender.closed() => return,
                }
                let tick = Tick {
                    now_ms: clock.now_ms(),
                };
                if sender.send(tick).await.is_err() {
                    return;
                }
            }
        });
        receiver
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time since the VM's boot in milliseconds, including time spent suspended.
#[must_use]
pub fn boot_ms() -> u64 {
    const NS_PER_MS: i64 = 1_000_000;
    const MS_PER_S: i64 = 1_000;
    let time = clock_gettime(ClockId::Boottime);
    u64::try_from(time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS).unwrap_or(0)
}
