//! Where a stream that a caller takes up again may go on.

use chicorystage_core::fleet::Requirements;
use chicorystage_core::registry::reregistration_left_ms;
use chicorystage_core::stream_origins::ResumeTarget;
use http::{Response, StatusCode};

use crate::gateway::answer_body::AnswerBody;
use crate::gateway::origin_evidence::OriginEvidence;
use crate::gateway::own_responses::{RETRY_AFTER_DEFAULT_MS, refusal, text_response};
use crate::gateway::serving::Serving;
use crate::gateway::stream_origins;
use crate::metrics::RequestOutcome;
use crate::timer::boot_ms;

/// Time within which a gateway reads the registry once all live endpoints are back in it, in
/// milliseconds.
const REGISTRY_READ_MS: u64 = 200;

impl Serving {
    /// Requires the software version that began the stream, if the caller takes one up again.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a stream whose version is unknown or no longer serves.
    pub(super) async fn find_origin(
        &self,
        requirements: &mut Requirements,
    ) -> Result<(), Box<Response<AnswerBody>>> {
        let head = &self.work.head;
        if head.last_event_id.is_none() || !self.work.route.kind.is_stream() {
            return Ok(());
        }
        let service = &requirements.service;
        let stream = head.resumes.as_ref();
        let (target, evidence) = stream_origins::find(&self.gateway, service, stream).await;
        let may_go_on = match &target {
            ResumeTarget::Any => true,
            ResumeTarget::Version(software) => self
                .gateway
                .with(|view| view.fleet.has_software(service, software)),
            ResumeTarget::Unknown => false,
        };
        log::info!(
            event = "stream_taken_up", request = head.attempt_id.as_str(),
            stream = stream.map_or("", |stream| stream.as_str()),
            service = service.as_str(), target:?, evidence:%, goes_on = may_go_on;
            "caller takes up a stream again"
        );
        if !may_go_on {
            self.gateway
                .metrics
                .count_request(&self.work.route.name, RequestOutcome::Refused);
            let restored_left_ms = reregistration_left_ms(&self.gateway.era(), boot_ms());
            return Err(Box::new(stream_refusal(evidence, restored_left_ms)));
        }
        if let ResumeTarget::Version(software) = target {
            requirements.software = Some(software);
        }
        Ok(())
    }
}

/// Returns the refusal of a stream that cannot go on.
///
/// It states a time to come back only if the store could not be read, or may lack live endpoints for
/// `restored_left_ms`: otherwise no other gateway and no later time would do.
fn stream_refusal(evidence: OriginEvidence, restored_left_ms: u64) -> Response<AnswerBody> {
    let reason = "no endpoint can go on with this stream";
    match evidence {
        OriginEvidence::StoreRestored => {
            let back_ms = restored_left_ms + REGISTRY_READ_MS;
            refusal(reason, back_ms.max(RETRY_AFTER_DEFAULT_MS))
        }
        OriginEvidence::StoreAway => refusal(reason, RETRY_AFTER_DEFAULT_MS),
        OriginEvidence::Stream | OriginEvidence::Versions => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }
}
