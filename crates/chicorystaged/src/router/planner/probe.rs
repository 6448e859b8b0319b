use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::name::ModelName;
use chicorystage_api::peer::{AgentStatus, ReplicaState};
use chicorystage_borders::link::AgentLink;
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::placement::{CacheTier, Candidate};
use tokio::sync::mpsc;

/// Maximum number of candidate VMs probed before a slot is decided.
const PROBES_MAX: usize = 8;
/// Maximum wait for the answers to the probes, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 200;

/// Probes the first candidates and returns those whose agent answers.
///
/// A VM that is leaving or whose endpoint is down is left out too. If none
/// remains, all candidates are returned unprobed, because silence may be a
/// fault of this router's own network. This is safe: a slot moves to another VM only
/// after its holder acknowledged the release or is gone.
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
                // Fails if the probe has timed out already; the answer is then unused.
                let _sent = sender.send((vm, status)).await;
            }
        });
    }
    drop(sender);
    let mut probed = Vec::new();
    let collect = async {
        while let Some((vm, status)) = answers.recv().await {
            if !status.leaving && status.endpoint_up {
                probed.push(probed_candidate(vm, model, &status));
            }
        }
    };
    // On a timeout, the answers received so far are used.
    let _elapsed = tokio::time::timeout(Duration::from_millis(PROBE_TIMEOUT_MS), collect).await;
    if probed.is_empty() {
        return candidates.into_iter().map(unprobed_candidate).collect();
    }
    probed
}

/// Returns a candidate of which only the VM and its zone are known.
fn unprobed_candidate(vm: VmEntry) -> Candidate {
    Candidate {
        vm: vm.id,
        zone: vm.zone,
        cache_tier: CacheTier::Remote,
        memory_free_bytes: None,
    }
}

/// Returns a candidate described by its agent's status.
///
/// The free memory is `None` if the agent reports no total.
fn probed_candidate(vm: VmEntry, model: &ModelName, status: &AgentStatus) -> Candidate {
    let free_bytes = status
        .memory_total_bytes
        .saturating_sub(status.memory_reserved_bytes);
    Candidate {
        cache_tier: cache_tier(model, status),
        memory_free_bytes: (status.memory_total_bytes > 0).then_some(free_bytes),
        ..unprobed_candidate(vm)
    }
}

/// Returns the fastest tier from which the agent can serve the model.
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
