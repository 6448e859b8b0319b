use chicorystage_api::name::{AdapterName, EndpointId, ModelName, ServiceName, SoftwareVersion};

use crate::fleet::Prompt;

/// Requirements of a request for its endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// Service of the request's route.
    pub service: ServiceName,
    /// Model that must be loaded; `None` for a plain application.
    pub model: Option<ModelName>,
    /// Adapter of the model that must be loaded; `None` if the request uses the model alone.
    pub adapter: Option<AdapterName>,
    /// Software version that the endpoint must run, since it goes on with a stream that this
    /// version began; `None` accepts any.
    pub software: Option<SoftwareVersion>,
    /// Whether the answer is a stream that may be resumed, which begins only at a recorded software
    /// version.
    pub is_resumable: bool,
    /// Whether engines admit the request before all others, or it goes on with a stream whose caller waits
    /// for the next event, so that it need not wait for a share of the room.
    pub is_most_urgent: bool,
    /// Prompt that the endpoint will process, which is subject to pacing.
    pub prompt: Prompt,
    /// Endpoints on which earlier attempts of this request failed; they are chosen only as a
    /// fallback.
    pub avoid: Vec<EndpointId>,
}

impl Requirements {
    /// Returns whether an endpoint of this software version is accepted.
    #[must_use]
    pub fn accepts_software(&self, software: Option<&SoftwareVersion>) -> bool {
        self.software.is_none() || self.software.as_ref() == software
    }

    /// Returns whether both requests accept the same endpoints; their prompts are not compared.
    #[must_use]
    pub fn accepts_same(&self, other: &Self) -> bool {
        self.service == other.service
            && self.model == other.model
            && self.adapter == other.adapter
            && self.software == other.software
            && self.is_resumable == other.is_resumable
            && self.is_most_urgent == other.is_most_urgent
            && self.avoid == other.avoid
    }
}
