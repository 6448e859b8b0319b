//! A simulation of the placement table, two planners and the agents of the VMs.
//!
//! Commits, pushes and releases are lost, delayed and repeated, and the VM list lags. The
//! invariant: an agent that may load the model, or has it loaded, has a slot in the table's row.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use chicorystage_api::name::{VmId, ZoneName};
use chicorystage_api::peer::{PlacementPush, PlacementRow, SlotState};
use chicorystage_core::placement::{
    CacheTier, Candidate, DesiredSlots, Release, SlotDemand, VmHistory,
};
use chicorystage_core::planner::{CapRows, PlanEffect, PlanRun};

/// Longest time for which the VM list shows an older state, in milliseconds.
const LIST_LAG_MS: u64 = 30_000;

/// One step of a schedule; indexes are taken modulo the number of existing items.
#[derive(Clone, Debug)]
pub enum Action {
    /// Starts a planning run; `selector` chooses its demand and which VMs it avoids or drains.
    Start {
        planner: usize,
        selector: u8,
        avoid: usize,
    },
    /// Reads the row and the cap for a planning run, which may then send a commit.
    Read {
        planner: usize,
    },
    /// Delivers a commit to the table; its reply is lost unless `answered`.
    Commit {
        at: usize,
        answered: bool,
    },
    /// Sends the row that a planner knows to an agent.
    Push {
        planner: usize,
        vm: usize,
    },
    /// Delivers a pushed row to its agent; with `keep` it can be delivered again.
    DeliverPush {
        at: usize,
        keep: bool,
    },
    /// Delivers an agent's release of its slot to a planner; it can be delivered again.
    DeliverRelease {
        planner: usize,
        at: usize,
    },
    Load {
        vm: usize,
    },
    Unload {
        vm: usize,
    },
    /// Restarts an agent; the engine keeps the model if it was loaded.
    Restart {
        vm: usize,
    },
    /// Reads the row for an agent, which applies it at `EndRead`.
    BeginRead {
        vm: usize,
    },
    EndRead {
        vm: usize,
    },
    /// Replaces a VM by one with a new name.
    Replace {
        vm: usize,
    },
    /// Reads the VM list for a planner; a `stale` read may show the list before a replacement.
    RefreshList {
        planner: usize,
        stale: bool,
    },
    Advance {
        ms: u64,
    },
    SetCap {
        cap: u32,
    },
}

#[derive(Default)]
struct Agent {
    known_version: u64,
    /// Whether the agent has read the table since its start; it loads nothing before.
    follows_table: bool,
    has_slot: bool,
    loaded: bool,
    /// Version of the row that a read in progress returns, and whether the VM holds a slot in it.
    reading: Option<(u64, bool)>,
}

#[derive(Default)]
struct Planner {
    list: Vec<VmId>,
    list_read_ms: u64,
    history: VmHistory,
    releases: Vec<Release>,
    latest_push: Option<PlacementPush>,
    /// The run in progress, its latest effect and its number.
    run: Option<(PlanRun, PlanEffect, u64)>,
}

/// A commit in flight: planner, number of its run, expected row version, cap rows and new row.
type Commit = (usize, u64, Option<u64>, CapRows, PlacementRow);

#[derive(Default)]
pub struct World {
    row: Option<PlacementPush>,
    version: u64,
    cap: u32,
    cap_version: u64,
    now_ms: u64,
    runs: u64,
    vms_started: usize,
    names: Vec<VmId>,
    previous_names: Vec<VmId>,
    replaced_ms: u64,
    agents: BTreeMap<VmId, Agent>,
    planners: [Planner; 2],
    commits: Vec<Commit>,
    pushes: Vec<(VmId, PlacementPush)>,
    releases: Vec<Release>,
}

impl World {
    pub fn new(vms: usize, cap: u32) -> Self {
        let mut world = Self {
            cap,
            ..Self::default()
        };
        for _ in 0..vms {
            let vm = world.start_vm();
            world.names.push(vm);
        }
        (0..2).for_each(|planner| world.refresh(planner, false));
        world
    }

