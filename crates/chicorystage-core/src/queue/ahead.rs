use std::collections::HashMap;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::CallerName;

use crate::queue::{Entry, LEAD_MAX};

/// Returns how many of the attempts that wait go before a new one of a caller.
///
/// Higher classes go first. Within the class, another caller runs ahead by its
/// lead and otherwise by its weight for what the caller itself has waiting; so
/// a caller who floods the queue does not lengthen the wait of the others.
pub fn ahead_of<'a, T: 'a>(
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
