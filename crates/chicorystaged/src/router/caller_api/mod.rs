//! The caller API: completions, chat completions and plain services.

mod answer;
mod completion_body;
mod conversation;
mod request_head;

use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chicorystage_api::inventory::ModelRef;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{Completion, ServiceCall, WorkSpec};
use chicorystage_platform::BoxFuture;
use chicorystage_platform::http::{Handler, ResponseBody};
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::router::borders::RouterBorders;
use crate::router::caller_api::completion_body::CompletionBody;
use crate::router::caller_api::conversation::Conversation;
use crate::router::caller_api::request_head::RequestHead;
use crate::router::event::{Admission, Resolved, Target};
use crate::router::handle::RouterHandle;
use crate::timer::Clock;
use crate::web;

const COMPLETIONS_PATH: &str = "/v1/completions";
const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";
const SERVICES_PREFIX: &str = "/v1/services/";
/// Largest body that is read before the caller's own limit is known, in bytes.
const BODY_BYTES_MAX: usize = 8 << 20;

/// Answers callers.
#[derive(Debug)]
pub struct CallerApi {
    handle: RouterHandle,
    borders: RouterBorders,
    clock: Clock,
}

impl CallerApi {
    /// Creates the API.
    #[must_use]
    pub fn new(handle: RouterHandle, borders: RouterBorders, clock: Clock) -> Self {
        Self {
            handle,
            borders,
            clock,
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<ResponseBody>, Refusal> {
        let head = RequestHead::parse(&request)?;
        let path = request.uri().path();
        let chat = path == CHAT_COMPLETIONS_PATH;
        if chat || path == COMPLETIONS_PATH {
            if request.method() != Method::POST {
                return Err(Refusal::not_run(RefusalCode::BadMethod, "allowed: POST"));
            }
            return self.complete(head, request, chat).await;
        }
        if path.starts_with(SERVICES_PREFIX) {
            return self.call_service(head, request).await;
        }
        Err(Refusal::not_run(
            RefusalCode::UnknownPath,
            format!("no path {path}"),
        ))
    }

    async fn complete(
        &self,
        head: RequestHead,
        request: Request<Incoming>,
        chat: bool,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let bytes = read_body(request).await?;
        let body = CompletionBody::parse(&bytes, chat)?;
        let model = ModelRef::parse(&body.model)
            .map_err(|error| Refusal::not_run(RefusalCode::UnknownModel, error.to_string()))?;
        let admission = self
            .handle
            .admit(head.token_sha256.clone(), Target::Model(model))
            .await?;
        check_body(&admission, bytes.len())?;
        let Resolved::Model {
            model,
            model_memory_bytes,
            adapter_memory_bytes,
        } = admission.resolved.clone()
        else {
            return Err(Refusal::not_run(
                RefusalCode::Internal,
                "a model request was resolved as a call",
            ));
        };
        let work = WorkSpec::Completion(Completion {
            version: model.version.clone().unwrap_or_else(|| "".into()),
            model: model.model.clone(),
            adapter: model.adapter.clone(),
            model_memory_bytes,
            adapter_memory_bytes,
            prompt: body.prompt.into(),
            max_tokens: body.max_tokens,
        });
        let conversation = Conversation::new(
            &self.handle,
            &self.borders,
            self.clock,
            &head,
            admission,
            work,
        )?;
        let request_id = conversation.request_id().clone();
        let opened = conversation.open().await?;
        if body.stream {
            return Ok(answer::stream_completion(
                opened,
                &request_id,
                &model.to_string(),
                chat,
            ));
        }
        answer::whole_completion(opened, &request_id, &model.to_string(), chat).await
    }

    async fn call_service(
        &self,
        head: RequestHead,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let path_and_query = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let below = path_and_query
            .strip_prefix(SERVICES_PREFIX)
            .unwrap_or_default();
        let (application, path) = match below.split_once('/') {
            Some((application, path)) => (application.to_owned(), format!("/{path}")),
            None => (below.to_owned(), "/".to_owned()),
        };
        let method = request.method().as_str().to_owned();
        let content_type = request
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok());
        let content_type: Arc<str> = content_type.unwrap_or_default().into();
        let bytes = read_body(request).await?;
        let target = Target::Application {
            application: application.as_str().into(),
            method: method.clone(),
            path: path.clone(),
        };
        let admission = self.handle.admit(head.token_sha256.clone(), target).await?;
        check_body(&admission, bytes.len())?;
        let Resolved::Application { idempotent } = admission.resolved else {
            return Err(Refusal::not_run(
                RefusalCode::Internal,
                "a call was resolved as a model request",
            ));
        };
        if !idempotent {
            if head.key.is_none() {
                let detail = "the call is not idempotent; allowed: Idempotency-Key: KEY";
                return Err(Refusal::not_run(RefusalCode::KeyRequired, detail));
            }
            let detail = "calls that are not idempotent are not offered yet";
            return Err(Refusal::not_run(RefusalCode::ClaimUnavailable, detail));
        }
        let work = WorkSpec::Service(ServiceCall {
            application: application.into(),
            method: method.into(),
            path: path.into(),
            content_type,
            body_base64: STANDARD.encode(&bytes).into(),
            idempotent,
        });
        let conversation = Conversation::new(
            &self.handle,
            &self.borders,
            self.clock,
            &head,
            admission,
            work,
        )?;
        let request_id = conversation.request_id().clone();
        let opened = conversation.open().await?;
        answer::service_reply(opened, &request_id).await
    }
}

impl Handler for CallerApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async move {
            self.answer(request)
                .await
                .unwrap_or_else(|refusal| web::refusal(&refusal))
        })
    }
}

async fn read_body(request: Request<Incoming>) -> Result<bytes::Bytes, Refusal> {
    let body = Limited::new(request.into_body(), BODY_BYTES_MAX)
        .collect()
        .await;
    let body = body.map_err(|error| {
        if error.is::<http_body_util::LengthLimitError>() {
            let detail = format!("the body is larger than {BODY_BYTES_MAX} bytes");
            return Refusal::not_run(RefusalCode::BodyTooLarge, detail);
        }
        Refusal::not_run(RefusalCode::BadRequest, format!("body: {error}"))
    })?;
    Ok(body.to_bytes())
}

fn check_body(admission: &Admission, len: usize) -> Result<(), Refusal> {
    let limit = admission.caller.body_bytes_max;
    if len as u64 <= limit {
        return Ok(());
    }
    let detail = format!(
        "the body has {len} bytes; caller {} may send {limit}",
        admission.caller.name
    );
    Err(Refusal::not_run(RefusalCode::BodyTooLarge, detail))
}
