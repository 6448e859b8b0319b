use std::collections::HashMap;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::CallerName;

use crate::admission::Shed;

/// Part of the capacity that standard requests may fill, in percent.
const STANDARD_PERCENT: u32 = 85;
/// Part of the capacity that batch requests may fill, in percent.
const BATCH_PERCENT: u32 = 60;
/// Part of the capacity from which tenants are limited to their shares, in percent.
const SHARES_ABOVE_PERCENT: u32 = 50;

/// Counts of the requests whose answers have not begun, and of their body bytes.
///
/// The requests themselves are kept elsewhere. Every decision takes time linear in the number of
/// tenants with waiting requests.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    waiting_max: u32,
    bytes_max: u64,
    waiting: u32,
    bytes: u64,
    tenants: HashMap<CallerName, Tenant>,
}

#[derive(Clone, Copy, Debug)]
struct Tenant {
    waiting: u32,
    weight: u32,
}

impl WaitQueue {
    /// Creates an empty queue with its bounds on requests and body bytes.
    #[must_use]
    pub fn new(waiting_max: u32, bytes_max: u64) -> Self {
        Self {
            waiting_max,
            bytes_max,
            waiting: 0,
            bytes: 0,
            tenants: HashMap::new(),
        }
    }

    /// Admits a request and counts it.
    ///
    /// # Errors
    ///
    /// Returns the reason why it may not wait; nothing is counted in that case.
    pub fn enter(&mut self, class: Class, tenant: &CallerName, weight: u32) -> Result<(), Shed> {
        if self.waiting >= self.capacity_of(class) {
            return Err(Shed::ClassFull);
        }
        if self.waiting >= percent(self.waiting_max, SHARES_ABOVE_PERCENT)
            && self.waiting_of(tenant) >= self.share_of(tenant, weight)
        {
            return Err(Shed::TenantOverShare);
        }
        self.waiting += 1;
        let entry = self
            .tenants
            .entry(tenant.clone())
            .or_insert(Tenant { waiting: 0, weight });
        entry.waiting += 1;
        entry.weight = weight;
        Ok(())
    }

    /// Removes a request from the counts; to be called once for each admitted request.
    pub fn leave(&mut self, tenant: &CallerName) {
        let Some(entry) = self.tenants.get_mut(tenant) else {
            return;
        };
        self.waiting -= 1;
        entry.waiting -= 1;
        if entry.waiting == 0 {
            self.tenants.remove(tenant);
        }
    }

    /// Reserves the bytes of a request's body.
    ///
    /// # Errors
    ///
    /// Returns [`Shed::BytesFull`] if they exceed the bound; nothing is counted in that case.
    pub fn reserve_bytes(&mut self, bytes: u64) -> Result<(), Shed> {
        let reserved = self.bytes.saturating_add(bytes);
        if reserved > self.bytes_max {
            return Err(Shed::BytesFull);
        }
        self.bytes = reserved;
        Ok(())
    }

    /// Releases reserved bytes.
    pub fn release_bytes(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the number of reserved body bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the number of waiting requests of a tenant.
    #[must_use]
    pub fn waiting_of(&self, tenant: &CallerName) -> u32 {
        self.tenants.get(tenant).map_or(0, |entry| entry.waiting)
    }

    fn capacity_of(&self, class: Class) -> u32 {
        match class {
            Class::Interactive => self.waiting_max,
            Class::Standard => percent(self.waiting_max, STANDARD_PERCENT),
            Class::Batch => percent(self.waiting_max, BATCH_PERCENT),
        }
    }

    /// Returns the tenant's weighted share of the capacity, at least one request.
    fn share_of(&self, tenant: &CallerName, weight: u32) -> u32 {
        let others = self.tenants.iter().filter(|(name, _)| *name != tenant);
        let others_weight: u64 = others
            .map(|(_, entry)| u64::from(entry.weight.max(1)))
            .sum();
        let weight = u64::from(weight.max(1));
        let share = u64::from(self.waiting_max) * weight / (weight + others_weight);
        u32::try_from(share).unwrap_or(u32::MAX).max(1)
    }
}

/// Returns a percentage of a whole, rounded up so that a small capacity does not become zero.
fn percent(whole: u32, part_percent: u32) -> u32 {
    let part = (u64::from(whole) * u64::from(part_percent)).div_ceil(100);
    u32::try_from(part).unwrap_or(u32::MAX)
}
