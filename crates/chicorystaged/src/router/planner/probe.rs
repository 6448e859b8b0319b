use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::name::ModelName;
use chicorystage_api::peer::{AgentStatus, ReplicaState};
use chicorystage_borders::link::AgentLink;
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::placement::{CacheTier, Candidate};
use tokio::sync::mpsc;

/// Candidates that are asked before a slot is decided.
const PROBES_MAX: usize = 8;
/// Longest wait for their answers, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 200;

/// Asks the first candidates what they hold and leaves out those that are silent.
///
/// Where none answers, all candidates remain: the asker's own links may be at
/// fault. A slot only moves by acknowledgement in any case.
pub(crate) async fn probe(
    agents: &Arc<dyn AgentLink>,
    model: &ModelName,
    candidates: Vec<VmEntry>,
) -> Vec<Candidate> {
    let (sender, mut answers) = mpsc::channel(PROBES_MAX);
    for vm in candidates.iter().take(PROBES_MAX).cloned() {
        let (agents, sender) = (Arc::clone(agents), sender.clone());
        tokio::spawn(async move {
            if let Ok(status) = agents.status(vm.address).await {
                // The probe may be over; then nobody needs the answer.
                let _sent = sender.send((vm, status)).await;
            }
        });
    }
    drop(sender);
    let mut found = Vec::new();
    let gather = async {
        while let Some((vm, status)) = answers.recv().await {
            if !status.leaving && status.endpoint_up {
                found.push(known(vm, model, &status));
            }
        }
    };
    // Answers that come later are not waited for.
    let _elapsed = tokio::time::timeout(Duration::from_millis(PROBE_TIMEOUT_MS), gather).await;
    if found.is_empty() {
        return candidates.into_iter().map(unknown).collect();
    }
    found
}

fn unknown(vm: VmEntry) -> Candidate {
    Candidate {
        vm: vm.id,
        zone: vm.zone,
        cache_tier: CacheTier::Remote,
        memory_free_bytes: None,
    }
}

fn known(vm: VmEntry, model: &ModelName, status: &AgentStatus) -> Candidate {
    let free_bytes = status
        .memory_total_bytes
        .saturating_sub(status.memory_reserved_bytes);
    Candidate {
        cache_tier: cache_tier(model, status),
        memory_free_bytes: (status.memory_total_bytes > 0).then_some(free_bytes),
        ..unknown(vm)
    }
}

fn cache_tier(model: &ModelName, status: &AgentStatus) -> CacheTier {
    let loaded = status
        .replicas
        .iter()
        .any(|replica| replica.model == *model && replica.state == ReplicaState::Loaded);
    if loaded {
        CacheTier::Loaded
    } else if status.cached_memory.contains(model) {
        CacheTier::Memory
    } else if status.cached_disk.contains(model) {
        CacheTier::Disk
    } else {
        CacheTier::Remote
    }
}
