use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use chicorystage_borders::{BorderError, BorderErrorKind};
use tokio::sync::watch;

/// State of execution of a process in the harness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmCondition {
    /// The process runs.
    Running,
    /// The process is stopped and may be continued, as after SIGSTOP.
    Paused,
    /// The process is killed for good, as after SIGKILL.
    Dead,
}

/// Controls all traffic of one process: pauses it, cuts off the table, or ends it.
///
/// Clones share one state.
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

    /// Sets the state of the process; has no effect once it is dead.
    pub fn set(&self, condition: VmCondition) {
        self.condition.send_if_modified(|current| {
            let changed = *current != VmCondition::Dead && *current != condition;
            if changed {
                *current = condition;
            }
            changed
        });
    }

    /// Sets whether the process is cut off from the platform's table and object store.
    pub fn set_table_cut(&self, cut: bool) {
        self.table_cut.store(cut, Ordering::Relaxed);
    }

    /// Waits while the process is paused; never returns once it is dead.
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
    pub(super) async fn wait_dead(&self) {
        let mut condition = self.condition.subscribe();
        let waited = condition.wait_for(|condition| *condition == VmCondition::Dead);
        if waited.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits like [`pass`](Self::pass), then checks that the table is reachable.
    ///
    /// # Errors
    ///
    /// Fails as not delivered while the table is cut off.
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
