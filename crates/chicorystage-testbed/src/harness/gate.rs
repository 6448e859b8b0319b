use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use chicorystage_borders::{BorderError, BorderErrorKind};
use tokio::sync::watch;

/// Whether a process of the harness runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmCondition {
    /// It runs.
    Running,
    /// It is stopped and may go on later, as after SIGSTOP.
    Paused,
    /// It is gone, as after SIGKILL.
    Dead,
}

/// What all traffic of one process passes through.
#[derive(Clone, Debug)]
pub struct VmGate {
    condition: watch::Sender<VmCondition>,
    table_cut: Arc<AtomicBool>,
}

impl VmGate {
    pub(super) fn new() -> Self {
        Self {
            condition: watch::Sender::new(VmCondition::Running),
            table_cut: Arc::default(),
        }
    }

    /// Sets whether the process runs; a dead one stays dead.
    pub fn set(&self, condition: VmCondition) {
        self.condition.send_if_modified(|current| {
            let changed = *current != VmCondition::Dead && *current != condition;
            if changed {
                *current = condition;
            }
            changed
        });
    }

    /// Sets whether the process reaches the platform's table.
    pub fn set_table_cut(&self, cut: bool) {
        self.table_cut.store(cut, Ordering::Relaxed);
    }

    /// Waits while the process is paused, and for ever once it is dead.
    pub(super) async fn pass(&self) {
        let mut condition = self.condition.subscribe();
        if condition
            .wait_for(|condition| *condition == VmCondition::Running)
            .await
            .is_err()
        {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the process is dead.
    pub(super) async fn died(&self) {
        let mut condition = self.condition.subscribe();
        let waited = condition.wait_for(|condition| *condition == VmCondition::Dead);
        if waited.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Passes and fails where the table is cut off.
    pub(super) async fn pass_to_table(&self) -> Result<(), BorderError> {
        self.pass().await;
        if self.table_cut.load(Ordering::Relaxed) {
            return Err(BorderError::new(
                BorderErrorKind::NotDelivered,
                "table is cut off",
            ));
        }
        Ok(())
    }
}
