//! Records that requests want limited endpoints.

use chicorystage_api::name::EndpointId;
use chicorystage_core::fleet::{FleetView, Requirements};

use crate::gateway::shared::Gateway;

/// Time for which a request that went elsewhere makes the gateway want a token for the next one, in
/// milliseconds.
const WANT_LATER_MS: u64 = 300;

impl Gateway {
    /// Records that a request waits until `until_ms` for a token, if it waits for a limited endpoint.
    pub(in crate::gateway) fn want_limited(&self, requirements: &Requirements, until_ms: u64) {
        let now_ms = self.now_ms();
        let is_limited = self.with(|view| {
            let Some(id) = view.fleet.limited_for_waiting(now_ms, requirements) else {
                return false;
            };
            let endpoint = view.fleet.get_mut(&id);
            let limit = endpoint.and_then(|endpoint| endpoint.limit.get_mut());
            limit.is_some_and(|limit| {
                limit.want(now_ms, until_ms);
                true
            })
        });
        if is_limited {
            self.limits_changed.notify_one();
        }
    }

    /// Records that a request went elsewhere though a limited endpoint would have been better, so that
    /// the next one may find a token.
    pub(in crate::gateway) fn want_later(
        &self,
        now_ms: u64,
        fleet: &mut FleetView,
        id: &EndpointId,
    ) {
        let until_ms = now_ms + WANT_LATER_MS;
        let endpoint = fleet.get_mut(id);
        let Some(limit) = endpoint.and_then(|endpoint| endpoint.limit.get_mut()) else {
            return;
        };
        if limit.want_later(now_ms, until_ms) {
            self.limits_changed.notify_one();
        }
    }
}
