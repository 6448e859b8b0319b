use std::cmp::Reverse;

use chicorystage_api::name::VmId;
use chicorystage_api::peer::{PlacementPush, PlacementRow, Slot, SlotState};

use crate::placement::{DesiredSlots, SlotDemand, select_vm};
use crate::rendezvous;

/// Returns the row that should replace `current`; `None` if no change is needed.
///
/// `cap` is the largest allowed number of replicas. The write must be conditional on `current`
/// and on the rows from which the cap was read, all being unchanged.
#[must_use]
pub fn next_row(
    current: Option<&PlacementPush>,
    desired: &DesiredSlots,
    cap: u32,
) -> Option<PlacementRow> {
    let before = current.map_or(&[][..], |push| &push.row.slots);
    let row_version = current.map_or(0, |push| push.row_version);
    let cap = usize::try_from(cap).unwrap_or(usize::MAX);
    let mut row = PlacementRow {
        model: desired.model.clone(),
        slots: before.to_vec(),
    };
    remove_released(&mut row, desired, row_version);
    revoke_leaving(&mut row, desired);
    revoke_surplus(&mut row, desired, cap);
    add_demanded(&mut row, desired, row_version, cap);
    (row.slots != before).then_some(row)
}

fn remove_released(row: &mut PlacementRow, desired: &DesiredSlots, row_version: u64) {
    row.slots.retain(|slot| {
        let released = slot.state == SlotState::Revoking
            && desired
                .releases
                .iter()
                .any(|release| release.covers(&slot.vm, row_version));
        !released && !desired.gone.contains(&slot.vm)
    });
}

fn revoke_leaving(row: &mut PlacementRow, desired: &DesiredSlots) {
    for slot in &mut row.slots {
        if desired.leaving.contains(&slot.vm) {
            slot.state = SlotState::Revoking;
        }
    }
}

fn revoke_surplus(row: &mut PlacementRow, desired: &DesiredSlots, cap: usize) {
    let held = row.slots.iter().filter(|slot| is_held(slot)).count();
    let surplus = held.saturating_sub(cap);
    let mut order: Vec<usize> = (0..row.slots.len()).collect();
    order.sort_by_cached_key(|&i| {
        let vm = &row.slots[i].vm;
        let weight = rendezvous::weight(desired.model.as_str(), vm.as_str());
        (Reverse(desired.avoid.contains(vm)), weight)
    });
    let by_preference = order.into_iter().filter(|&i| is_held(&row.slots[i]));
    for i in by_preference.take(surplus).collect::<Vec<_>>() {
        row.slots[i].state = SlotState::Revoking;
    }
}

fn add_demanded(row: &mut PlacementRow, desired: &DesiredSlots, row_version: u64, cap: usize) {
    let is_usable = row
        .slots
        .iter()
        .any(|slot| is_held(slot) && !desired.avoid.contains(&slot.vm));
    let is_demanded = match desired.demand {
        SlotDemand::Maintenance => false,
        SlotDemand::First => !is_usable,
        // A newer row already satisfies a demand that was based on an older one.
        SlotDemand::Additional { seen_row_version } => {
            !is_usable || seen_row_version >= row_version
        }
    };
    if !is_demanded {
        return;
    }
    let Some(vm) = select_vm(Some(row), desired) else {
        return;
    };
    if row.slots.len() < cap {
        row.slots.push(Slot {
            vm,
            state: SlotState::Held,
        });
    } else if !is_usable {
        revoke_one_avoided(row, &desired.avoid);
    }
}

/// Marks one slot as revoking whose VM the requester cannot use, so that it can move to another
/// VM.
fn revoke_one_avoided(row: &mut PlacementRow, avoid: &[VmId]) {
    let mut avoided = row
        .slots
        .iter_mut()
        .filter(|slot| is_held(slot) && avoid.contains(&slot.vm));
    if let Some(slot) = avoided.next() {
        slot.state = SlotState::Revoking;
    }
}

fn is_held(slot: &Slot) -> bool {
    slot.state == SlotState::Held
}
