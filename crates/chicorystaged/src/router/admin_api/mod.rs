//! The admin API: operators change the inventory and inspect the deployment.
//!
//! Every request carries a bearer token. The root token from the settings has
//! all rights. An operator item in the inventory may change the items of the
//! owners that it lists. Draining VMs and lifting quarantines requires an
//! operator for all owners.

mod admin_error;
mod authentication;
mod deployment;
mod quarantine;
mod query;

use std::collections::HashMap;
use std::sync::Arc;

use chicorystage_api::admin::{HistoryPage, ItemsPage};
use chicorystage_api::inventory::{Change, ItemKey, ItemKind, OperatorItem};
use chicorystage_api::name::{Digest, GroupName, RequestId, VmId};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::{Handler, ResponseBody};
use chicorystage_borders::vm_list::VmEntry;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;

use crate::router::admin_api::admin_error::AdminError;
use crate::router::admin_api::authentication::require_any_owner;
use crate::router::admin_api::query::parameter;
use crate::router::borders::RouterBorders;
use crate::router::handle::RouterHandle;
use crate::router::inventory::{Committer, InventoryEvent, read_records, read_revision};
use crate::settings::{DaemonSettings, RouterSettings};
use crate::timer::Clock;
use crate::web;

/// Maximum size of a change's body, in bytes.
const BODY_BYTES_MAX: usize = 32 << 20;
/// Number of records of a history page if the query names no limit.
const HISTORY_LIMIT_DEFAULT: usize = 50;
/// Maximum number of records of a history page.
const HISTORY_LIMIT_MAX: usize = 1_000;
/// Maximum length of a change id, in bytes.
const CHANGE_ID_LEN_MAX: usize = 128;

type Answer = Result<Response<ResponseBody>, AdminError>;

/// HTTP handler of the admin API.
#[derive(Clone, Debug)]
pub struct AdminApi {
    own_vm: VmId,
    group: GroupName,
    root_token_sha256: Digest,
    borders: RouterBorders,
    handle: RouterHandle,
    committer: Committer,
}

