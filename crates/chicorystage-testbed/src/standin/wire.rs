//! Parsing of requests and encoding of responses for the HTTP emulators.

use bytes::Bytes;
use chicorystage_borders::http::{ResponseBody, full_body};
use chicorystage_borders::{BorderError, BorderErrorKind};
use chicorystage_core::token;
use http::header::{CONTENT_TYPE, ETAG, IF_NONE_MATCH};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Returns status 200 with a value as JSON.
pub(crate) fn json_response<T: Serialize>(value: &T) -> Response<ResponseBody> {
    json_body(encode(value))
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("message types serialise to JSON")
}

fn json_body(body: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns a value as JSON with its entity tag, or 304 if the client has this version.
pub(crate) fn json_with_etag<T: Serialize>(
    request: &Request<Incoming>,
    value: &T,
) -> Response<ResponseBody> {
    let body = encode(value);
    let tag = format!("\"{}\"", token::sha256(&body));
    let tag = HeaderValue::from_str(&tag).expect("a digest is a header value");
    let mut response = if request.headers().get(IF_NONE_MATCH) == Some(&tag) {
        text_response(StatusCode::NOT_MODIFIED, "")
    } else {
        json_body(body)
    };
    response.headers_mut().insert(ETAG, tag);
    response
}

/// Returns a status with a text as the body.
pub(crate) fn text_response(status: StatusCode, text: impl Into<String>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text.into()));
    *response.status_mut() = status;
    response
}

/// Returns the value as JSON, 409 for a rejection, or 503 for any other error.
pub(crate) fn result_response<T: Serialize>(
    result: Result<T, BorderError>,
) -> Response<ResponseBody> {
    match result {
        Ok(value) => json_response(&value),
        Err(error) if error.kind() == BorderErrorKind::Rejected => {
            text_response(StatusCode::CONFLICT, error.to_string())
        }
        Err(error) => text_response(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
    }
}

/// Reads the whole body; returns an empty one if the connection breaks.
pub(crate) async fn read_body(request: Request<Incoming>) -> Bytes {
    request
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default()
}

/// Parses the body as JSON.
///
/// # Errors
///
/// Returns the response to send, with status 400, if the body can't be parsed.
pub(crate) async fn parse_body<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<ResponseBody>> {
    let bytes = read_body(request).await;
    serde_json::from_slice(&bytes)
        .map_err(|error| text_response(StatusCode::BAD_REQUEST, error.to_string()))
}

/// Returns a decoded parameter of the query, or `None` if it is absent.
pub(crate) fn query_param(request: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1;
    Some(percent_decode(value))
}

/// Decodes percent escapes; replaces invalid UTF-8.
pub(crate) fn percent_decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}
