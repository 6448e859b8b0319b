//! Who asks, and what only some may ask.

use chicorystage_api::inventory::OperatorItem;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_core::inventory::ANY_OWNER;
use chicorystage_core::token;
use http::Request;
use http::header::AUTHORIZATION;

use crate::router::admin_api::AdminApi;
use crate::router::admin_api::admin_error::AdminError;
use crate::router::inventory::InventoryEvent;

/// Name under which the root token's changes are recorded.
const ROOT_OPERATOR: &str = "root";

impl AdminApi {
    /// Returns the operator who holds the request's bearer token.
    pub(super) async fn authenticate<B>(
        &self,
        request: &Request<B>,
    ) -> Result<OperatorItem, AdminError> {
        let unknown = || Refusal::not_run(RefusalCode::Unauthenticated, "unknown operator token");
        let header = request.headers().get(AUTHORIZATION);
        let header = header.and_then(|value| value.to_str().ok());
        let token = header.and_then(|value| value.strip_prefix("Bearer "));
        let token = token.ok_or_else(unknown)?;
        let token_sha256 = token::sha256(token.as_bytes());
        if token_sha256 == self.root_token_sha256 {
            return Ok(OperatorItem {
                name: ROOT_OPERATOR.into(),
                token_sha256,
                owners: vec![ANY_OWNER.into()],
            });
        }
        let operator = self
            .ask(|reply| InventoryEvent::FindOperator {
                token_sha256,
                reply,
            })
            .await?;
        operator.ok_or_else(|| unknown().into())
    }
}

/// Refuses an operator who does not stand for all owners.
pub(super) fn require_any_owner(operator: &OperatorItem) -> Result<(), Refusal> {
    let mut owners = operator.owners.iter();
    if owners.any(|owner| owner.as_str() == ANY_OWNER) {
        return Ok(());
    }
    let detail = format!("operator {} does not stand for all owners", operator.name);
    Err(Refusal::not_run(RefusalCode::Forbidden, detail))
}
