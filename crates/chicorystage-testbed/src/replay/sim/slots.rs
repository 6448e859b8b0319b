//! Placement of a model's slots, computed with the planner's decision code.

use std::collections::HashSet;

use chicorystage_api::peer::{PlacementPush, SlotState};
use chicorystage_core::placement::{Candidate, DesiredSlots, SlotDemand, next_row};
use rand::RngExt;

use crate::replay::sim::simulation::Simulation;

/// Most replicas of a model.
const REPLICAS_MAX: u32 = 3;

impl Simulation<'_> {
    /// Returns the worker of a model's first slot in state [`SlotState::Held`], if any.
    pub(crate) fn first_slot_worker(&self, model: usize) -> Option<usize> {
        let push = self.placements[model].as_ref()?;
        let mut slots = push.row.slots.iter();
        let slot = slots.find(|slot| slot.state == SlotState::Held)?;
        self.deployment.workers.iter().position(|vm| *vm == slot.vm)
    }

    /// Updates a model's placement as a planner would.
    ///
    /// Workers in `avoid` are not chosen. The placement stays where the planner
    /// finds nothing to change.
    pub(crate) fn decide_placement(
        &mut self,
        model: usize,
        demand: SlotDemand,
        avoid: &HashSet<usize>,
    ) {
        let current = self.placements[model].as_ref();
        let spec = &self.deployment.models[model];
        let vm_of = |w: &usize| self.deployment.workers[*w].clone();
        let down: HashSet<_> = (0..self.workers.len())
            .filter(|&w| !self.workers[w].up)
            .map(|w| vm_of(&w))
            .collect();
        let mut candidates: Vec<Candidate> = (0..self.workers.len())
            .map(|w| Candidate {
                vm: vm_of(&w),
                zone: self.deployment.zone_of(w).clone(),
                cache_tier: self.workers[w].caches.tier(model),
                memory_free_bytes: Some(self.workers[w].memory_free_bytes),
            })
            .collect();
        if self.policy.random_placement {
            let only = self.rng.random_range(0..candidates.len());
            candidates = vec![candidates.swap_remove(only)];
        }
        let desired = DesiredSlots {
            model: spec.name.clone(),
            memory_bytes: spec.memory_bytes,
            demand,
            avoid: avoid.iter().map(vm_of).collect(),
            candidates,
            leaving: HashSet::new(),
            gone: down,
            releases: Vec::new(),
        };
        if let Some(row) = next_row(current, &desired, REPLICAS_MAX) {
            self.table_version += 1;
            self.placements[model] = Some(PlacementPush {
                row_version: self.table_version,
                row,
            });
        }
    }
}
