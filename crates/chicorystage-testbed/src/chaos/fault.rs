use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// A fault that the stress command injects; its name is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    KillAgent,
    KillRouter,
    StopAgent,
    StopRouter,
    TerminateRouter,
    LeaveVm,
    EngineCrash,
    EngineCrashMidLoad,
    EngineCrashMidAnswer,
    EnginePoison,
    OrderAnswersLost,
    OrderLate,
    StreamsCut,
    ServiceLosesAnswer,
    ServiceDiesBefore,
    ServiceSlow,
    TableDown,
    TableSlow,
    TableUnanswered,
    TableLost,
    WeightsSlow,
    ListStale,
}

const PROCESS_FAULTS: [Fault; 16] = [
    Fault::KillAgent,
    Fault::KillRouter,
    Fault::StopAgent,
    Fault::StopRouter,
    Fault::TerminateRouter,
    Fault::LeaveVm,
    Fault::EngineCrash,
    Fault::EngineCrashMidLoad,
    Fault::EngineCrashMidAnswer,
    Fault::EnginePoison,
    Fault::OrderAnswersLost,
    Fault::OrderLate,
    Fault::StreamsCut,
    Fault::ServiceLosesAnswer,
    Fault::ServiceDiesBefore,
    Fault::ServiceSlow,
];

const PLATFORM_FAULTS: [Fault; 6] = [
    Fault::TableDown,
    Fault::TableSlow,
    Fault::TableUnanswered,
    Fault::TableLost,
    Fault::WeightsSlow,
    Fault::ListStale,
];

/// A sequence of faults in random order, in which each occurs once before any repeats.
///
/// Independent random choices would leave some faults out of a run of a few minutes.
#[derive(Debug)]
pub(super) struct FaultSequence {
    faults: Vec<Fault>,
    returned: usize,
}

impl FaultSequence {
    /// Creates a sequence of the faults of processes and endpoints.
    pub(super) fn of_processes() -> Self {
        Self::new(PROCESS_FAULTS.to_vec())
    }

    /// Creates a sequence of the faults of the platform.
    pub(super) fn of_platform() -> Self {
        Self::new(PLATFORM_FAULTS.to_vec())
    }

    fn new(faults: Vec<Fault>) -> Self {
        Self {
            faults,
            returned: 0,
        }
    }

    /// Returns the next fault; shuffles the faults again at the start of each round.
    pub(super) fn next_fault(&mut self, rng: &mut StdRng) -> Fault {
        let i = self.returned % self.faults.len();
        if i == 0 {
            self.faults.shuffle(rng);
        }
        self.returned += 1;
        self.faults[i]
    }
}
