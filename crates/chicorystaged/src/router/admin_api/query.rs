//! Parses path segments and query parameters of the admin API.

use chicorystage_api::refusal::{Refusal, RefusalCode};
use http::Request;
use percent_encoding::percent_decode_str;

/// Returns the percent-decoded value of a query parameter; `None` if it is absent.
pub(crate) fn parameter<B>(request: &Request<B>, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(decode(value))
}

/// Returns the value of a numeric query parameter; `None` if it is absent.
///
/// # Errors
///
/// Refuses a value that is not a whole number.
pub(crate) fn number_parameter<B>(
    request: &Request<B>,
    name: &str,
) -> Result<Option<u64>, Refusal> {
    let Some(given) = parameter(request, name) else {
        return Ok(None);
    };
    let parsed = given.parse().map_err(|_not_a_number| {
        let detail = format!("{name}: given {given:?}, allowed: a whole number");
        Refusal::not_run(RefusalCode::BadRequest, detail)
    })?;
    Ok(Some(parsed))
}

/// Percent-decodes a path segment or a query value; replaces invalid UTF-8.
pub(crate) fn decode(segment: &str) -> String {
    percent_decode_str(segment).decode_utf8_lossy().into_owned()
}
