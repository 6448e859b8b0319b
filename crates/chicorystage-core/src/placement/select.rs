use std::cmp::Reverse;

use chicorystage_api::name::VmId;
use chicorystage_api::peer::PlacementRow;

use crate::placement::{Candidate, DesiredSlots};
use crate::rendezvous;

/// Selects the VM for the next slot of a model; `None` without an eligible candidate.
///
/// Candidates with enough free memory for a replica come first (unknown free memory counts as
/// enough). Ties are resolved by the fewest slots in the candidate's availability zone, then by
/// the nearest cache tier, then by rendezvous hashing, which gives the same order on every
/// router. Costs one hash per candidate.
#[must_use]
pub fn select_vm(row: Option<&PlacementRow>, desired: &DesiredSlots) -> Option<VmId> {
    let has_slot = |vm: &VmId| row.is_some_and(|row| row.slots.iter().any(|slot| slot.vm == *vm));
    let eligible = desired.candidates.iter().filter(|candidate| {
        !has_slot(&candidate.vm)
            && !desired.avoid.contains(&candidate.vm)
            && !desired.leaving.contains(&candidate.vm)
            && !desired.gone.contains(&candidate.vm)
    });
    eligible
        .min_by_key(|candidate| {
            (
                !has_memory(candidate, desired.memory_bytes),
                zone_slots(row, candidate, desired),
                candidate.cache_tier,
                Reverse(rendezvous::weight(
                    desired.model.as_str(),
                    candidate.vm.as_str(),
                )),
            )
        })
        .map(|candidate| candidate.vm.clone())
}

fn has_memory(candidate: &Candidate, memory_bytes: u64) -> bool {
    candidate
        .memory_free_bytes
        .is_none_or(|free_bytes| free_bytes >= memory_bytes)
}

fn zone_slots(row: Option<&PlacementRow>, candidate: &Candidate, desired: &DesiredSlots) -> usize {
    let Some(row) = row else { return 0 };
    let in_zone = desired
        .candidates
        .iter()
        .filter(|other| other.zone == candidate.zone);
    in_zone
        .filter(|other| row.slots.iter().any(|slot| slot.vm == other.vm))
        .count()
}
