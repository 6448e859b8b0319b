//! Tells how a request would be placed now, without placing it.

use chicorystage_api::name::{EndpointId, ZoneName};

use crate::fleet::assessment::{Assessment, ChoiceContext};
use crate::fleet::{Choice, EndpointReport, FleetView, Rejection, Requirements, StaleLoad};

/// How a request would be placed now.
#[derive(Clone, Debug, PartialEq)]
pub struct ChoiceReport {
    /// What the request is missing; `None` if an endpoint could take it.
    pub missing: Option<Choice>,
    /// All endpoints of the service, ordered by identity.
    pub endpoints: Vec<EndpointReport>,
}

impl FleetView {
    /// Returns how [`FleetView::choose_spread`] would place a request where the load of the other routers
    /// was reported `age_ms` ago.
    #[must_use]
    pub fn report_choice(
        &self,
        now_ms: u64,
        zone: &ZoneName,
        requirements: &Requirements,
        age_ms: u64,
    ) -> ChoiceReport {
        let context = ChoiceContext {
            now_ms,
            zone,
            requirements,
            age_ms,
        };
        let (missing, probabilities) = match self.candidates(&context) {
            Ok(mut candidates) => (None, StaleLoad::probabilities(age_ms, &mut candidates)),
            Err(missing) => (Some(missing), Vec::new()),
        };
        let probability_of = |id: &EndpointId| {
            let known = probabilities.iter().find(|(candidate, _)| *candidate == id);
            known.map(|(_, probability)| *probability)
        };
        let endpoints = self
            .assessments(&context)
            .map(|assessment| self.endpoint_report(&assessment, probability_of(assessment.id)));
        ChoiceReport {
            missing,
            endpoints: endpoints.collect(),
        }
    }

    /// Returns the report of one endpoint; `probability` is `None` if it is no candidate.
    fn endpoint_report(
        &self,
        assessment: &Assessment<'_>,
        probability: Option<f64>,
    ) -> EndpointReport {
        let entry = &assessment.endpoint.entry;
        let rejection = assessment.outcome.as_ref().err().copied();
        let is_passed_over = probability.is_none().then_some(Rejection::Breaking);
        EndpointReport {
            id: assessment.id.clone(),
            zone: entry.zone.clone(),
            slots: entry.slots,
            own_requests: assessment.endpoint.own_requests(),
            other_requests: self.others_at(assessment.id),
            cost: assessment
                .outcome
                .as_ref()
                .ok()
                .map(|candidate| candidate.cost),
            probability: probability.unwrap_or(0.0),
            rejection: rejection.or(is_passed_over),
        }
    }
}
