use std::fmt;

use crate::logs::{History, LogLine};

/// Pause between events from which an answer counts as held up, in milliseconds.
const LONG_PAUSE_MS: i64 = 150;
/// Share of neighbours held up from which an engine counts as crowded.
const CROWDED_PART: usize = 4;

/// What the lines say about a request's end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No model of the request was loaded, and no order for it was given.
    ModelNotOrdered,
    /// The model was being loaded, or could not be.
    ModelNotLoaded {
        /// What the engines answered last.
        reply: String,
    },
    /// The engines with the model lacked the adapter.
    AdapterNotLoaded,
    /// All engines with the model were full.
    EnginesFull,
    /// The gateway refused the request for a reason of its own.
    GatewayRefused {
        /// What it lacked.
        lacking: String,
    },
    /// The configuration in force had no route for the request.
    NoRoute {
        /// Version in force.
        version: String,
    },
    /// An endpoint crashed, started anew or left with the request.
    EndpointLost {
        /// Endpoint.
        endpoint: String,
        /// What the registry said of it.
        change: String,
    },
    /// An endpoint's answer was lost, and the endpoint stayed.
    AnswerLost {
        /// Endpoint.
        endpoint: String,
        /// Why.
        reason: String,
    },
    /// The request waited for a model to be loaded.
    ColdStart {
        /// Time it waited, in milliseconds.
        wait_ms: i64,
    },
    /// The request waited for a place at an engine.
    WaitedForPlace {
        /// Time it waited, in milliseconds.
        wait_ms: i64,
    },
    /// Other answers of the same engine were held up as well.
    CrowdedEngine {
        /// Longest pause between two events, in milliseconds.
        pause_ms: i64,
        /// Answers held up among those that ended there.
        held_up: usize,
        /// Answers that ended there.
        neighbours: usize,
    },
    /// Only this answer had a long pause.
    SlowAnswer {
        /// Longest pause between two events, in milliseconds.
        pause_ms: i64,
    },
    /// The caller left before the end.
    CallerLeft,
    /// The request was answered.
    Answered,
}

impl Cause {
    /// Returns what a request's lines say about its end; none where they do not tell.
    #[must_use]
    pub fn of(history: &History) -> Option<Self> {
        let mut latest_first = history.own.iter().rev();
        latest_first.find_map(|line| at_end(history, line))
    }
}

/// Returns the cause that a line tells which ends a request; none for any other line.
fn at_end(history: &History, line: &LogLine) -> Option<Cause> {
    match line.event.as_str() {
        "request_refused" => Some(refused(history, line)),
        "no_route" => Some(Cause::NoRoute {
            version: line.field("version").to_owned(),
        }),
        "attempt_lost" | "answer_broken" => Some(lost(history, line)),
        "stream_ended" => Some(ended(history, line)),
        "request_answered" => Some(Cause::Answered),
        _ => None,
    }
}

fn refused(history: &History, line: &LogLine) -> Cause {
    match line.field("lacking") {
        "NoModel" => model_lacking(history),
        "NoAdapter" => Cause::AdapterNotLoaded,
        "Full" => Cause::EnginesFull,
        lacking => Cause::GatewayRefused {
            lacking: lacking.to_owned(),
        },
    }
}

fn model_lacking(history: &History) -> Cause {
    match model_order(history) {
        Some(order) => Cause::ModelNotLoaded {
            reply: order.field("reply").to_owned(),
        },
        None => Cause::ModelNotOrdered,
    }
}

/// Returns the last order near the request that loads its model.
fn model_order(history: &History) -> Option<&LogLine> {
    let orders = history.around().filter(|line| line.event == "order");
    orders.filter(|line| line.field("kind") == "load").last()
}

