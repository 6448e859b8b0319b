use rand::RngExt;
use rand::rngs::StdRng;

/// A fault that the stress command causes.
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

/// Draws a fault of a process or an endpoint.
pub(super) fn draw_process(rng: &mut StdRng) -> Fault {
    PROCESS_FAULTS[rng.random_range(0..PROCESS_FAULTS.len())]
}

/// Draws a fault of the platform.
pub(super) fn draw_platform(rng: &mut StdRng) -> Fault {
    PLATFORM_FAULTS[rng.random_range(0..PLATFORM_FAULTS.len())]
}
