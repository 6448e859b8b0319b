use chicorystage_api::admin::{CODE_CHANGE_CONFLICT, CODE_INVALID_CHANGE, CODE_NOT_FOUND};
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use chicorystage_borders::BorderError;
use chicorystage_borders::http::ResponseBody;
use http::{Response, StatusCode};
use serde_json::{Value, json};

use crate::router::inventory::CommitError;
use crate::web;

/// Delay after which the operator should retry a read that the table did not answer, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 2_000;

/// Reason why an operator's request failed.
#[derive(Debug)]
pub(crate) enum AdminError {
    /// The request was refused.
    Refused(Refusal),
    /// A change was not committed.
    Commit(CommitError),
    /// The item, VM, request or digest that the path names does not exist.
    NotFound(String),
}

impl AdminError {
    /// Creates the error of a failed read of the table.
    pub(crate) fn table_unreadable(error: &BorderError) -> Self {
        let detail = format!("the table cannot be read: {error}");
        Refusal::not_run(RefusalCode::ClaimUnavailable, detail)
            .retry_after_ms(RETRY_AFTER_MS)
            .into()
    }

    /// Returns the error as an HTTP response with problem details (RFC 9457).
    pub(crate) fn response(self) -> Response<ResponseBody> {
        match self {
            Self::Refused(refusal) | Self::Commit(CommitError::Refused(refusal)) => {
                web::refusal(&refusal)
            }
            Self::Commit(CommitError::Conflict(conflicts)) => {
                let detail = "another change came first";
                let mut problem = problem(StatusCode::CONFLICT, CODE_CHANGE_CONFLICT, detail);
                problem["conflicts"] = json!(conflicts);
                respond(StatusCode::CONFLICT, &problem)
            }
            Self::Commit(CommitError::Invalid(findings)) => {
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                let detail = "the inventory does not allow the change";
                let mut problem = problem(status, CODE_INVALID_CHANGE, detail);
                problem["findings"] = json!(findings);
                respond(status, &problem)
            }
            Self::Commit(CommitError::Forbidden(keys)) => {
                let keys: Vec<String> = keys.iter().map(ToString::to_string).collect();
                let detail = format!("the operator does not own {}", keys.join(", "));
                web::refusal(&Refusal::not_run(RefusalCode::Forbidden, detail))
            }
            Self::NotFound(detail) => {
                let status = StatusCode::NOT_FOUND;
                respond(status, &problem(status, CODE_NOT_FOUND, &detail))
            }
        }
    }
}

impl From<Refusal> for AdminError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<CommitError> for AdminError {
    fn from(error: CommitError) -> Self {
        Self::Commit(error)
    }
}

fn problem(status: StatusCode, code: &str, detail: &str) -> Value {
    json!({
        "type": format!("urn:chicorystage:refusal:{code}"),
        "title": code,
        "status": status.as_u16(),
        "detail": detail,
        "code": code,
        "outcome": Outcome::NotRun,
    })
}

fn respond(status: StatusCode, problem: &Value) -> Response<ResponseBody> {
    let mut response = web::json(status, problem);
    web::set_content_type(&mut response, "application/problem+json");
    response
}