fn lost(history: &History, line: &LogLine) -> Cause {
    let endpoint = line.field("endpoint");
    let changes = history.around().filter(|other| {
        other.event == "endpoint" && other.field("endpoint") == endpoint && is_loss(other)
    });
    let has_crashed = history
        .own
        .iter()
        .any(|line| line.event == "endpoint_crashed");
    match changes.last() {
        Some(change) => Cause::EndpointLost {
            endpoint: endpoint.to_owned(),
            change: change.field("change").to_owned(),
        },
        None if has_crashed => Cause::EndpointLost {
            endpoint: endpoint.to_owned(),
            change: "crashed".to_owned(),
        },
        None => Cause::AnswerLost {
            endpoint: endpoint.to_owned(),
            reason: line.field("reason").to_owned(),
        },
    }
}

fn is_loss(line: &LogLine) -> bool {
    matches!(line.field("change"), "restarted" | "gone" | "leaving")
}

fn ended(history: &History, line: &LogLine) -> Cause {
    match line.field("end") {
        "whole" => held_up(history, line),
        "caller left" => Cause::CallerLeft,
        _ => {
            let mut latest_first = history.own.iter().rev();
            let broken = latest_first.find(|line| line.event == "answer_broken");
            lost(history, broken.unwrap_or(line))
        }
    }
}

/// Returns what held a whole answer up most.
fn held_up(history: &History, line: &LogLine) -> Cause {
    let (wait_ms, pause_ms) = (line.number("wait_ms"), line.number("pause_max_ms"));
    if wait_ms.max(pause_ms) < LONG_PAUSE_MS {
        return Cause::Answered;
    }
    if wait_ms >= pause_ms {
        return match model_order(history) {
            Some(_) => Cause::ColdStart { wait_ms },
            None => Cause::WaitedForPlace { wait_ms },
        };
    }
    let at_endpoint = history.streams_at(line.field("endpoint"));
    let pauses: Vec<i64> = at_endpoint
        .map(|other| other.number("pause_max_ms"))
        .collect();
    let is_long = |pause_ms: &&i64| **pause_ms >= LONG_PAUSE_MS;
    let held_up = pauses.iter().filter(is_long).count();
    if held_up * CROWDED_PART < pauses.len().max(1) {
        return Cause::SlowAnswer { pause_ms };
    }
    Cause::CrowdedEngine {
        pause_ms,
        held_up,
        neighbours: pauses.len(),
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ModelNotOrdered => f.write_str(
                "no engine held the model and none was ordered to load it: see lease lines",
            ),
            Self::ModelNotLoaded { reply } => write!(
                f,
                "no engine held the model in time; the last order to load it was answered: {reply}"
            ),
            Self::AdapterNotLoaded => f.write_str("no engine with the model held the adapter"),
            Self::EnginesFull => f.write_str("all engines with the model were full"),
            Self::GatewayRefused { lacking } => {
                write!(f, "the gateway refused the request: {lacking}")
            }
            Self::NoRoute { version } => {
                write!(f, "configuration {version} has no route for the request")
            }
            Self::EndpointLost { endpoint, change } => {
                write!(f, "endpoint {endpoint} was lost with the request: {change}")
            }
            Self::AnswerLost { endpoint, reason } => {
                write!(f, "endpoint {endpoint} stayed, but: {reason}")
            }
            Self::ColdStart { wait_ms } => {
                write!(f, "waited {wait_ms} ms for its model to be loaded")
            }
            Self::WaitedForPlace { wait_ms } => {
                write!(f, "waited {wait_ms} ms for a place at an engine")
            }
            Self::CrowdedEngine {
                pause_ms,
                held_up,
                neighbours,
            } => write!(
                f,
                "paused {pause_ms} ms, as did {held_up} of {neighbours} answers of its engine"
            ),
            Self::SlowAnswer { pause_ms } => {
                write!(
                    f,
                    "paused {pause_ms} ms, unlike other answers of its engine"
                )
            }
            Self::CallerLeft => f.write_str("the caller left"),
            Self::Answered => f.write_str("answered"),
        }
    }
}
