//! Draining: the agent refuses new work, finishes accepted work and exits.
//!
//! A stop signal, an operator, the VM's state in the platform's list of VMs or
//! a later agent of the same VM starts the drain. It ends when no work, replica
//! or slot is left, or when the drain's time limits have passed.

use std::sync::Arc;

use chicorystage_api::peer::AttemptRef;
use chicorystage_borders::vm_list::{VmEntry, VmState};
use chicorystage_core::drain::Remaining;

use crate::agent::admission::leaving_refusal;
use crate::agent::main_loop::AgentLoop;

impl AgentLoop {
    /// Publishes a new list of VMs and drains the agent if its own VM is leaving.
    pub(super) fn on_vm_list_read(&mut self, vms: Arc<[VmEntry]>) {
        let own = vms.iter().find(|vm| vm.id == self.daemon.vm);
        let is_leaving = own.is_some_and(|vm| vm.state == VmState::Leaving);
        self.vms.send_replace(vms);
        if is_leaving {
            self.begin_drain("the VM is listed as leaving");
        }
    }

    /// Begins to drain; does nothing if the agent is draining already.
    ///
    /// Queued attempts for which no replica exists yet are refused as not run, so
    /// that their router can run them elsewhere. Attempts that wait only for free
    /// capacity still run here.
    pub(super) fn begin_drain(&mut self, reason: &str) {
        let now_ms = self.clock.now_ms();
        if !self.drain.begin(now_ms) {
            return;
        }
        log::info!(event = "agent_leaving", reason; "agent is leaving");
        let replicas = &self.replicas;
        let refused: Vec<AttemptRef> = self
            .queue
            .remove_where(|entry| {
                let target = entry.item.target.as_ref();
                target.is_some_and(|target| replicas.get(&target.key).is_none())
            })
            .into_iter()
            .map(|entry| entry.item.attempt)
            .collect();
        for attempt in refused {
            self.refuse(&attempt, leaving_refusal());
        }
        self.dispatch_due = true;
    }

    /// Returns whether the agent has finished draining and may exit.
    pub(super) fn has_drained(&mut self) -> bool {
        if !self.drain.is_leaving() {
            return false;
        }
        let remaining = Remaining {
            running: self.running.len(),
            queued: self.queue.len(),
            replicas: self.replicas.iter().count(),
            slots: self.slots.held_or_revoking().count(),
        };
        self.drain.may_exit(&remaining, self.clock.now_ms())
    }
}
