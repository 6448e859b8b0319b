//! Client of a router's admin API.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use chicorystage_api::admin::{
    CODE_CHANGE_CONFLICT, CODE_INVALID_CHANGE, ChangeAnswer, ChangeConflict, ItemFinding, ItemsPage,
};
use chicorystage_api::inventory::Change;
use chicorystage_borders::http::HttpClient;
use chicorystaged::settings::IniReader;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Method, Response};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::interval;

use crate::ToolError;

/// Timeout of a call if the settings file has none, in milliseconds.
const TIMEOUT_DEFAULT_MS: u64 = 30_000;
const TIMEOUT_MIN_MS: u64 = 100;
const TIMEOUT_MAX_MS: u64 = 600_000;
/// Interval at which a call in progress is reported to the operator, in milliseconds.
const PROGRESS_INTERVAL_MS: u64 = 2_000;

/// Client of one router's admin API, with the operator's token.
#[derive(Debug)]
pub struct AdminClient {
    client: HttpClient,
    authorization: HeaderValue,
}

/// Problem details with which the router refuses a request.
#[derive(Debug, Deserialize)]
struct Problem {
    code: String,
    #[serde(default)]
    detail: String,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    conflicts: Vec<ChangeConflict>,
    #[serde(default)]
    findings: Vec<ItemFinding>,
}

impl AdminClient {
    /// Creates a client from the tool's settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings in the settings file, or an error if it or the token
    /// file can't be read or the token is malformed.
    pub fn open(settings: &Path) -> Result<Self, ToolError> {
        let name = settings.display().to_string();
        let text = std::fs::read_to_string(settings)
            .map_err(|error| ToolError::Usage(format!("settings {name}: {error}")))?;
        let mut reader = IniReader::new(&name, &text);
        let allowed = "IP:port, as in 127.0.0.1:7000";
        let address = reader.required::<SocketAddr>("admin", "address", allowed);
        let allowed = "the path of a file that holds the operator's token";
        let token_file = reader.required::<PathBuf>("admin", "token_file", allowed);
        let timeout_ms = reader.number(
            "admin",
            "timeout_ms",
            TIMEOUT_DEFAULT_MS,
            TIMEOUT_MIN_MS,
            TIMEOUT_MAX_MS,
        );
        let findings = reader.finish();
        let (Some(address), Some(token_file)) = (address, token_file) else {
            return Err(ToolError::File(findings));
        };
        if !findings.is_empty() {
            return Err(ToolError::File(findings));
        }
        // A relative path is resolved against the directory of the settings file.
        let token_file = settings.parent().unwrap_or(Path::new("")).join(token_file);
        let token = std::fs::read_to_string(&token_file)
            .map_err(|error| ToolError::Usage(format!("{}: {error}", token_file.display())))?;
        let mut authorization = HeaderValue::from_str(&format!("Bearer {}", token.trim()))
            .map_err(|_secret| {
                ToolError::Usage(format!(
                    "{}: the token has characters that an HTTP header can't carry",
                    token_file.display()
                ))
            })?;
        authorization.set_sensitive(true);
        Ok(Self {
            client: HttpClient::new(address, timeout_ms),
            authorization,
        })
    }

    /// Returns the items of the current inventory.
    ///
    /// # Errors
    ///
    /// Fails if the router doesn't answer or refuses the request.
    pub async fn items(&self) -> Result<ItemsPage, ToolError> {
        self.get("items").await
    }

    /// Submits a change to the inventory.
    ///
    /// The change id is an idempotency key: a change whose outcome is unknown may
    /// be submitted again under the same id.
    ///
    /// # Errors
    ///
    /// Returns conflicts as [`ToolError::Conflict`], findings as
    /// [`ToolError::Change`] and any other failure as [`ToolError::Failed`].
    pub async fn submit(&self, change: &Change) -> Result<ChangeAnswer, ToolError> {
        let body = serde_json::to_vec(change).map_err(failure)?;
        self.call(Method::POST, "changes", Bytes::from(body)).await
    }

    /// Returns the JSON document at a path below `/admin/v1/`.
    ///
    /// # Errors
    ///
    /// Fails if the router doesn't answer or refuses the request.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ToolError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a request to a path below `/admin/v1/` and returns the JSON response.
    ///
    /// # Errors
    ///
    /// Fails as [`submit`](Self::submit) does.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, ToolError> {
        let path = format!("/admin/v1/{path}");
        let mut request = self.client.request(method, &path, body);
        request
            .headers_mut()
            .insert(AUTHORIZATION, self.authorization.clone());
        let response = self.with_progress(self.client.send(request)).await;
        let response = response.map_err(failure)?;
        if !response.status().is_success() {
            return Err(refusal_error(&response));
        }
        serde_json::from_slice(response.body()).map_err(failure)
    }

    /// Waits for a call and reports the wait on standard error at regular intervals.
    async fn with_progress<T>(&self, work: impl Future<Output = T>) -> T {
        tokio::pin!(work);
        let mut reports = interval(Duration::from_millis(PROGRESS_INTERVAL_MS));
        reports.tick().await;
        let mut waited_ms = 0;
        loop {
            tokio::select! {
                done = &mut work => return done,
                _tick = reports.tick() => {
                    waited_ms += PROGRESS_INTERVAL_MS;
                    eprintln!("chicorystage: waiting for {} since {waited_ms} ms", self.client.address());
                }
            }
        }
    }
}

/// Percent-encodes one segment of a path.
pub(crate) fn encode(segment: &str) -> String {
    utf8_percent_encode(segment, NON_ALPHANUMERIC).to_string()
}

fn refusal_error(response: &Response<Bytes>) -> ToolError {
    let Ok(problem) = serde_json::from_slice::<Problem>(response.body()) else {
        let body = serde_json::from_slice::<Value>(response.body()).unwrap_or_default();
        return ToolError::Failed(format!("the router answered {}: {body}", response.status()));
    };
    match problem.code.as_str() {
        CODE_CHANGE_CONFLICT => ToolError::Conflict(problem.conflicts),
        CODE_INVALID_CHANGE => ToolError::Change(problem.findings),
        code => {
            let Problem {
                detail, outcome, ..
            } = problem;
            ToolError::Failed(format!("{code} ({outcome}): {detail}"))
        }
    }
}

fn failure(error: impl std::fmt::Display) -> ToolError {
    ToolError::Failed(error.to_string())
}
