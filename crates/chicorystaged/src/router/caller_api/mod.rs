//! The caller API: completions, chat completions and plain services.

mod answer;
mod completion_body;
mod request_head;

use std::sync::Arc;

use chicorystage_api::inventory::ModelRef;
use chicorystage_api::name::RequestId;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_platform::BoxFuture;
use chicorystage_platform::http::{Handler, ResponseBody};
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::router::caller_api::completion_body::CompletionBody;
use crate::router::serving::{CallerHead, CallerRequest, CallerWork, Dispatcher};
use crate::web;

const COMPLETIONS_PATH: &str = "/v1/completions";
const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";
const SERVICES_PREFIX: &str = "/v1/services/";
/// Largest body that is read before the caller's own limit is known, in bytes.
const BODY_BYTES_MAX: usize = 8 << 20;

/// Answers callers.
#[derive(Debug)]
pub struct CallerApi {
    dispatcher: Dispatcher,
}

impl CallerApi {
    /// Creates the API.
    #[must_use]
    pub fn new(dispatcher: Dispatcher) -> Self {
        Self { dispatcher }
    }

    async fn answer(
        &self,
        request_id: RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let head = request_head::parse(&request)?;
        let path = request.uri().path();
        let chat = path == CHAT_COMPLETIONS_PATH;
        if chat || path == COMPLETIONS_PATH {
            if request.method() != Method::POST {
                return Err(Refusal::not_run(RefusalCode::BadMethod, "allowed: POST"));
            }
            return self.complete(request_id, head, request, chat).await;
        }
        if path.starts_with(SERVICES_PREFIX) {
            return self.call_service(request_id, head, request).await;
        }
        Err(Refusal::not_run(
            RefusalCode::UnknownPath,
            format!("no path {path}"),
        ))
    }

    async fn complete(
        &self,
        request_id: RequestId,
        head: CallerHead,
        request: Request<Incoming>,
        chat: bool,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let bytes = read_body(request).await?;
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
        let opened = self.dispatcher.open(request).await?;
        if body.stream {
            return Ok(answer::stream_completion(opened, chat));
        }
        answer::whole_completion(opened, chat).await
    }

    async fn call_service(
        &self,
        request_id: RequestId,
        head: CallerHead,
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
        let method = Arc::from(request.method().as_str());
        let content_type = request
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok());
        let content_type = Arc::from(content_type.unwrap_or_default());
        let body = read_body(request).await?;
        let body_bytes = body.len() as u64;
        let work = CallerWork::Call {
            application: application.into(),
            method,
            path: path.into(),
            content_type,
            body,
        };
        let request = CallerRequest {
            request_id,
            head,
            body_bytes,
            work,
        };
        let opened = self.dispatcher.open(request).await?;
        answer::service_reply(opened).await
    }
}

impl Handler for CallerApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async move {
            let request_id = CallerRequest::new_id();
            let mut response = self
                .answer(request_id.clone(), request)
                .await
                .unwrap_or_else(|refusal| web::refusal(&refusal));
            answer::set_request_id(&mut response, &request_id);
            response
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
