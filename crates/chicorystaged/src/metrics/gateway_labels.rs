use chicorystage_api::name::ServiceName;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};

/// Labels of metrics that are kept per route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabels {
    /// Name of the route.
    pub route: String,
}

/// Labels of requests that are counted per route and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the route.
    pub route: String,
    /// How the request ended.
    pub outcome: RequestOutcome,
}

/// Labels of late answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LateAnswerLabels {
    /// Name of the route.
    pub route: String,
    /// Stage that took the most time.
    pub cause: String,
}

/// Labels of what is counted per service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Name of the service.
    pub service: String,
}

impl ServiceLabels {
    pub(super) fn of(service: &ServiceName) -> Self {
        Self {
            service: service.as_str().to_owned(),
        }
    }
}

/// Labels of retries that are counted per service and decision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RetryLabels {
    /// Name of the service.
    pub service: String,
    /// Whether the budget granted the retry: `true` or `false`.
    pub is_granted: String,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RequestOutcome {
    /// An endpoint answered the request.
    Answered,
    /// The request was refused and didn't run.
    Refused,
    /// The request may have run, and its answer is lost.
    Lost,
    /// The request timed out after it had been sent to an endpoint.
    TimedOut,
}

/// Labels of events that are counted per kind and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EventLabels {
    /// Kind of the event, such as the kind of an order.
    pub kind: String,
    /// How the event ended.
    pub outcome: String,
}

/// Labels of relayed answers that are counted by framing and end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StreamEndLabels {
    /// What ends the body: `length`, `chunks` or `close`.
    pub framing: String,
    /// How the answer ended: `whole`, or what broke it.
    pub end: String,
}
