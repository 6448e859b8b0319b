//! Keeps a silent endpoint until another one can go on with its stream.

use crate::gateway::elsewhere::{Elsewhere, Lacking};
use crate::gateway::relay::StreamRelay;
use crate::gateway::reservation::Reservation;
use crate::gateway::retry_decision::BudgetFields;
use crate::gateway::retry_permit::RetryPermit;

/// What goes on with a stream in place of a silent endpoint.
#[derive(Debug)]
pub(super) struct Takeover {
    /// The other endpoint; `None` if one is waited for.
    pub reservation: Option<Reservation>,
    pub permit: RetryPermit,
    /// What the retry budget decided.
    pub fields: BudgetFields,
}

impl StreamRelay {
    /// Reserves another endpoint and a retry for the rest of a silent stream; returns whether the silent
    /// endpoint is given up.
    ///
    /// Otherwise the silent endpoint is the best there is: it may only be slow.
    pub(super) fn prepare_takeover(&mut self) -> bool {
        let mut requirements = self.requirements.clone();
        requirements.software = self.origin.software().cloned();
        requirements.is_most_urgent = true;
        let checked = self
            .gateway
            .could_send_elsewhere(&requirements, &self.endpoint);
        let elsewhere = match checked {
            Ok(elsewhere) => elsewhere,
            Err(lacking) => return self.keep(lacking),
        };
        requirements.avoid.push(self.endpoint.clone());
        let reserved = self.gateway.reserve(&requirements).ok();
        let reservation = reserved.filter(|reserved| reserved.endpoint != self.endpoint);
        if reservation.is_none() && elsewhere == Elsewhere::Now {
            return self.keep(Lacking::Endpoint);
        }
        let now_ms = self.gateway.now_ms();
        let service = &requirements.service;
        let (fields, permit) = self.gateway.take_retry(true, now_ms, service);
        let Some(permit) = permit else {
            return self.keep(Lacking::RetryBudget);
        };
        self.takeover = Some(Takeover {
            reservation,
            permit,
            fields,
        });
        true
    }

    /// Waits on for the silent endpoint; logs it once for each silence.
    fn keep(&mut self, lacking: Lacking) -> bool {
        if !self.is_kept {
            log::info!(
                event = "silent_answer_kept", request = self.work.head.attempt_id.as_str(),
                endpoint = self.endpoint.as_str(), lacking:%,
                left_ms = self.work.left_ms(self.gateway.now_ms());
                "endpoint fell silent and nothing else could go on with its stream"
            );
        }
        self.is_kept = true;
        false
    }
}
