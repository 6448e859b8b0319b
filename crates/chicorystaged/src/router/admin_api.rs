//! The admin API: operators declare the inventory.

use std::sync::Arc;

use chicorystage_api::inventory::{Change, HEAD_ROW_KEY, HeadRow, ItemRow};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_core::token;
use chicorystage_platform::BoxFuture;
use chicorystage_platform::http::{Handler, ResponseBody};
use chicorystage_platform::table::{Check, CommitOutcome, Transaction, Write};
use http::header::AUTHORIZATION;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;

use crate::router::borders::RouterBorders;
use crate::router::handle::RouterHandle;
use crate::settings::RouterSettings;
use crate::web;

/// Answers operators.
#[derive(Debug)]
pub struct AdminApi {
    handle: RouterHandle,
    borders: RouterBorders,
    settings: RouterSettings,
}

impl AdminApi {
    /// Creates the API.
    #[must_use]
    pub fn new(handle: RouterHandle, borders: RouterBorders, settings: RouterSettings) -> Self {
        Self {
            handle,
            borders,
            settings,
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<ResponseBody>, Refusal> {
        self.authenticate(&request)?;
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/admin/v1/changes") => self.apply(request).await,
            (&Method::GET, "/admin/v1/status") => {
                let status = self.handle.status().await;
                Ok(web::json(StatusCode::OK, &status))
            }
            (_, path) => Err(Refusal::not_run(RefusalCode::UnknownPath, path.to_owned())),
        }
    }

    fn authenticate(&self, request: &Request<Incoming>) -> Result<(), Refusal> {
        let header = request
            .headers()
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let token = header.and_then(|value| value.strip_prefix("Bearer "));
        if token
            .is_some_and(|token| token::sha256(token.as_bytes()) == self.settings.root_token_sha256)
        {
            return Ok(());
        }
        Err(Refusal::not_run(
            RefusalCode::Unauthenticated,
            "unknown operator token",
        ))
    }

    async fn apply(&self, request: Request<Incoming>) -> Result<Response<ResponseBody>, Refusal> {
        let bad = |detail: String| Refusal::not_run(RefusalCode::BadJson, detail);
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(|error| bad(error.to_string()))?;
        let change: Change =
            serde_json::from_slice(&body.to_bytes()).map_err(|error| bad(error.to_string()))?;
        let unavailable = |detail: String| Refusal::not_run(RefusalCode::ClaimUnavailable, detail);
        let head_row = self
            .borders
            .table
            .get(HEAD_ROW_KEY)
            .await
            .map_err(|error| unavailable(error.to_string()))?;
        let head: Option<HeadRow> = head_row
            .as_ref()
            .and_then(|row| serde_json::from_str(&row.value).ok());
        let revision = head.map_or(0, |head| head.revision) + 1;
        let transaction = transaction(&change, revision, head_row.map(|row| row.version));
        match self.borders.table.commit(transaction).await {
            Ok(CommitOutcome::Applied { .. }) => {
                Ok(web::json(StatusCode::OK, &json!({ "revision": revision })))
            }
            Ok(CommitOutcome::Conflict { .. }) => Ok(web::json(
                StatusCode::CONFLICT,
                &json!({ "error": "another change was first" }),
            )),
            Err(error) => Err(unavailable(error.to_string())),
        }
    }
}

impl Handler for AdminApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async move {
            self.answer(request)
                .await
                .unwrap_or_else(|refusal| web::refusal(&refusal))
        })
    }
}

fn transaction(change: &Change, revision: u64, head_version: Option<u64>) -> Transaction {
    let text = |value: serde_json::Result<String>| -> Arc<str> {
        value.expect("message types serialise to JSON").into()
    };
    let head = HeadRow {
        revision,
        change_id: change.change_id.clone(),
    };
    let mut writes = vec![Write {
        key: HEAD_ROW_KEY.into(),
        value: Some(text(serde_json::to_string(&head))),
    }];
    for entry in &change.items {
        let row = entry.item.clone().map(|item| ItemRow {
            item,
            revision,
            change_id: change.change_id.clone(),
            operator: "root".into(),
        });
        writes.push(Write {
            key: entry.key.row_key().into(),
            value: row.map(|row| text(serde_json::to_string(&row))),
        });
    }
    Transaction {
        id: change.change_id.as_str().into(),
        checks: vec![Check {
            key: HEAD_ROW_KEY.into(),
            version: head_version,
        }],
        writes,
    }
}
