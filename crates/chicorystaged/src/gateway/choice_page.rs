//! Answers where a request would go now, without sending it.

use std::rc::Rc;
use std::sync::Arc;

use chicorystage_api::choice::{
    ChoiceAnswer, ChoiceQuestion, EndpointAnswer, ServiceAnswer, TeamAnswer,
};
use chicorystage_core::admission::{max_wait_ms, retry_delay_ms};
use chicorystage_core::deployment::{Configuration, Route, WeightedService};
use chicorystage_core::fleet::{EndpointReport, load_age_ms};
use chicorystage_core::teams::Team;
use displaydoc::Display;
use tokio::sync::{mpsc, oneshot};

use crate::gateway::own_responses::RETRY_AFTER_DEFAULT_MS;
use crate::gateway::serving::Wanted;
use crate::gateway::shared::Gateway;

/// Number of questions that wait for the gateway's thread.
const QUESTIONS_MAX: usize = 16;

/// A question with the channel for its answer.
#[derive(Debug)]
pub struct Asked {
    /// The question.
    pub question: ChoiceQuestion,
    /// Channel for the answer.
    pub answer: oneshot::Sender<Result<ChoiceAnswer, QuestionFault>>,
}

/// Why a question has no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum QuestionFault {
    /// no configuration has been read yet
    NoConfiguration,
    /// no route for host {0} and path {1}
    NoRoute(String, String),
    /// no team {0}
    NoTeam(String),
    /// no model {0} at service {1}
    NoModel(String, String),
}

/// Starts the task that answers questions; it ends when the sender is dropped.
pub fn start(gateway: &Rc<Gateway>) -> mpsc::Sender<Asked> {
    let (sender, mut receiver) = mpsc::channel::<Asked>(QUESTIONS_MAX);
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        while let Some(asked) = receiver.recv().await {
            // The asker may have gone.
            let _delivered = asked.answer.send(answer(&gateway, &asked.question));
        }
    });
    sender
}

/// Returns where a request would go now.
///
/// # Errors
///
/// Returns what of the question the configuration does not know.
pub fn answer(gateway: &Gateway, question: &ChoiceQuestion) -> Result<ChoiceAnswer, QuestionFault> {
    let configuration = gateway
        .configuration()
        .ok_or(QuestionFault::NoConfiguration)?;
    let route = configuration
        .route(&question.host, &question.path)
        .ok_or_else(|| QuestionFault::NoRoute(question.host.clone(), question.path.clone()))?;
    let team = find_team(&configuration, question)?;
    let services = route
        .services
        .iter()
        .map(|weighted| answer_service(gateway, &configuration, route, weighted, team, question));
    Ok(ChoiceAnswer {
        gateway: gateway.settings.vm.clone(),
        configuration: configuration.version,
        route: route.name.to_string(),
        reports_age_ms: load_age_ms(gateway.with(|view| view.gateways())),
        services: services.collect::<Result<_, _>>()?,
        team: team.map(|team| answer_team(gateway, &configuration, team)),
    })
}

fn find_team<'a>(
    configuration: &'a Configuration,
    question: &ChoiceQuestion,
) -> Result<Option<&'a Arc<Team>>, QuestionFault> {
    let Some(name) = &question.team else {
        return Ok(None);
    };
    let mut teams = configuration.teams.teams();
    let team = teams.find(|team| team.name == *name);
    team.map(Some)
        .ok_or_else(|| QuestionFault::NoTeam(name.to_string()))
}

fn answer_team(gateway: &Gateway, configuration: &Configuration, team: &Team) -> TeamAnswer {
    let now_ms = gateway.now_ms();
    let level = gateway.with(|view| view.quotas.level(now_ms, &team.name));
    TeamAnswer {
        team: team.name.clone(),
        level: configuration.teams.level(Some(team)),
        units_left: level.as_ref().map(|level| level.level),
        asked_per_s: level.as_ref().map(|level| level.asked_per_s),
        are_keys_accepted: gateway.admits_keys(),
    }
}

fn answer_service(
    gateway: &Gateway,
    configuration: &Configuration,
    route: &Route,
    weighted: &WeightedService,
    team: Option<&Arc<Team>>,
    question: &ChoiceQuestion,
) -> Result<ServiceAnswer, QuestionFault> {
    let now_ms = gateway.now_ms();
    let wanted = Wanted {
        service: weighted.service.clone(),
        model: question.model.clone(),
        adapter: question.adapter.clone(),
        prompt_tokens: question.prompt_tokens,
        arrived_ms: now_ms,
        rank: configuration.rank(route, team.map(Arc::as_ref)),
    };
    let requirements = wanted.requirements(configuration, route).ok_or_else(|| {
        let model = question.model.as_ref().map_or("", |model| model.as_str());
        QuestionFault::NoModel(model.to_owned(), weighted.service.to_string())
    })?;
    let report = gateway.with(|view| {
        let age_ms = load_age_ms(view.gateways());
        let zone = &gateway.settings.zone;
        view.fleet
            .report_choice(now_ms, zone, &requirements, age_ms)
    });
    let ready_in_ms = report
        .missing
        .as_ref()
        .and_then(|missing| gateway.ready_in_ms(&requirements, missing));
    let back_ms = ready_in_ms.unwrap_or(RETRY_AFTER_DEFAULT_MS);
    let is_missing = report.missing.is_some();
    Ok(ServiceAnswer {
        service: weighted.service.clone(),
        weight: weighted.weight,
        missing: report.missing.map(|missing| format!("{missing:?}")),
        ready_in_ms,
        wait_max_ms: max_wait_ms(route, route.timeout_ms),
        retry_after_ms: is_missing.then(|| retry_delay_ms(back_ms, route.timeout_ms)),
        endpoints: report.endpoints.into_iter().map(answer_endpoint).collect(),
    })
}

fn answer_endpoint(report: EndpointReport) -> EndpointAnswer {
    EndpointAnswer {
        endpoint: report.id,
        zone: report.zone,
        slots: report.slots,
        own_requests: report.own_requests,
        other_requests: report.other_requests,
        probability: report.probability,
        cost: report.cost,
        rejected: report.rejection.map(|rejection| rejection.to_string()),
    }
}
