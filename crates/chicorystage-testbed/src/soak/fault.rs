use std::fmt;

use crate::users_platform::{Reply, StoreMode};

/// What is done to one part of the system at one moment.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// All endpoints of the applications reply like this from now on.
    Application(Reply),
    /// The processes of all endpoints of the applications run, or are paused, from now on.
    ApplicationRunning(bool),
    /// All endpoints of the model service reply like this from now on.
    Model(Reply),
    /// The store behaves like this from now on.
    Store(StoreMode),
    /// The store's rows are copied, to return to later.
    CopyStore,
    /// The store returns to the last copy; operator and endpoints write their rows again.
    RestoreStore,
    /// A gateway is killed and started again at once.
    Restart(usize),
    /// A gateway's process is paused.
    Pause(usize),
    /// A paused gateway's process is continued.
    Continue(usize),
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time since the start of the load, in milliseconds.
    pub at_ms: u64,
    /// What is done.
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>6} ms  {:?}", self.at_ms, self.fault)
    }
}
