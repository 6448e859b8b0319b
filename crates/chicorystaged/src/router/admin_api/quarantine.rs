//! Lists and lifts quarantines.

use chicorystage_api::name::Digest;

use crate::router::admin_api::admin_error::AdminError;
use crate::router::admin_api::{AdminApi, Answer, json_ok};

impl AdminApi {
    /// Returns the entries of all quarantined digests.
    pub(super) async fn quarantine(&self) -> Answer {
        Ok(json_ok(&self.handle.list_quarantine().await))
    }

    /// Lifts the quarantine of one digest, or of all if `only` is `None`.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if the given digest is not quarantined.
    pub(super) async fn lift_quarantine(&self, only: Option<Digest>) -> Answer {
        let entries = self.handle.list_quarantine().await.into_iter();
        let mut digests: Vec<Digest> = entries.map(|entry| entry.digest).collect();
        if let Some(only) = only {
            digests.retain(|digest| *digest == only);
            if digests.is_empty() {
                return Err(AdminError::NotFound(format!("{only} is not in quarantine")));
            }
        }
        let mut lifted = Vec::new();
        for digest in digests {
            log::info!(event = "quarantine_lifted", digest = digest.as_str(); "quarantine lifted");
            lifted.extend(self.handle.lift_quarantine(digest).await);
        }
        Ok(json_ok(&lifted))
    }
}
