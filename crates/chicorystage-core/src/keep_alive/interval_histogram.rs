/// Number of buckets per doubling of the interval.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Lower bound of the second bucket, in milliseconds; shorter intervals fall into the first.
const SMALLEST_INTERVAL_MS: f64 = 1_000.0;
/// Number of buckets; the last one holds all intervals above about a day and a half.
pub(crate) const BUCKETS: usize = 136;
/// Factor by which the weight of a recorded interval decays with each later one.
const DECAY_FACTOR: f32 = 0.97;

/// Exponentially decayed counts of intervals on a logarithmic scale.
#[derive(Clone, Debug)]
pub(crate) struct IntervalHistogram {
    counts: Vec<f32>,
    total: f32,
}

impl IntervalHistogram {
    pub(crate) fn new() -> Self {
        Self {
            counts: vec![0.0; BUCKETS],
            total: 0.0,
        }
    }

    /// Records an interval between two requests, in time linear in the number of buckets.
    pub(crate) fn record(&mut self, interval_ms: u64) {
        for count in &mut self.counts {
            *count *= DECAY_FACTOR;
        }
        self.counts[bucket(interval_ms)] += 1.0;
        self.total = self.total * DECAY_FACTOR + 1.0;
    }

    pub(crate) fn total(&self) -> f32 {
        self.total
    }

    /// Returns the share of intervals in each bucket, with another histogram as prior.
    ///
    /// The prior counts as `prior_intervals` recorded intervals.
    pub(crate) fn shares(&self, prior: &Self, prior_intervals: f32) -> Vec<f64> {
        let prior_scale = if prior.total > 0.0 {
            prior_intervals / prior.total
        } else {
            0.0
        };
        let sum = self.total + prior.total * prior_scale;
        let merged = self.counts.iter().zip(&prior.counts);
        merged
            .map(|(own, prior)| f64::from((own + prior * prior_scale) / sum.max(f32::MIN_POSITIVE)))
            .collect()
    }
}

/// Returns the upper bound of a bucket, in milliseconds.
pub(crate) fn upper_ms(bucket: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "there are few buckets")]
    let octaves = bucket as f64 / BUCKETS_PER_OCTAVE;
    SMALLEST_INTERVAL_MS * octaves.exp2()
}

fn bucket(interval_ms: u64) -> usize {
    #[expect(
        clippy::cast_precision_loss,
        reason = "intervals are far below the exact range"
    )]
    let ratio = interval_ms as f64 / SMALLEST_INTERVAL_MS;
    if ratio <= 1.0 {
        return 0;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the ratio is above one and the logarithm small"
    )]
    let at = (ratio.log2() * BUCKETS_PER_OCTAVE).ceil() as usize;
    at.min(BUCKETS - 1)
}
