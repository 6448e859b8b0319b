//! The caller API: completions, chat completions and service calls over HTTP.
//!
//! Parses a request's head, has the dispatcher count the request against its
//! caller's limits, and only then reads the body. Unknown callers and callers
//! over their limits therefore cannot make the router buffer data.

mod answer;
mod completion_body;
mod request_body;
mod request_head;

use std::sync::Arc;

use bytes::Bytes;
use chicorystage_api::inventory::ModelRef;
use chicorystage_api::name::RequestId;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::{Handler, ResponseBody};
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response};
use hyper::body::{Body, Incoming};

use crate::router::caller_api::completion_body::CompletionBody;
use crate::router::serving::{CallerHead, CallerRequest, CallerWork, Dispatcher, EntryGuard};
use crate::web;

const COMPLETIONS_PATH: &str = "/v1/completions";
const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";
const SERVICES_PREFIX: &str = "/v1/services/";

/// HTTP handler of the caller API.
#[derive(Debug)]
pub struct CallerApi {
    dispatcher: Dispatcher,
}

impl CallerApi {
    /// Creates a handler that passes requests to a dispatcher.
    #[must_use]
    pub fn new(dispatcher: Dispatcher) -> Self {
        Self { dispatcher }
    }

    async fn answer(
        &self,
        request_id: RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let path = request.uri().path();
        let chat = path == CHAT_COMPLETIONS_PATH;
        if chat || path == COMPLETIONS_PATH {
            if request.method() != Method::POST {
                return Err(Refusal::not_run(RefusalCode::BadMethod, "allowed: POST"));
            }
            return self.complete(request_id, request, chat).await;
        }
        if let Some(application_path) = path.strip_prefix(SERVICES_PREFIX)
            && !application_path.is_empty()
            && !application_path.starts_with('/')
        {
            return self.call_service(request_id, request).await;
        }
        Err(Refusal::not_run(
            RefusalCode::UnknownPath,
            format!("no path {path}"),
        ))
    }

    async fn complete(
        &self,
        request_id: RequestId,
        request: Request<Incoming>,
        chat: bool,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (head, entry, bytes) = self.enter_and_read(request).await?;
        let body = CompletionBody::parse(&bytes, chat)?;
        let model = ModelRef::parse(&body.model)
            .map_err(|error| Refusal::not_run(RefusalCode::UnknownModel, error.to_string()))?;
        let work = CallerWork::Completion {
            model,
            prompt: body.prompt.into(),
            max_tokens: body.max_tokens,
        };
        let request = CallerRequest {
            request_id,
            head,
            body_bytes: bytes.len() as u64,
            work,
        };
        let opened = self.dispatcher.open_entered(entry, request).await?;
        if body.stream {
            let metrics = Arc::clone(&self.dispatcher.metrics);
            return Ok(answer::stream_completion(opened, chat, metrics));
        }
        answer::collect_completion(opened, chat).await
    }

    async fn call_service(
        &self,
        request_id: RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let path_and_query = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let application_path = path_and_query
            .strip_prefix(SERVICES_PREFIX)
            .unwrap_or_default();
        let (application, path) = match application_path.split_once('/') {
            Some((application, path)) => (application.to_owned(), format!("/{path}")),
            None => (application_path.to_owned(), "/".to_owned()),
        };
        let method = Arc::from(request.method().as_str());
        let content_type = request
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok());
        let content_type = Arc::from(content_type.unwrap_or_default());
        let (head, entry, body) = self.enter_and_read(request).await?;
        let request = CallerRequest {
            request_id,
            head,
            body_bytes: body.len() as u64,
            work: CallerWork::Call {
                application: application.into(),
                method,
                path: path.into(),
                content_type,
                body,
            },
        };
        let whole = self.dispatcher.whole_entered(entry, request).await?;
        Ok(answer::service_response(whole))
    }

    /// Parses a request's head, counts it against its caller's limits and reads its body.
    ///
    /// The limits reserve the declared size, or the caller's maximum if none is
    /// declared; the excess is released once the body is read.
    async fn enter_and_read(
        &self,
        request: Request<Incoming>,
    ) -> Result<(CallerHead, EntryGuard, Bytes), Refusal> {
        let head = request_head::parse(&request)?;
        let declared_bytes = request.body().size_hint().exact();
        let mut entry = self.dispatcher.enter(&head, declared_bytes).await?;
        let bytes = request_body::read(request.into_body(), entry.caller()).await?;
        entry.shrink(bytes.len() as u64);
        Ok((head, entry, bytes))
    }
}

impl Handler for CallerApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async move {
            let request_id = CallerRequest::new_id();
            let mut response = self
                .answer(request_id.clone(), request)
                .await
                .unwrap_or_else(|refusal| {
                    self.dispatcher.metrics.count_refusal(&refusal);
                    web::refusal(&refusal)
                });
            answer::set_request_id(&mut response, &request_id);
            response
        })
    }
}
