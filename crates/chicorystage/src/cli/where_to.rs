//! The command `where`, which shows where a request would go now and why.

use std::net::SocketAddr;

use chicorystage_api::choice::{
    CHOICE_PATH, ChoiceAnswer, ChoiceQuestion, EndpointAnswer, ServiceAnswer, TeamAnswer,
};
use chicorystage_api::name::{AdapterName, ModelName, TeamName};
use chicorystage_borders::http::HttpClient;
use http::{Method, StatusCode};

use crate::ToolError;
use crate::cli::context::Context;
use crate::cli::options::WhereOptions;
use crate::table::Table;

/// Timeout of the question, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;

pub(crate) async fn run(context: &Context, options: &WhereOptions) -> Result<(), ToolError> {
    let address: SocketAddr = options.gateway.parse().map_err(|error| {
        let given = &options.gateway;
        ToolError::Usage(format!("--gateway {given}: {error}; IP:port is allowed"))
    })?;
    let answer = ask(address, &question(options)).await?;
    context.print(&answer, describe)
}

fn question(options: &WhereOptions) -> ChoiceQuestion {
    ChoiceQuestion {
        host: options.host.clone(),
        path: options.path.clone(),
        model: options.model.as_deref().map(ModelName::from),
        adapter: options.adapter.as_deref().map(AdapterName::from),
        team: options.team.as_deref().map(TeamName::from),
        prompt_tokens: options.prompt_tokens.unwrap_or(0),
    }
}

async fn ask(address: SocketAddr, question: &ChoiceQuestion) -> Result<ChoiceAnswer, ToolError> {
    let failed = |detail: String| ToolError::Failed(format!("gateway {address}: {detail}"));
    let client = HttpClient::new(address, TIMEOUT_MS);
    let body = serde_json::to_vec(question).map_err(|error| failed(error.to_string()))?;
    let request = client.request(Method::POST, CHOICE_PATH, body.into());
    let response = client
        .send(request)
        .await
        .map_err(|error| failed(error.to_string()))?;
    let body = response.body();
    if response.status() != StatusCode::OK {
        return Err(failed(String::from_utf8_lossy(body).into_owned()));
    }
    serde_json::from_slice(body).map_err(|error| failed(error.to_string()))
}

/// Returns the answer as text for a terminal.
#[must_use]
pub fn describe(answer: &ChoiceAnswer) -> String {
    let mut text = format!(
        "gateway {}, configuration {}, route {}; other gateways' requests as of {} ms ago\n",
        answer.gateway, answer.configuration, answer.route, answer.reports_age_ms
    );
    text.extend(answer.team.as_ref().map(describe_team));
    text.extend(answer.services.iter().map(describe_service));
    text
}

fn describe_team(team: &TeamAnswer) -> String {
    let quota = match (team.units_left, team.asked_per_s) {
        (Some(left), Some(asked)) => format!("{left:.0} units left, {asked:.0} a second asked"),
        _ => "no quota".to_owned(),
    };
    let keys = if team.are_keys_accepted {
        "accepted"
    } else {
        "refused, as the configuration is not confirmed"
    };
    format!(
        "team {}: priority level {}, {quota}; keys are {keys}\n",
        team.team, team.level
    )
}

fn describe_service(service: &ServiceAnswer) -> String {
    let outcome = match &service.missing {
        None => "sent at once".to_owned(),
        Some(missing) => {
            let ready = service
                .ready_in_ms
                .map_or("time not known".to_owned(), |ready_ms| {
                    format!("expected in {ready_ms} ms")
                });
            format!(
                "not sent now: {missing}, {ready}; waits {} ms at most, would come back after {} ms",
                service.wait_max_ms,
                service.retry_after_ms.unwrap_or(0)
            )
        }
    };
    let heading = [
        "ENDPOINT", "ZONE", "OWN", "OTHERS", "SLOTS", "COST", "CHOSEN", "REJECTED",
    ];
    let mut table = Table::new(&heading);
    for endpoint in &service.endpoints {
        table.add_row(row(endpoint));
    }
    format!(
        "service {} (weight {}): {outcome}\n{table}",
        service.service, service.weight
    )
}

fn row(endpoint: &EndpointAnswer) -> Vec<String> {
    vec![
        endpoint.endpoint.to_string(),
        endpoint.zone.to_string(),
        endpoint.own_requests.to_string(),
        endpoint.other_requests.to_string(),
        endpoint.slots.to_string(),
        endpoint
            .cost
            .map_or("-".to_owned(), |cost| format!("{cost:.1}")),
        format!("{:.2}", endpoint.probability),
        endpoint.rejected.clone().unwrap_or_default(),
    ]
}
