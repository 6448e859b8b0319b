use derive_more::Display;

use crate::fleet::Choice;

/// What a request waits for at the router.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum WaitReason {
    /// The service has no reachable endpoint.
    #[display("endpoint")]
    Endpoint,
    /// No endpoint has loaded the model.
    #[display("model")]
    Model,
    /// No endpoint with the model has loaded the adapter.
    #[display("adapter")]
    Adapter,
    /// All endpoints with the model and adapter run at capacity.
    #[display("capacity")]
    Capacity,
    /// Endpoints have named limits on requests that are used up.
    #[display("limit")]
    Limit,
    /// Endpoints still process prompts that were sent shortly before.
    #[display("prompts")]
    Prompts,
}

impl WaitReason {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::Endpoint,
        Self::Model,
        Self::Adapter,
        Self::Capacity,
        Self::Limit,
        Self::Prompts,
    ];

    /// Returns the reason that a choice without an endpoint states; `None` for an endpoint.
    #[must_use]
    pub fn of(choice: &Choice) -> Option<Self> {
        match choice {
            Choice::Endpoint(_) => None,
            Choice::NoEndpoint => Some(Self::Endpoint),
            Choice::NoModel => Some(Self::Model),
            Choice::NoAdapter => Some(Self::Adapter),
            Choice::Full => Some(Self::Capacity),
            Choice::Limited => Some(Self::Limit),
            Choice::Reading => Some(Self::Prompts),
        }
    }
}
