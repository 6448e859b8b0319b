//! Dispatches one attempt of idempotent work.

use chicorystage_api::peer::TraceEvent;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_core::suspects::DigestStatus;

use crate::router::event::Choice;
use crate::router::serving::admitted_request::{AttemptTerms, ended_connection};
use crate::router::serving::attempt_failure::AttemptFailure;
use crate::router::serving::idempotent_run::{BegunAttempt, CurrentAttempt, IdempotentRun};
use crate::router::serving::send_failure::SendFailure;

impl IdempotentRun {
    /// Sends an attempt to the chosen VM and waits for its first content.
    ///
    /// The VM is avoided by later attempts of the request.
    pub(super) async fn attempt(&mut self, choice: Choice) -> Result<BegunAttempt, AttemptFailure> {
        self.attempts += 1;
        let alone = self.digest_status == DigestStatus::Suspect;
        self.record.step(TraceEvent::Chosen {
            attempt: self.attempts,
            vm: choice.vm.id.clone(),
            estimated_wait_ms: choice.estimated_wait_ms,
            suspect: alone,
        });
        if !self.avoid.contains(&choice.vm.id) {
            self.avoid.push(choice.vm.id.clone());
        }
        self.current = Some(CurrentAttempt {
            vm: choice.vm.id.clone(),
            grant: choice.grant.clone(),
            alone,
        });
        let address = choice.vm.address;
        let attempt = AttemptTerms {
            attempt: self.attempts,
            grant: choice.grant,
            claim: None,
            alone,
        };
        let (frames, delivery_unknown) = match self.request.send(address, attempt).await {
            Ok(frames) => (frames, false),
            Err(SendFailure::NotDelivered(detail)) => {
                let refusal = Refusal::not_run(RefusalCode::NoEndpoint, detail);
                return Err(AttemptFailure::lost(refusal));
            }
            // The attempt may run although its connection failed. A new connection
            // resumes it, or cancels it if the deadline has passed.
            Err(SendFailure::Unknown | SendFailure::TooLate) => (ended_connection(), true),
        };
        let attempt = self.request.attempt_ref(self.attempts);
        let stream = self.request.stream(address, attempt, frames);
        let mut stream = stream.counted_in_flight(choice.flight);
        if delivery_unknown {
            stream = stream.delivery_unknown();
        }
        let first = stream.next().await?;
        Ok((stream, first))
    }
}
