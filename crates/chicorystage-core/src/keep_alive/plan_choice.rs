use crate::keep_alive::interval_histogram::{BUCKETS, upper_ms};
use crate::keep_alive::{KeepAliveCost, KeepAlivePlan, PrewarmWindow};

/// Cost of a load ahead of use as a share of a cold start.
///
/// Such a load competes at the weight store with loads for which requests wait.
const PREWARM_LOAD_SHARE: f64 = 0.1;

/// Returns the plan of least expected cost for a distribution of intervals.
///
/// Every bucket bound is tried as keep-alive, and every later pair of bounds as prewarm window.
/// Sums over the buckets are computed once, so the time is quadratic in the number of buckets.
pub(crate) fn choose(shares: &[f64], cost: &KeepAliveCost) -> KeepAlivePlan {
    let sums = Sums::new(shares);
    let cold_ms = cost.cold_start_in_idle_ms();
    let windows = best_windows(&sums, cold_ms);
    let mut best = (f64::INFINITY, 0, None);
    for (end, window) in windows.into_iter().enumerate() {
        let keep_ms = bound_ms(end);
        if keep_ms > as_f64(cost.keep_alive_max_ms) {
            break;
        }
        let expected = sums.idle_ms(0, end) + cold_ms * sums.beyond(end);
        let with_window = expected - window.map_or(0.0, |window| window.gain_ms);
        if with_window < best.0 {
            best = (with_window, end, window);
        }
    }
    let (_, end, window) = best;
    KeepAlivePlan {
        keep_alive_ms: as_ms(bound_ms(end)).clamp(
            cost.keep_alive_min_ms,
            cost.keep_alive_max_ms.max(cost.keep_alive_min_ms),
        ),
        prewarm: window.map(|window| PrewarmWindow {
            from_ms: as_ms(bound_ms(window.from)),
            until_ms: as_ms(bound_ms(window.until)),
        }),
    }
}

#[derive(Clone, Copy, Debug)]
struct Window {
    from: usize,
    until: usize,
    gain_ms: f64,
}

/// Prefix sums over buckets; index `i` stands for the lower bound of bucket `i`.
struct Sums {
    share: Vec<f64>,
    share_ms: Vec<f64>,
}

impl Sums {
    fn new(shares: &[f64]) -> Self {
        let mut share = vec![0.0];
        let mut share_ms = vec![0.0];
        for (i, part) in shares.iter().enumerate() {
            let middle_ms = f64::midpoint(bound_ms(i), bound_ms(i + 1));
            share.push(share[i] + part);
            share_ms.push(share_ms[i] + part * middle_ms);
        }
        Self { share, share_ms }
    }

    fn beyond(&self, end: usize) -> f64 {
        (1.0 - self.share[end]).max(0.0)
    }

    /// Returns the expected idle time of a replica that is loaded between two bounds, in
    /// milliseconds.
    fn idle_ms(&self, from: usize, until: usize) -> f64 {
        let within = self.share[until] - self.share[from];
        let within_ms = self.share_ms[until] - self.share_ms[from];
        let from_ms = bound_ms(from);
        let length_ms = bound_ms(until) - from_ms;
        (within_ms - within * from_ms) + length_ms * self.beyond(until)
    }
}

/// Returns for each bound the best window that starts at it or later; `None` if no window pays
/// off.
fn best_windows(sums: &Sums, cold_ms: f64) -> Vec<Option<Window>> {
    let mut best: Vec<Option<Window>> = vec![None; BUCKETS + 1];
    let mut so_far: Option<Window> = None;
    for from in (0..BUCKETS).rev() {
        let load_ms = cold_ms * PREWARM_LOAD_SHARE * sums.beyond(from);
        for until in from + 1..BUCKETS {
            let hits = sums.share[until] - sums.share[from];
            let gain_ms = cold_ms * hits - sums.idle_ms(from, until) - load_ms;
            if gain_ms > so_far.map_or(0.0, |window| window.gain_ms) {
                so_far = Some(Window {
                    from,
                    until,
                    gain_ms,
                });
            }
        }
        best[from] = so_far;
    }
    best
}

/// Returns a bucket bound in milliseconds; the first one is zero.
fn bound_ms(index: usize) -> f64 {
    index.checked_sub(1).map_or(0.0, upper_ms)
}

fn as_f64(ms: u64) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "times are far below the exact range"
    )]
    let value = ms as f64;
    value
}

fn as_ms(value: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounds are positive and small"
    )]
    let ms = value as u64;
    ms
}
