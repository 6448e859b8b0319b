use chicorystage_api::inventory::Class;
use chicorystage_api::name::IdempotencyKey;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_core::token;
use http::header::AUTHORIZATION;
use http::{HeaderMap, Request};

use crate::router::serving::CallerHead;

const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
const CLASS_HEADER: &str = "x-request-class";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Maximum size of path, query and headers together, in bytes.
const HEAD_BYTES_MAX: usize = 16 << 10;
/// Maximum length of an idempotency key, in bytes.
const IDEMPOTENCY_KEY_BYTES_MAX: usize = 255;

/// Parses the bearer token, timeout, class and idempotency key from the headers.
///
/// # Errors
///
/// Refuses a head that is too large, a missing bearer token, and headers with
/// invalid values.
pub(crate) fn parse<B>(request: &Request<B>) -> Result<CallerHead, Refusal> {
    let headers = request.headers();
    check_size(request)?;
    let token = header_text(headers, AUTHORIZATION.as_str())?
        .and_then(|value| value.strip_prefix("Bearer "));
    let Some(token) = token else {
        let detail = "allowed: Authorization: Bearer TOKEN";
        return Err(Refusal::not_run(RefusalCode::Unauthenticated, detail));
    };
    Ok(CallerHead {
        token_sha256: token::sha256(token.trim().as_bytes()),
        timeout_ms: parse_timeout(header_text(headers, TIMEOUT_HEADER)?)?,
        class: parse_class(header_text(headers, CLASS_HEADER)?)?,
        key: parse_idempotency_key(header_text(headers, IDEMPOTENCY_KEY_HEADER)?)?,
    })
}

/// Refuses a head above [`HEAD_BYTES_MAX`]; the HTTP server rejects far larger ones itself.
fn check_size<B>(request: &Request<B>) -> Result<(), Refusal> {
    let fields = request.headers().iter();
    let fields_bytes = fields.map(|(name, value)| name.as_str().len() + value.len());
    let path = request.uri().path_and_query();
    let head_bytes = fields_bytes.sum::<usize>() + path.map_or(0, |path| path.as_str().len());
    if head_bytes <= HEAD_BYTES_MAX {
        return Ok(());
    }
    let detail = format!("the head has {head_bytes} bytes, allowed: up to {HEAD_BYTES_MAX}");
    Err(Refusal::not_run(RefusalCode::HeaderTooLarge, detail))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let not_ascii = || {
        Refusal::not_run(
            RefusalCode::BadRequest,
            format!("header {name} is not plain text"),
        )
    };
    value.to_str().map(Some).map_err(|_error| not_ascii())
}

fn parse_timeout(given: Option<&str>) -> Result<Option<u64>, Refusal> {
    let Some(given) = given else { return Ok(None) };
    match given.parse::<u64>() {
        Ok(timeout_ms) if timeout_ms > 0 => Ok(Some(timeout_ms)),
        _ => {
            let detail =
                format!("X-Request-Timeout-Ms: given {given:?}, allowed: a whole number above 0");
            Err(Refusal::not_run(RefusalCode::BadTimeout, detail))
        }
    }
}

fn parse_class(given: Option<&str>) -> Result<Option<Class>, Refusal> {
    let Some(given) = given else { return Ok(None) };
    let detail =
        || format!("X-Request-Class: given {given:?}, allowed: interactive, standard or batch");
    Class::from_name(given)
        .map(Some)
        .ok_or_else(|| Refusal::not_run(RefusalCode::BadClass, detail()))
}

fn parse_idempotency_key(given: Option<&str>) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(given) = given else { return Ok(None) };
    let well_formed = (1..=IDEMPOTENCY_KEY_BYTES_MAX).contains(&given.len())
        && given.bytes().all(|byte| byte.is_ascii_graphic());
    if well_formed {
        return Ok(Some(given.into()));
    }
    let detail = format!(
        "Idempotency-Key: allowed: 1 to {IDEMPOTENCY_KEY_BYTES_MAX} visible ASCII characters"
    );
    Err(Refusal::not_run(RefusalCode::BadKey, detail))
}
