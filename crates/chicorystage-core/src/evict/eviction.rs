use chicorystage_api::name::ModelName;

use crate::evict::Resident;

/// Returns the replicas that may be evicted, least valuable first.
///
/// Replicas with work are left out. Ties are ordered by model name.
#[must_use]
pub fn evict_order(residents: &[Resident]) -> Vec<&Resident> {
    let mut order: Vec<&Resident> = residents
        .iter()
        .filter(|resident| !resident.has_work)
        .collect();
    order.sort_by(|a, b| {
        let by_value = a.value().total_cmp(&b.value());
        by_value.then_with(|| a.model.cmp(&b.model))
    });
    order
}

/// Returns the replicas to unload to free `needed_bytes`; `None` if that much cannot be freed.
///
/// Replicas are selected from the least valuable upward. A replica that a later, larger selection
/// makes unnecessary is spared, the most valuable first.
#[must_use]
pub fn evict(residents: &[Resident], needed_bytes: u64) -> Option<Vec<ModelName>> {
    let mut chosen = Vec::new();
    let mut freed_bytes = 0;
    for resident in evict_order(residents) {
        if freed_bytes >= needed_bytes {
            break;
        }
        freed_bytes += resident.memory_bytes;
        chosen.push(resident);
    }
    if freed_bytes < needed_bytes {
        return None;
    }
    chosen.reverse();
    chosen.retain(|resident| {
        let unnecessary = freed_bytes - resident.memory_bytes >= needed_bytes;
        if unnecessary {
            freed_bytes -= resident.memory_bytes;
        }
        !unnecessary
    });
    Some(
        chosen
            .into_iter()
            .map(|resident| resident.model.clone())
            .collect(),
    )
}
