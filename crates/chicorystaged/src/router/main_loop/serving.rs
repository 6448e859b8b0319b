//! Handles the serving events that need other state of the main loop.

use chicorystage_api::name::{Digest, GroupName, ModelName, VmId};
use chicorystage_api::peer::QuarantineEntry;
use chicorystage_api::refusal::Refusal;
use chicorystage_borders::vm_list::VmEntry;

use crate::router::main_loop::{RouterLoop, no_endpoint, stale_rules, unauthenticated};
use crate::router::serving::quarantine::{self, Recipients};
use crate::router::serving::{EntryGuard, ServingEvent};
use crate::timer::unix_ms;

impl RouterLoop {
    pub(super) fn on_serving(&mut self, event: ServingEvent) {
        match event {
            ServingEvent::Enter {
                token_sha256,
                body_bytes,
                reply,
            } => {
                let _sent = reply.send(self.enter(&token_sha256, body_bytes));
            }
            ServingEvent::FindVm { vm, reply } => {
                let _sent = reply.send(self.find_vm(&vm));
            }
            ServingEvent::Unanswered(vm) => {
                let now_ms = self.clock.now_ms();
                self.serving.endpoints.unanswered(now_ms, &vm);
            }
            ServingEvent::NotPlaced { model, row_version } => {
                self.on_not_placed(&model, row_version);
            }
            ServingEvent::Crashed {
                digest,
                alone,
                group,
            } => {
                let entry = self.serving.crashed(unix_ms(), &digest, alone);
                self.publish_quarantine(Some(&group), &entry);
            }
            ServingEvent::Completed { digest, prefix_at } => {
                if let Some((key, vm)) = prefix_at {
                    self.serving.prefixes.put(key, vm);
                }
                self.serving.suspects.record_completion(unix_ms(), &digest);
            }
            ServingEvent::QuarantineLift { digest, reply } => {
                let entry = self.serving.suspects.lift(unix_ms(), &digest);
                let _sent = reply.send(entry.clone());
                self.publish_quarantine(None, &entry);
            }
            event => self.serving.on_event(&self.handle, event),
        }
    }

    fn enter(
        &mut self,
        token_sha256: &Digest,
        body_bytes: Option<u64>,
    ) -> Result<EntryGuard, Refusal> {
        if !self.inventory_sync.admits(self.clock.now_ms()) {
            return Err(stale_rules());
        }
        let caller = self.inventory.caller_by_token(token_sha256);
        let caller = caller.cloned().ok_or_else(unauthenticated)?;
        let now_ms = self.clock.now_ms();
        let reserved_bytes = self.serving.enter(now_ms, &caller, body_bytes)?;
        let percent = self.inventory.policy().retry_budget_percent;
        self.serving.retries.record_first_attempt(percent);
        Ok(EntryGuard::new(
            self.handle.clone(),
            caller,
            reserved_bytes,
            now_ms,
        ))
    }

    /// Returns the entry of a VM; `None` if the platform's list has no such VM.
    ///
    /// # Errors
    ///
    /// Refuses if the list was never read, because the VM may exist.
    fn find_vm(&self, vm: &VmId) -> Result<Option<VmEntry>, Refusal> {
        if self.vms.is_empty() {
            return Err(no_endpoint());
        }
        Ok(self.vms.get(vm).cloned())
    }

    /// Removes a placement row that an agent does not confirm, so that it is read again.
    ///
    /// Keeps the row if it is newer than the one that the attempt named.
    fn on_not_placed(&mut self, model: &ModelName, row_version: u64) {
        let known = self.placements.get(model);
        if known.is_some_and(|known| known.row_version <= row_version) {
            self.placements.remove(model);
        }
    }

    /// Publishes a quarantine entry to the other routers and to agents.
    ///
    /// Agents receive only quarantines and lifts; `group` limits them to one group.
    fn publish_quarantine(&self, group: Option<&GroupName>, entry: &QuarantineEntry) {
        let routers = self.vms.values().filter(|vm| {
            let same_group = Some(&vm.group) == Some(&self.daemon.group);
            same_group && vm.id != self.daemon.vm
        });
        let agents = self.vms.values().filter(|vm| {
            let for_agents = entry.active || entry.crashes == 0;
            for_agents
                && vm.group != self.daemon.group
                && group.is_none_or(|group| vm.group == *group)
        });
        let recipients = Recipients {
            routers: routers.map(|vm| vm.address).collect(),
            agents: agents.map(|vm| vm.address).collect(),
        };
        quarantine::publish(&self.borders, recipients, entry);
    }
}
