//! Authenticates operators and checks rights that cover all owners.

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
    /// Returns the operator whose bearer token the request carries.
    ///
    /// # Errors
    ///
    /// Refuses a request without a bearer token or with an unknown one.
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
            .ask_inventory(|reply| InventoryEvent::FindOperator {
                token_sha256,
                reply,
            })
            .await?;
        operator.ok_or_else(|| unknown().into())
    }
}

/// Checks that an operator has rights for all owners.
///
/// # Errors
///
/// Refuses any other operator.
pub(super) fn require_any_owner(operator: &OperatorItem) -> Result<(), Refusal> {
    let mut owners = operator.owners.iter();
    if owners.any(|owner| owner.as_str() == ANY_OWNER) {
        return Ok(());
    }
    let detail = format!("operator {} does not stand for all owners", operator.name);
    Err(Refusal::not_run(RefusalCode::Forbidden, detail))
}