impl AdminApi {
    /// Creates the handler of one router.
    #[must_use]
    pub fn new(
        daemon: &DaemonSettings,
        settings: &RouterSettings,
        borders: RouterBorders,
        handle: RouterHandle,
        clock: Clock,
    ) -> Self {
        let identity = (daemon.vm.clone(), daemon.group.clone());
        Self {
            own_vm: daemon.vm.clone(),
            group: daemon.group.clone(),
            root_token_sha256: settings.root_token_sha256.clone(),
            committer: Committer::new(identity, borders.clone(), handle.clone(), clock),
            borders,
            handle,
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let operator = self.authenticate(&request).await?;
        let path = request.uri().path().to_owned();
        let Some(path) = path.strip_prefix("/admin/v1/") else {
            return Err(unknown_path(&path));
        };
        let segments: Vec<&str> = path.split('/').collect();
        match (request.method(), segments.as_slice()) {
            (&Method::POST, ["changes"]) => self.change(operator, request).await,
            (&Method::GET, ["items"]) => self.items(&request).await,
            (&Method::GET, ["items", kind, name]) => self.item(kind, name).await,
            (&Method::GET, ["history"]) => self.history(&request).await,
            (&Method::GET, ["status"]) => self.status().await,
            (&Method::POST, ["drain", vm]) => {
                require_any_owner(&operator)?;
                self.drain(&VmId::from(query::decode(vm))).await
            }
            (&Method::GET, ["explain", id]) => {
                self.explain(RequestId::from(query::decode(id))).await
            }
            (&Method::GET, ["quarantine"]) => self.quarantine().await,
            (&Method::DELETE, ["quarantine"]) => {
                require_any_owner(&operator)?;
                self.lift_quarantine(None).await
            }
            (&Method::DELETE, ["quarantine", digest]) => {
                require_any_owner(&operator)?;
                self.lift_quarantine(Some(Digest::from(query::decode(digest))))
                    .await
            }
            _ => Err(unknown_path(request.uri().path())),
        }
    }

    async fn change(&self, operator: OperatorItem, request: Request<Incoming>) -> Answer {
        let bad_json = |detail: String| Refusal::not_run(RefusalCode::BadJson, detail);
        let body = Limited::new(request.into_body(), BODY_BYTES_MAX);
        let body = body.collect().await;
        let body = body
            .map_err(|error| bad_json(error.to_string()))?
            .to_bytes();
        let change: Change =
            serde_json::from_slice(&body).map_err(|error| bad_json(error.to_string()))?;
        check_format(&change)?;
        // A separate task commits and announces the change even if the operator disconnects.
        let committer = self.committer.clone();
        let submitted = tokio::spawn(async move { committer.submit(&operator, &change).await });
        let answer = submitted.await.unwrap_or_else(|error| {
            let refusal = Refusal::may_have_run(RefusalCode::Internal, error.to_string());
            Err(refusal.into())
        })?;
        Ok(json_ok(&answer))
    }

    async fn items(&self, request: &Request<Incoming>) -> Answer {
        let kind = parameter(request, "kind");
        let only_kind = match &kind {
            Some(name) => Some(parse_kind(name)?),
            None => None,
        };
        let (revision, mut rows) = self
            .ask_inventory(|reply| InventoryEvent::Items { reply })
            .await?;
        rows.retain(|row| only_kind.is_none_or(|kind| row.item.key().kind == kind));
        Ok(json_ok(&ItemsPage { revision, rows }))
    }

    async fn item(&self, kind: &str, name: &str) -> Answer {
        let key = ItemKey::new(parse_kind(kind)?, &query::decode(name));
        let (_, rows) = self
            .ask_inventory(|reply| InventoryEvent::Items { reply })
            .await?;
        let row = rows.iter().find(|row| row.item.key() == key);
        let row = row.ok_or_else(|| AdminError::NotFound(format!("no item {key}")))?;
        Ok(json_ok(row))
    }

    async fn history(&self, request: &Request<Incoming>) -> Answer {
        let limit = query::number_parameter(request, "limit")?;
        let limit = limit.map_or(HISTORY_LIMIT_DEFAULT, |limit| {
            usize::try_from(limit).unwrap_or(usize::MAX)
        });
        let limit = limit.clamp(1, HISTORY_LIMIT_MAX);
        let after = query::number_parameter(request, "after")?;
        let table = &*self.borders.table;
        let unreadable = |error| AdminError::table_unreadable(&error);
        let head_revision = read_revision(table).await.map_err(unreadable)?;
        let newest = head_revision.saturating_sub(limit as u64);
        let records = read_records(table, after.unwrap_or(newest), limit).await;
        let records = records.map_err(unreadable)?;
        Ok(json_ok(&HistoryPage {
            head_revision,
            records,
        }))
    }

    async fn ask_inventory<T>(
        &self,
        event: impl FnOnce(tokio::sync::oneshot::Sender<T>) -> InventoryEvent,
    ) -> Result<T, AdminError> {
        let answer = self.handle.ask_inventory(event).await;
        answer
            .ok_or_else(|| Refusal::not_run(RefusalCode::Internal, "the router is stopping").into())
    }

    async fn vms(&self) -> Result<HashMap<VmId, VmEntry>, AdminError> {
        let vms = self
            .ask_inventory(|reply| InventoryEvent::Vms { reply })
            .await?;
        Ok(vms.unwrap_or_default())
    }
}

impl Handler for AdminApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async move {
            self.answer(request)
                .await
                .unwrap_or_else(AdminError::response)
        })
    }
}

fn check_format(change: &Change) -> Result<(), Refusal> {
    let id = change.change_id.as_str();
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if id.is_empty() || id.len() > CHANGE_ID_LEN_MAX || !id.chars().all(allowed) {
        let detail = format!(
            "change_id: allowed: 1 to {CHANGE_ID_LEN_MAX} letters, digits, '.', '_' or '-'"
        );
        return Err(Refusal::not_run(RefusalCode::BadRequest, detail));
    }
    if change.items.is_empty() {
        let detail = "items: allowed: at least one item";
        return Err(Refusal::not_run(RefusalCode::BadRequest, detail));
    }
    Ok(())
}

fn parse_kind(name: &str) -> Result<ItemKind, Refusal> {
    let mut kinds = ItemKind::ALL.into_iter();
    kinds.find(|kind| kind.to_string() == name).ok_or_else(|| {
        let allowed = ItemKind::ALL.map(|kind| kind.to_string()).join(", ");
        let detail = format!("kind: given {name:?}, allowed: {allowed}");
        Refusal::not_run(RefusalCode::BadRequest, detail)
    })
}

fn json_ok<T: Serialize>(content: &T) -> Response<ResponseBody> {
    web::json(StatusCode::OK, content)
}

fn unknown_path(path: &str) -> AdminError {
    Refusal::not_run(RefusalCode::UnknownPath, Arc::<str>::from(path)).into()
}
