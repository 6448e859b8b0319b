//! Paths and queries of the admin API.

use chicorystage_api::refusal::{Refusal, RefusalCode};
use http::Request;
use percent_encoding::percent_decode_str;

/// Returns a parameter of the query, decoded.
pub(crate) fn query<B>(request: &Request<B>, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(decode(value))
}

/// Returns a parameter that is a whole number.
pub(crate) fn number<B>(request: &Request<B>, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(given) = query(request, name) else {
        return Ok(None);
    };
    let parsed = given.parse().map_err(|_not_a_number| {
        let detail = format!("{name}: given {given:?}, allowed: a whole number");
        Refusal::not_run(RefusalCode::BadRequest, detail)
    })?;
    Ok(Some(parsed))
}

/// Decodes a segment of a path.
pub(crate) fn decode(segment: &str) -> String {
    percent_decode_str(segment).decode_utf8_lossy().into_owned()
}
