//! The commands `quarantine list` and `quarantine clear`.

use bytes::Bytes;
use chicorystage_api::peer::QuarantineEntry;
use http::Method;

use crate::ToolError;
use crate::admin_client::encode;
use crate::cli::context::Context;
use crate::cli::options::{ClearOptions, QuarantineCommand, QuarantineOptions};
use crate::table::Table;
use crate::utc_time::utc_text;

pub(crate) async fn run(context: &Context, options: &QuarantineOptions) -> Result<(), ToolError> {
    match &options.command {
        Some(QuarantineCommand::Clear(options)) => clear(context, options).await,
        Some(QuarantineCommand::List(_)) | None => {
            let entries: Vec<QuarantineEntry> = context.client()?.get("quarantine").await?;
            context.print(&entries, |entries| describe(entries))
        }
    }
}

async fn clear(context: &Context, options: &ClearOptions) -> Result<(), ToolError> {
    let path = match (&options.digest, options.all) {
        (Some(digest), false) => format!("quarantine/{}", encode(digest)),
        (None, true) => "quarantine".to_owned(),
        _ => {
            let detail = "quarantine clear: allowed: a DIGEST, or --all";
            return Err(ToolError::Usage(detail.to_owned()));
        }
    };
    let lifted = context
        .client()?
        .call::<Vec<QuarantineEntry>>(Method::DELETE, &path, Bytes::new())
        .await?;
    context.print(&lifted, |lifted| format!("{} lifted\n", lifted.len()))
}

/// Formats the quarantined digests as a table.
pub(crate) fn describe(entries: &[QuarantineEntry]) -> String {
    if entries.is_empty() {
        return "nothing in quarantine\n".to_owned();
    }
    let mut table = Table::new(&["QUARANTINED", "CRASHES", "DECIDED", "REASON"]);
    for entry in entries {
        table.add_row(vec![
            entry.digest.to_string(),
            entry.crashes.to_string(),
            utc_text(entry.decided_unix_ms),
            entry.reason.to_string(),
        ]);
    }
    table.to_string()
}