    /// Checks that each agent that may load, or has loaded, has a slot in the table's row.
    pub fn check(&self) {
        let slot_vms: BTreeSet<&VmId> = self
            .row
            .iter()
            .flat_map(|push| &push.row.slots)
            .map(|slot| &slot.vm)
            .collect();
        let may_load = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.loaded || (agent.has_slot && agent.follows_table));
        for (vm, _) in may_load {
            assert!(
                slot_vms.contains(vm),
                "{vm} may load without a slot: {:?}",
                self.row
            );
        }
    }

    pub fn apply(&mut self, action: &Action) {
        match *action {
            Action::Start {
                planner,
                selector,
                avoid,
            } => self.start(planner, selector, avoid),
            Action::Read { planner } => self.read(planner),
            Action::Commit { at, answered } => self.commit(at, answered),
            Action::Push { planner, vm } => {
                if let Some(push) = self.planners[planner].latest_push.clone() {
                    self.pushes.push((self.name(vm), push));
                }
            }
            Action::DeliverPush { at, keep } => self.deliver_push(at, keep),
            Action::DeliverRelease { planner, at } => {
                if let Some(release) = pick(&self.releases, at) {
                    let release = release.clone();
                    self.planners[planner].releases.push(release);
                }
            }
            Action::Load { vm } => {
                let agent = self.agent(vm);
                agent.loaded |= agent.has_slot && agent.follows_table;
            }
            Action::Unload { vm } => self.agent(vm).loaded = false,
            Action::Restart { vm } => {
                let agent = self.agent(vm);
                *agent = Agent {
                    loaded: agent.loaded,
                    ..Agent::default()
                };
            }
            Action::BeginRead { vm } => {
                let name = self.name(vm);
                let read = self.row.as_ref().map_or((0, false), |push| {
                    (push.row_version, has_held_slot(push, &name))
                });
                self.agent(vm).reading = Some(read);
            }
            Action::EndRead { vm } => {
                let agent = self.agent(vm);
                let Some((version, has_slot)) = agent.reading.take() else {
                    return;
                };
                if version >= agent.known_version {
                    (agent.known_version, agent.has_slot, agent.follows_table) =
                        (version, has_slot, true);
                    agent.loaded &= has_slot;
                }
            }
            Action::Replace { vm } => {
                let at = vm % self.names.len();
                self.previous_names.clone_from(&self.names);
                self.replaced_ms = self.now_ms;
                let replacement = self.start_vm();
                let replaced = std::mem::replace(&mut self.names[at], replacement);
                self.agents.remove(&replaced);
            }
            Action::RefreshList { planner, stale } => self.refresh(planner, stale),
            Action::Advance { ms } => self.now_ms += ms,
            Action::SetCap { cap } => {
                self.version += 1;
                (self.cap, self.cap_version) = (cap, self.version);
            }
        }
    }

    fn start_vm(&mut self) -> VmId {
        self.vms_started += 1;
        let vm = VmId::from(format!("vm-{}", self.vms_started));
        self.agents.insert(vm.clone(), Agent::default());
        vm
    }

    fn name(&self, vm: usize) -> VmId {
        self.names[vm % self.names.len()].clone()
    }

    fn agent(&mut self, vm: usize) -> &mut Agent {
        let name = self.name(vm);
        self.agents.get_mut(&name).expect("a listed VM is up")
    }

    /// Reads the VM list; a `stale` read within the lag shows the state before the last change.
    fn refresh(&mut self, planner: usize, stale: bool) {
        let lagging = stale
            && self.now_ms < self.replaced_ms + LIST_LAG_MS
            && self.planners[planner].list_read_ms <= self.replaced_ms;
        let listed = if lagging {
            &self.previous_names
        } else {
            &self.names
        };
        let slot_vms: Vec<VmId> = self
            .row
            .iter()
            .flat_map(|push| &push.row.slots)
            .map(|slot| slot.vm.clone())
            .collect();
        let planner = &mut self.planners[planner];
        planner.list.clone_from(listed);
        planner.list_read_ms = if lagging {
            planner.list_read_ms
        } else {
            self.now_ms + 1
        };
        planner
            .history
            .observe(listed.iter(), slot_vms.iter(), self.now_ms);
    }

    fn start(&mut self, planner: usize, selector: u8, avoid: usize) {
        let avoid = vec![self.name(avoid)];
        let (now_ms, planner) = (self.now_ms, &mut self.planners[planner]);
        let seen_row_version = planner
            .latest_push
            .as_ref()
            .map_or(0, |push| push.row_version);
        let candidates = planner.list.iter().map(|vm| Candidate {
            vm: vm.clone(),
            zone: ZoneName::from("a"),
            cache_tier: CacheTier::Remote,
            memory_free_bytes: None,
        });
        let slot_vms = planner
            .latest_push
            .iter()
            .flat_map(|push| &push.row.slots)
            .map(|slot| &slot.vm);
        let gone: HashSet<VmId> = slot_vms
            .filter(|vm| planner.history.is_gone(vm, now_ms))
            .cloned()
            .collect();
        let desired = DesiredSlots {
            model: "m".into(),
            memory_bytes: 1,
            demand: match selector % 3 {
                0 => SlotDemand::Maintenance,
                1 => SlotDemand::First,
                _ => SlotDemand::Additional { seen_row_version },
            },
            avoid: if selector > 5 {
                avoid.clone()
            } else {
                Vec::new()
            },
            candidates: candidates.collect(),
            leaving: if selector == 3 {
                avoid.into_iter().collect()
            } else {
                HashSet::new()
            },
            gone,
            releases: planner.releases.clone(),
        };
        self.runs += 1;
        planner.run = Some((PlanRun::new(desired), PlanEffect::Read, self.runs));
    }

    fn read(&mut self, planner: usize) {
        let cap_rows = CapRows {
            cap: self.cap,
            versions: vec![("rule".to_owned(), Some(self.cap_version))],
        };
        let row = self.row.clone();
        let state = &mut self.planners[planner];
        let Some((run, effect @ PlanEffect::Read, id)) = &mut state.run else {
            return;
        };
        *effect = run.on_read(Some((row, cap_rows)));
        if let PlanEffect::Commit {
            row_version,
            cap_rows,
            row,
        } = effect.clone()
        {
            self.commits
                .push((planner, *id, row_version, cap_rows, row));
        }
        self.finish(planner);
    }

    /// Delivers a commit, possibly long after it was sent, and its reply if `answered`.
    fn commit(&mut self, at: usize, answered: bool) {
        if self.commits.is_empty() {
            return;
        }
        let at = at % self.commits.len();
        let (planner, id, row_version, cap_rows, row) = self.commits.remove(at);
        let current = self.row.as_ref().map(|push| push.row_version);
        let cap_unchanged = cap_rows
            .versions
            .iter()
            .all(|(_, version)| *version == Some(self.cap_version));
        let applies = current == row_version && cap_unchanged;
        if applies {
            let before = self.row.as_ref().map_or(0, |push| push.row.slots.len());
            let cap = usize::try_from(self.cap).expect("small");
            assert!(
                row.slots.len() <= before.max(cap),
                "{row:?} grows beyond {cap}"
            );
            self.version += 1;
            self.row = Some(PlacementPush {
                row_version: self.version,
                row,
            });
        }
        let version = self.version;
        let state = &mut self.planners[planner];
        let Some((run, effect, running)) = &mut state.run else {
            return;
        };
        if *running == id {
            *effect = if applies && answered {
                run.on_applied(version)
            } else {
                run.on_unresolved()
            };
            self.finish(planner);
        }
    }

    fn finish(&mut self, planner: usize) {
        let state = &mut self.planners[planner];
        match &state.run {
            Some((_, PlanEffect::Done { push }, _)) => {
                state.latest_push.clone_from(push);
                state.run = None;
            }
            Some((_, PlanEffect::Failed(_), _)) => state.run = None,
            _ => {}
        }
    }

    fn deliver_push(&mut self, at: usize, keep: bool) {
        let Some((vm, push)) = pick(&self.pushes, at).cloned() else {
            return;
        };
        if !keep {
            let at = at % self.pushes.len();
            self.pushes.remove(at);
        }
        let Some(agent) = self.agents.get_mut(&vm) else {
            return;
        };
        if push.row_version > agent.known_version {
            agent.known_version = push.row_version;
            agent.has_slot = has_held_slot(&push, &vm);
            agent.loaded &= agent.has_slot;
        }
        if !agent.has_slot && !agent.loaded {
            self.releases.push(Release {
                vm,
                row_version: agent.known_version,
            });
        }
    }
}

fn has_held_slot(push: &PlacementPush, vm: &VmId) -> bool {
    push.row
        .slots
        .iter()
        .any(|slot| slot.vm == *vm && slot.state == SlotState::Held)
}

fn pick<T>(from: &[T], at: usize) -> Option<&T> {
    from.get(at.checked_rem(from.len())?)
}
