use std::collections::{BTreeMap, HashMap};

use chicorystage_api::name::{EndpointId, VmId};

use crate::request_limit::token_bucket::TokenBucket;
use crate::request_limit::{RequestGrant, TokenWish, time_ms};

/// Longest time for which a gateway's wish for tokens counts, in milliseconds.
///
/// Gateways repeat it for as long as they have requests for the endpoint.
const WISH_VALID_MAX_MS: u64 = 300;

/// Divides the limits of endpoints among gateways, at the lease holder.
#[derive(Clone, Debug, Default)]
pub struct LimitAllocator {
    allocations: HashMap<EndpointId, Allocation>,
}

/// Tokens of one endpoint, and the gateways that want some.
#[derive(Clone, Debug)]
struct Allocation {
    bucket: TokenBucket,
    wishes: BTreeMap<VmId, Wish>,
    /// Number of grants so far.
    grants: u64,
}

/// Number of tokens that a gateway wants.
#[derive(Clone, Copy, Debug)]
struct Wish {
    tokens: u32,
    until_ms: u64,
    /// Number of the last grant to the gateway; 0 before the first.
    last_grant: u64,
}

impl LimitAllocator {
    /// Sets the limit of an endpoint, in requests a second.
    ///
    /// Tokens accrue from the first call on.
    pub fn set_limit(&mut self, now_ms: u64, endpoint: &EndpointId, per_s: f64) {
        self.allocations
            .entry(endpoint.clone())
            .and_modify(|allocation| allocation.bucket.set_rate(now_ms, per_s))
            .or_insert_with(|| Allocation {
                bucket: TokenBucket::new(now_ms, per_s),
                wishes: BTreeMap::new(),
                grants: 0,
            });
    }

    /// Keeps the endpoints of which `is_limited` returns true and forgets the others.
    pub fn retain(&mut self, mut is_limited: impl FnMut(&EndpointId) -> bool) {
        self.allocations.retain(|endpoint, _| is_limited(endpoint));
    }

    /// Forgets everything, as another holder divides the limits.
    pub fn clear(&mut self) {
        self.allocations.clear();
    }

    /// Records how many tokens a gateway wants for an endpoint; it replaces what it wanted before.
    pub fn wish(&mut self, now_ms: u64, endpoint: &EndpointId, gateway: &VmId, wish: TokenWish) {
        let Some(allocation) = self.allocations.get_mut(endpoint) else {
            return;
        };
        let known = allocation.wishes.entry(gateway.clone()).or_insert(Wish {
            tokens: 0,
            until_ms: 0,
            last_grant: 0,
        });
        known.tokens = wish.tokens;
        known.until_ms = now_ms + wish.valid_ms.min(WISH_VALID_MAX_MS);
    }

    /// Takes tokens for the gateways that want some, in turn, and returns the number by endpoint and
    /// gateway.
    pub fn take_grants(&mut self, now_ms: u64) -> Vec<(EndpointId, VmId, u32)> {
        let mut grants = Vec::new();
        for (endpoint, allocation) in &mut self.allocations {
            for (gateway, tokens) in allocation.take_grants(now_ms) {
                grants.push((endpoint.clone(), gateway, tokens));
            }
        }
        grants
    }

    /// Returns the grant of a number of tokens to a gateway, with the times of those that follow.
    #[must_use]
    pub fn grant(
        &mut self,
        now_ms: u64,
        endpoint: &EndpointId,
        gateway: &VmId,
        tokens: u32,
    ) -> Option<RequestGrant> {
        let allocation = self.allocations.get_mut(endpoint)?;
        let others = allocation.wishes.iter();
        let others = others.filter(|(vm, wish)| *vm != gateway && wish.is_open(now_ms));
        let others = u32::try_from(others.count()).unwrap_or(u32::MAX);
        // Each of the others has its turn before the gateway has another one.
        let round = f64::from(others) + 1.0;
        let next_in_ms = allocation.bucket.time_until_ms(now_ms, round);
        if let Some(wish) = allocation.wishes.get_mut(gateway)
            && now_ms + next_in_ms > wish.until_ms
        {
            // The gateway's requests will not wait so long.
            wish.tokens = 0;
        }
        Some(RequestGrant {
            tokens,
            next_in_ms,
            interval_ms: time_ms(round, allocation.bucket.per_s()),
        })
    }

    /// Returns the time until the next token that some gateway waits for, in milliseconds; `None` if
    /// none waits.
    #[must_use]
    pub fn due_in_ms(&mut self, now_ms: u64) -> Option<u64> {
        let allocations = self.allocations.values_mut();
        let wanted = allocations.filter(|allocation| allocation.is_wanted(now_ms));
        wanted
            .map(|allocation| allocation.bucket.time_until_ms(now_ms, 1.0))
            .min()
    }
}

impl Allocation {
    fn is_wanted(&self, now_ms: u64) -> bool {
        self.wishes.values().any(|wish| wish.is_open(now_ms))
    }

    fn take_grants(&mut self, now_ms: u64) -> BTreeMap<VmId, u32> {
        let mut taken: BTreeMap<VmId, u32> = BTreeMap::new();
        loop {
            let open = self.wishes.iter_mut();
            let open = open.filter(|(_, wish)| wish.is_open(now_ms));
            let Some((gateway, wish)) = open.min_by_key(|(_, wish)| wish.last_grant) else {
                return taken;
            };
            if !self.bucket.try_take(now_ms) {
                return taken;
            }
            self.grants += 1;
            wish.last_grant = self.grants;
            wish.tokens -= 1;
            *taken.entry(gateway.clone()).or_default() += 1;
        }
    }
}

impl Wish {
    fn is_open(&self, now_ms: u64) -> bool {
        self.tokens > 0 && now_ms < self.until_ms
    }
}
