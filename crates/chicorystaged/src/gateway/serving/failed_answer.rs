use std::fmt;

use chicorystage_api::name::EndpointId;
use chicorystage_borders::http::BodyFraming;
use http::Response;

use crate::gateway::answer_body::AnswerBody;

/// A server error of an endpoint, received whole.
pub(super) struct FailedAnswer {
    /// The answer as it is sent to the caller.
    pub response: Response<AnswerBody>,
    /// What ended its body.
    pub framing: BodyFraming,
    /// The endpoint that answered.
    pub endpoint: EndpointId,
}

impl fmt::Debug for FailedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FailedAnswer")
            .field("status", &self.response.status())
            .field("endpoint", &self.endpoint)
            .finish_non_exhaustive()
    }
}
