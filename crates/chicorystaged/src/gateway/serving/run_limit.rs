//! How long one run of a request may take.

use std::pin::pin;
use std::time::Duration;

use chicorystage_api::name::EndpointId;
use chicorystage_core::deployment::RouteKind;
use chicorystage_core::fleet::Requirements;

use crate::gateway::serving::Serving;

/// Fraction of the remaining time that a run may take while another run is still allowed.
const RUN_TIME_FRACTION: f64 = 0.45;
/// Interval at which a run that is over its time, and kept, is examined again, in milliseconds.
const KEPT_CHECK_MS: u64 = 100;

impl Serving {
    /// Waits for a run at an endpoint; returns `None` once it is given up.
    ///
    /// A run that is over its time is given up only if the request could be sent elsewhere then.
    pub(super) async fn within_run_limit<T>(
        &self,
        requirements: &Requirements,
        endpoint: &EndpointId,
        run: impl Future<Output = T>,
    ) -> Option<T> {
        let mut run = pin!(run);
        let mut limit_ms = self.run_limit_ms();
        let mut is_kept = false;
        loop {
            let limit = Duration::from_millis(limit_ms);
            if let Ok(done) = tokio::time::timeout(limit, &mut run).await {
                return Some(done);
            }
            let left_ms = self.work.left_ms(self.gateway.now_ms());
            let checked = self.gateway.could_send_elsewhere(requirements, endpoint);
            let (true, Err(lacking)) = (left_ms > 0, checked) else {
                return None;
            };
            if !is_kept {
                log::info!(
                    event = "slow_run_kept", request = self.work.head.attempt_id.as_str(),
                    endpoint = endpoint.as_str(), lacking:%, left_ms;
                    "endpoint is slow and the request could not be sent elsewhere"
                );
            }
            is_kept = true;
            limit_ms = left_ms.min(KEPT_CHECK_MS);
        }
    }

    /// Returns the longest time until the answer's head of this run must arrive, in milliseconds.
    ///
    /// While an idempotent request may run again, a run gets only a part of the remaining time.
    fn run_limit_ms(&self) -> u64 {
        let left_ms = self.work.left_ms(self.gateway.now_ms());
        let is_last = self.runs + 1 >= self.work.route.endpoints_per_attempt_max;
        if self.work.route.kind != RouteKind::Idempotent || is_last {
            return left_ms;
        }
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a part of a time left that is far below the mantissa"
        )]
        let run_ms = (left_ms as f64 * RUN_TIME_FRACTION) as u64;
        run_ms
    }
}
