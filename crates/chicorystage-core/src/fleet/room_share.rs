//! Divides the room at endpoints among routers whose requests wait for it.
//!
//! While an endpoint is full, requests for it wait at every router. The next report shows all routers the
//! same few free slots at the same time, and if each filled them, the endpoint would be overrun by all of
//! them until the report after, while the requests that went there could have gone elsewhere or begun
//! earlier. So a report of the load comes with the numbers of requests that wait, and each router uses
//! its part of the room: the part that its requests have of all that wait for it. Slots that its own
//! requests free it uses again at once, as no other router knows of them yet.
//!
//! Where no more requests wait than there is room for, or where one request of each router does not fill an
//! endpoint, nothing is divided.

use std::collections::HashMap;

use chicorystage_api::name::{EndpointId, ModelName};

use crate::fleet::{Endpoint, FleetView};

/// Part of the slots freed until the next report that routers without waiting requests leave to the others.
const FREED_PART: f64 = 0.5;

/// Requests that wait for each model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitingRequests {
    /// Requests that wait at this process.
    pub own: HashMap<ModelName, u32>,
    /// Requests that wait at the other routers, as last reported.
    pub others: HashMap<ModelName, u32>,
}

impl WaitingRequests {
    /// Returns whether no request waits anywhere.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.others.is_empty()
    }
}

/// When the load was reported, and for how long that counts.
#[derive(Clone, Copy, Debug)]
pub struct RoomReport {
    /// Number of routers, this one included.
    pub routers: usize,
    /// Time until the next report, in milliseconds.
    pub interval_ms: u64,
    /// Time from which shares no longer count if there is no further report, in milliseconds.
    pub valid_until_ms: u64,
}

/// Most requests that this process may have in progress at an endpoint until the next report.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnShare {
    pub requests_max: u32,
    /// Time from which the share no longer counts, in milliseconds.
    pub valid_until_ms: u64,
}

/// Requests that wait for an endpoint, per request that it has room for.
#[derive(Clone, Copy, Debug, Default)]
struct Pressure {
    own: f64,
    all: f64,
}

impl FleetView {
    /// Divides the room at each endpoint that more requests wait for than it has room for.
    ///
    /// Called whenever the load of the other routers was reported anew. The shares hold until the next
    /// call, and for half an interval at least: a share that is given again before others know of its use
    /// would be used twice. `random` returns numbers from 0 up to 1, which decide about parts of a request.
    /// Takes time linear in the number of endpoints and their models.
    pub fn share_room(
        &mut self,
        now_ms: u64,
        waiting: &WaitingRequests,
        report: RoomReport,
        random: impl FnMut() -> f64,
    ) {
        if waiting.is_empty() {
            self.end_shares();
            return;
        }
        let holds_until_ms = self.divided_ms.map(|at_ms| at_ms + report.interval_ms / 2);
        if holds_until_ms.is_some_and(|until_ms| now_ms < until_ms) {
            return;
        }
        self.divided_ms = Some(now_ms);
        self.divide(now_ms, waiting, report, random, |_| true);
    }

    /// Divides the room at endpoints that have just got another model, for which requests may wait at
    /// every router.
    pub fn share_room_at(
        &mut self,
        now_ms: u64,
        endpoints: &[EndpointId],
        waiting: &WaitingRequests,
        report: RoomReport,
        random: impl FnMut() -> f64,
    ) {
        if !endpoints.is_empty() && !waiting.is_empty() {
            self.divide(now_ms, waiting, report, random, |id| endpoints.contains(id));
        }
    }

    fn divide(
        &mut self,
        now_ms: u64,
        waiting: &WaitingRequests,
        report: RoomReport,
        mut random: impl FnMut() -> f64,
        is_divided: impl Fn(&EndpointId) -> bool,
    ) {
        let rooms = self.rooms(now_ms, report.interval_ms);
        let room_by_model = self.room_by_model(now_ms, &rooms);
        let room_of = |id: &EndpointId| rooms.get(id).copied().unwrap_or(0.0);
        let divided = self.endpoints.iter_mut().filter(|(id, _)| is_divided(id));
        for (id, endpoint) in divided {
            let pressure = pressure(now_ms, endpoint, waiting, &room_by_model);
            let is_crowded = pressure.all > 1.0;
            let fills =
                u32::try_from(report.routers).is_ok_and(|routers| routers > endpoint.entry.slots);
            let share = (is_crowded && fills).then(|| {
                let part = room_of(id) * pressure.own / pressure.all;
                OwnShare {
                    requests_max: endpoint.own_requests() + rounded(part, random()),
                    valid_until_ms: report.valid_until_ms,
                }
            });
            endpoint.set_own_share(share);
        }
        let divided = self.endpoints.values();
        self.divided = divided.filter(|endpoint| endpoint.has_own_share()).count();
    }

    /// Returns the number of endpoints whose room is divided.
    #[must_use]
    pub fn divided_endpoints(&self) -> usize {
        self.divided
    }

    /// Ends the division of room at all endpoints.
    fn end_shares(&mut self) {
        self.divided_ms = None;
        if self.divided == 0 {
            return;
        }
        for endpoint in self.endpoints.values_mut() {
            endpoint.set_own_share(None);
        }
        self.divided = 0;
    }

    /// Returns the room of each endpoint that accepts requests: its free slots, and those that others free
    /// until the next report.
    fn rooms(&self, now_ms: u64, interval_ms: u64) -> HashMap<EndpointId, f64> {
        let ended_part = |endpoint: &Endpoint| {
            self.turnover
                .ended_part(&endpoint.entry.service, interval_ms)
        };
        let usable = self
            .endpoints()
            .filter(|(_, endpoint)| endpoint.is_usable(now_ms));
        let rooms = usable.map(|(id, endpoint)| {
            let free = endpoint.entry.slots.saturating_sub(self.occupancy(id));
            let leaving = f64::from(self.occupancy(id)) * ended_part(endpoint);
            (id.clone(), f64::from(free) + leaving * FREED_PART)
        });
        rooms.collect()
    }

    /// Returns the room of all endpoints that hold a model together.
    fn room_by_model(
        &self,
        now_ms: u64,
        rooms: &HashMap<EndpointId, f64>,
    ) -> HashMap<ModelName, f64> {
        let mut by_model: HashMap<ModelName, f64> = HashMap::new();
        for (id, room) in rooms {
            let models = self
                .get(id)
                .map_or(&[][..], |endpoint| endpoint.models(now_ms));
            for loaded in models {
                *by_model.entry(loaded.model.clone()).or_default() += room;
            }
        }
        by_model
    }
}

/// Returns how many requests wait for an endpoint per request that it has room for, where those for a
/// model spread over the room of all endpoints that hold it.
fn pressure(
    now_ms: u64,
    endpoint: &Endpoint,
    waiting: &WaitingRequests,
    room_by_model: &HashMap<ModelName, f64>,
) -> Pressure {
    let mut pressure = Pressure::default();
    for loaded in endpoint.models(now_ms) {
        let room = room_by_model.get(&loaded.model).copied().unwrap_or(0.0);
        let count = |counts: &HashMap<ModelName, u32>| {
            f64::from(counts.get(&loaded.model).copied().unwrap_or(0))
        };
        let own = count(&waiting.own) / room.max(1.0);
        pressure.own += own;
        pressure.all += own + count(&waiting.others) / room.max(1.0);
    }
    pressure
}

/// Rounds a number down or up, such that its mean over all random numbers is the number itself.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "at most the slots of an endpoint"
)]
fn rounded(number: f64, random: f64) -> u32 {
    (number + random).floor() as u32
}
