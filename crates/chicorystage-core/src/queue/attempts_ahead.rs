use std::collections::HashMap;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::CallerName;

use crate::queue::{Entry, LEAD_MAX};

/// Estimates how many of the queued attempts run before a new attempt of a caller.
///
/// All attempts of higher classes run first, and within the class all attempts that the caller
/// itself has queued. Each other caller counts with no more than its weight times the caller's
/// own weighted attempts plus the lead ([`LEAD_MAX`](crate::queue::LEAD_MAX)). So a caller that
/// floods the queue does not lengthen the estimated wait of the others. Takes time linear in the
/// queue's length.
pub fn attempts_ahead<'a, T: 'a>(
    waiting: impl Iterator<Item = &'a Entry<T>>,
    class: Class,
    caller: &CallerName,
    weight: u32,
) -> u64 {
    let mut higher = 0;
    let mut own = 0;
    let mut others: HashMap<&CallerName, (u64, u32)> = HashMap::new();
    for entry in waiting {
        if entry.class < class {
            higher += 1;
        } else if entry.class == class && entry.caller == *caller {
            own += 1;
        } else if entry.class == class {
            let other = others.entry(&entry.caller).or_insert((0, entry.weight));
            other.0 += 1;
        }
    }
    let shares = (own + 1_u64).div_ceil(u64::from(weight.max(1))) + LEAD_MAX;
    let before = others
        .values()
        .map(|(count, weight)| (*count).min(shares * u64::from((*weight).max(1))));
    higher + own + before.sum::<u64>()
}
