use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;

use chicorystage_api::name::{EndpointId, ModelName, ServiceName, SoftwareVersion, VmId, ZoneName};

use crate::fleet::assessment::ChoiceContext;
use crate::fleet::turnover::Turnover;
use crate::fleet::{
    Choice, Endpoint, EndpointEntry, EndpointState, EntryChange, PeerLoad, Requirements, StaleLoad,
    Standing, UncachedModel,
};

/// All endpoints and the load on them, as known to this process.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    pub(super) endpoints: BTreeMap<EndpointId, Endpoint>,
    peers: HashMap<VmId, PeerLoad>,
    /// Requests in progress of the other routers, by endpoint.
    totals: HashMap<EndpointId, u32>,
    /// Requests in progress of the other routers, by endpoint and model.
    model_totals: HashMap<(EndpointId, Option<ModelName>), u32>,
    /// Number of endpoints whose room is divided.
    pub(super) divided: usize,
    /// Time of the last division of room, in milliseconds; `None` where nothing waited since.
    pub(super) divided_ms: Option<u64>,
    /// How long requests stay at endpoints.
    pub(super) turnover: Turnover,
    /// Models that only the weight store can bring, with the time of such a load in milliseconds.
    uncached: HashMap<ModelName, u64>,
    /// Time from which `uncached` no longer counts, in milliseconds.
    uncached_until_ms: u64,
    /// Recorded software versions of the services at which streams may be resumed.
    pub(super) recorded_software: HashMap<ServiceName, BTreeSet<SoftwareVersion>>,
}

impl FleetView {
    /// Stores a registry entry and returns what it changed.
    ///
    /// An endpoint whose start time, address or software version differs has restarted; its derived
    /// state is reset.
    pub fn registered(&mut self, entry: EndpointEntry) -> EntryChange {
        let is_recorded = self.is_software_recorded(&entry);
        let Some(known) = self.endpoints.get_mut(&entry.id) else {
            let id = entry.id.clone();
            let mut endpoint = Endpoint::new(entry);
            endpoint.set_software_recorded(is_recorded);
            self.endpoints.insert(id, endpoint);
            return EntryChange::Added;
        };
        known.set_software_recorded(is_recorded);
        known.entry_written();
        if known.entry == entry {
            return EntryChange::Same;
        }
        let is_restarted = known.entry.born_unix_ms != entry.born_unix_ms
            || known.entry.address != entry.address
            || known.entry.software != entry.software;
        let is_leaving =
            entry.state == EndpointState::Leaving && known.entry.state == EndpointState::Ready;
        known.entry = entry;
        if is_restarted {
            known.restarted();
            return EntryChange::Restarted;
        }
        if is_leaving {
            return EntryChange::Leaving;
        }
        EntryChange::Updated
    }

    /// Removes an endpoint and returns whether it was known.
    pub fn removed(&mut self, id: &EndpointId) -> bool {
        self.endpoints.remove(id).is_some()
    }

    /// Returns whether any endpoint states when its process started.
    ///
    /// Where none does, each process has an identity of its own.
    #[must_use]
    pub fn states_starts(&self) -> bool {
        self.endpoints()
            .any(|(_, endpoint)| endpoint.entry.born_unix_ms.is_some())
    }

    /// Returns an endpoint; `None` if it is not registered.
    #[must_use]
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Returns an endpoint for modification; `None` if it is not registered.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// Returns all endpoints, ordered by identity.
    pub fn endpoints(&self) -> impl Iterator<Item = (&EndpointId, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Replaces the requests in progress of another router.
    pub fn peer_load(&mut self, peer: VmId, load: PeerLoad) {
        self.forget_peer(&peer);
        for ((endpoint, model), count) in &load.in_progress {
            *self.totals.entry(endpoint.clone()).or_default() += count;
            let key = (endpoint.clone(), model.clone());
            *self.model_totals.entry(key).or_default() += count;
        }
        self.peers.insert(peer, load);
    }

    /// Replaces the reports of all other routers by their sum, received from one router.
    pub fn replace_peer_loads(&mut self, from: VmId, load: PeerLoad) {
        let known: Vec<VmId> = self.peers.keys().cloned().collect();
        for peer in known {
            self.forget_peer(&peer);
        }
        self.peer_load(from, load);
    }

    /// Removes the reports of other routers that no longer count.
    pub fn forget_silent_peers(&mut self, now_ms: u64) {
        let is_silent = |load: &PeerLoad| now_ms >= load.valid_until_ms;
        let silent = self.peers.iter().filter(|(_, load)| is_silent(load));
        let silent: Vec<VmId> = silent.map(|(peer, _)| peer.clone()).collect();
        for peer in silent {
            self.forget_peer(&peer);
        }
    }

    /// Returns the number of requests that the other routers have reported at an endpoint.
    #[must_use]
    pub(super) fn others_at(&self, id: &EndpointId) -> u32 {
        self.totals.get(id).copied().unwrap_or(0)
    }

    /// Returns the number of requests that all routers have in progress at an endpoint.
    #[must_use]
    pub fn occupancy(&self, id: &EndpointId) -> u32 {
        let own = self.endpoints.get(id).map_or(0, Endpoint::own_requests);
        own + self.others_at(id)
    }

    /// Returns an upper bound of the number of routers that send to an endpoint at present, this one
    /// included, of `routers` in all.
    ///
    /// Where there are many routers, most of them have no request there.
    #[must_use]
    pub fn sharing_routers(&self, id: &EndpointId, routers: usize) -> usize {
        let others = self.others_at(id);
        let others = usize::try_from(others).unwrap_or(usize::MAX);
        others.saturating_add(1).min(routers)
    }

    /// Returns the number of requests that all routers have in progress, by endpoint and model.
    #[must_use]
    pub fn model_occupancy(&self) -> HashMap<(EndpointId, ModelName), u32> {
        let own = self.endpoints.iter().flat_map(|(id, endpoint)| {
            endpoint
                .in_progress()
                .map(move |(model, count)| ((id.clone(), model.clone()), count))
        });
        let others = self
            .model_totals
            .iter()
            .map(|(key, count)| (key.clone(), *count));
        let mut table = HashMap::new();
        for ((endpoint, model), count) in own.chain(others) {
            if let Some(model) = model {
                *table.entry((endpoint, model)).or_default() += count;
            }
        }
        table
    }

    /// Returns the earliest time at which a load of the model in progress should complete, in
    /// milliseconds.
    fn due_ms(&self, now_ms: u64, model: &ModelName) -> Option<u64> {
        let usable = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.is_ready());
        let loading = usable.filter_map(|endpoint| endpoint.loading(now_ms));
        let loading = loading.filter(|loading| loading.model == *model);
        loading.map(|loading| loading.due_ms).min()
    }

