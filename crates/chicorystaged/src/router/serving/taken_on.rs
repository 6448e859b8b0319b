use chicorystage_api::work::WorkSpec;

use crate::router::event::Admission;
use crate::router::serving::terms::Terms;
use crate::router::serving::{Entry, WaitGuard};

/// A request that was taken on and waits for its answer to begin.
#[derive(Debug)]
pub(crate) struct TakenOn {
    /// Its place within the caller's limits.
    pub(crate) entry: Entry,
    /// What the inventory allows.
    pub(crate) admission: Admission,
    /// What it was taken on with.
    pub(crate) terms: Terms,
    /// What to run.
    pub(crate) work: WorkSpec,
    /// Its place among the requests that wait.
    pub(crate) waiting: WaitGuard,
}
