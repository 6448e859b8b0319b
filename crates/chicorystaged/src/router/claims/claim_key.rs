use std::sync::Arc;

use chicorystage_api::name::{CallerName, IdempotencyKey};
use chicorystage_api::peer::CLAIM_ROW_PREFIX;

/// Returns the key of a claim's row in the platform's table.
///
/// A caller's name contains no slash, so rows of different callers never collide.
#[must_use]
pub fn claim_row_key(caller: &CallerName, key: &IdempotencyKey) -> Arc<str> {
    format!("{CLAIM_ROW_PREFIX}{caller}/{key}").into()
}