    /// Returns the earliest time at which the weight store could bring a model without a copy, in
    /// milliseconds.
    fn store_load_due_ms(&self, now_ms: u64, model: &ModelName) -> Option<u64> {
        let load_ms = self.uncached.get(model)?;
        (now_ms < self.uncached_until_ms).then(|| now_ms + load_ms)
    }

    /// Replaces the models that only the weight store can bring; the list counts until
    /// `valid_until_ms`.
    pub fn uncached_reported(&mut self, models: Vec<UncachedModel>, valid_until_ms: u64) {
        let models = models.into_iter();
        self.uncached = models.map(|model| (model.model, model.load_ms)).collect();
        self.uncached_until_ms = valid_until_ms;
    }

    /// Returns when what a request that comes now lacks should be available, in milliseconds.
    ///
    /// That is the load of its model, or the time that endpoints which turned requests away have
    /// named, or the next token of limited endpoints. A model that only the weight store can bring
    /// takes at least the time of such a load. Returns `None` where that is not known.
    #[must_use]
    pub fn ready_ms(
        &self,
        now_ms: u64,
        requirements: &Requirements,
        reason: &Choice,
    ) -> Option<u64> {
        self.ready_for_ms(now_ms, requirements, reason, Standing::New)
    }

    /// Returns when what a request lacks should be available as [`Self::ready_ms`] does, for the
    /// request that has waited longest or one that comes now.
    #[must_use]
    pub fn ready_for_ms(
        &self,
        now_ms: u64,
        requirements: &Requirements,
        reason: &Choice,
        standing: Standing,
    ) -> Option<u64> {
        if matches!(reason, Choice::Full | Choice::Limited) {
            return self.held_until_ms(now_ms, requirements, standing);
        }
        let model = requirements.model.as_ref()?;
        let is_model_missing = *reason == Choice::NoModel;
        if !is_model_missing {
            return None;
        }
        self.due_ms(now_ms, model)
            .or_else(|| self.store_load_due_ms(now_ms, model))
    }

    /// Selects the endpoint with the least cost among those that meet the requirements and have
    /// capacity.
    ///
    /// Without such an endpoint the result is the reason that is closest to success. Takes time
    /// linear in the number of endpoints.
    #[must_use]
    pub fn choose(&self, now_ms: u64, zone: &ZoneName, requirements: &Requirements) -> Choice {
        let context = ChoiceContext {
            now_ms,
            zone,
            requirements,
            age_ms: 0,
        };
        let candidates = match self.candidates(&context) {
            Ok(candidates) => candidates,
            Err(reason) => return reason,
        };
        let best = candidates.iter().min_by(|a, b| a.cost.total_cmp(&b.cost));
        best.map_or(Choice::NoEndpoint, |best| Choice::Endpoint(best.id.clone()))
    }

    /// Selects an endpoint as [`Self::choose`] does, but spreads requests over several where the
    /// load of the other routers is known with a delay.
    #[must_use]
    pub fn choose_spread(
        &self,
        now_ms: u64,
        zone: &ZoneName,
        requirements: &Requirements,
        stale_load: StaleLoad,
    ) -> Choice {
        let context = ChoiceContext {
            now_ms,
            zone,
            requirements,
            age_ms: stale_load.age_ms,
        };
        let mut candidates = match self.candidates(&context) {
            Ok(candidates) => candidates,
            Err(reason) => return reason,
        };
        let chosen = stale_load.choose(&mut candidates);
        chosen.map_or(Choice::NoEndpoint, |id| Choice::Endpoint(id.clone()))
    }

    /// Records that a request has ended that stayed at an endpoint of a service for `time_ms`.
    pub fn request_ended(&mut self, service: &ServiceName, time_ms: u64) {
        self.turnover.record(service, time_ms);
    }

    fn forget_peer(&mut self, peer: &VmId) {
        let Some(load) = self.peers.remove(peer) else {
            return;
        };
        for (key, count) in load.in_progress {
            subtract(&mut self.totals, &key.0, count);
            subtract(&mut self.model_totals, &key, count);
        }
    }
}

/// Subtracts from a count and removes the entry when it reaches 0.
fn subtract<K: Eq + Hash>(table: &mut HashMap<K, u32>, key: &K, count: u32) {
    let Some(total) = table.get_mut(key) else {
        return;
    };
    *total = total.saturating_sub(count);
    if *total == 0 {
        table.remove(key);
    }
}
