//! Spreads requests over endpoints whose load is known with a delay.
//!
//! Every router that sends to the endpoint with the least reported load sends to the same one
//! until the next report. The requests that other routers have sent since the last report are
//! therefore estimated, and endpoints are chosen at random such that these requests and the
//! present one together would even out the load: an endpoint is chosen in proportion to how far it
//! lies below the common level that results. Fresh reports make this the least loaded endpoint, old
//! ones a choice among many. The method is the basic load interpretation of M. Dahlin,
//! "Interpreting Stale Load Information", 2000.

use chicorystage_api::name::EndpointId;

/// How old the reports of other routers are, and a random number for the choice.
#[derive(Clone, Copy, Debug)]
pub struct StaleLoad {
    /// Mean age of what is known of the other routers' requests, in milliseconds.
    pub age_ms: u64,
    /// A random number from 0 up to 1.
    pub random: f64,
}

/// An endpoint that could take the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub id: &'a EndpointId,
    /// Cost of the endpoint; the least is best.
    pub cost: f64,
    /// Cost that one more request in progress adds.
    pub request_cost: f64,
    /// Requests that other routers have sent since their reports, as estimated from those reported here.
    pub arrived: f64,
}

impl StaleLoad {
    /// Chooses one of the candidates; `None` if there is none.
    ///
    /// Where reports are fresh, this is the first one of the least cost, whatever the random number.
    ///
    /// Takes time in proportion to n log n for n candidates.
    pub(super) fn choose<'a>(&self, candidates: &mut [Candidate<'a>]) -> Option<&'a EndpointId> {
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        if self.age_ms == 0 {
            return candidates.first().map(|candidate| candidate.id);
        }
        let level = Self::level(candidates)?;
        let below = |candidate: &Candidate<'_>| (level - candidate.cost).max(0.0);
        let mut left = self.random * candidates.iter().map(below).sum::<f64>();
        for candidate in candidates.iter() {
            left -= below(candidate);
            if left < 0.0 {
                return Some(candidate.id);
            }
        }
        candidates.first().map(|candidate| candidate.id)
    }

    /// Returns the probability with which each of the candidates is chosen, which are put in order of
    /// their cost.
    pub(super) fn probabilities<'a>(
        age_ms: u64,
        candidates: &mut [Candidate<'a>],
    ) -> Vec<(&'a EndpointId, f64)> {
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let level = Self::level(candidates).filter(|_| age_ms > 0);
        let below = |candidate: &Candidate<'_>| {
            level.map_or(0.0, |level| (level - candidate.cost).max(0.0))
        };
        let sum: f64 = candidates.iter().map(below).sum();
        let probability = |(i, candidate): (usize, &Candidate<'a>)| {
            let is_first = if i == 0 { 1.0 } else { 0.0 };
            let part = if sum > 0.0 {
                below(candidate) / sum
            } else {
                is_first
            };
            (candidate.id, part)
        };
        candidates.iter().enumerate().map(probability).collect()
    }

    /// Returns the cost up to which the expected requests raise the cheapest candidates, which are
    /// in order of their cost.
    fn level(candidates: &[Candidate<'_>]) -> Option<f64> {
        let mean_cost = mean(candidates.iter().map(|candidate| candidate.request_cost))?;
        let added_cost = Self::expected_requests(candidates) * mean_cost;
        let mut sum = added_cost;
        let mut level = f64::INFINITY;
        for (i, candidate) in candidates.iter().enumerate() {
            if candidate.cost >= level {
                break;
            }
            sum += candidate.cost;
            level = sum / as_f64(i + 1);
        }
        Some(level)
    }

    /// Returns the number of requests to place: those that other routers have sent since their
    /// reports, and the present one.
    fn expected_requests(candidates: &[Candidate<'_>]) -> f64 {
        let arrived: f64 = candidates.iter().map(|candidate| candidate.arrived).sum();
        1.0 + arrived
    }
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / as_f64(count))
}

#[expect(clippy::cast_precision_loss, reason = "there are few endpoints")]
fn as_f64(count: usize) -> f64 {
    count as f64
}
