//! The command `history`, which lists accepted changes of the inventory.

use chicorystage_api::admin::HistoryPage;
use chicorystage_api::inventory::ItemChange;

use crate::ToolError;
use crate::cli::context::Context;
use crate::cli::options::HistoryOptions;
use crate::table::Table;
use crate::utc_time::utc_text;

/// Largest number of items named for one change; the JSON output contains all.
const ITEMS_SHOWN: usize = 3;

pub(crate) async fn run(context: &Context, options: &HistoryOptions) -> Result<(), ToolError> {
    let mut parameters = Vec::new();
    if let Some(after) = options.after {
        parameters.push(format!("after={after}"));
    }
    if let Some(limit) = options.limit {
        parameters.push(format!("limit={limit}"));
    }
    let path = format!("history?{}", parameters.join("&"));
    let page: HistoryPage = context.client()?.get(&path).await?;
    context.print(&page, describe)
}

fn describe(page: &HistoryPage) -> String {
    let mut table = Table::new(&[
        "REVISION", "ACCEPTED", "OPERATOR", "CHANGE", "ITEMS", "REASON",
    ]);
    for record in &page.records {
        table.add_row(vec![
            record.revision.to_string(),
            utc_text(record.accepted_unix_ms),
            record.operator.to_string(),
            record.change_id.to_string(),
            items_text(&record.items),
            record.reason.clone(),
        ]);
    }
    format!("{table}\nhead at revision {}\n", page.head_revision)
}

fn items_text(entries: &[ItemChange]) -> String {
    let shown = entries.iter().take(ITEMS_SHOWN).map(item_text);
    let mut shown: Vec<String> = shown.collect();
    if entries.len() > ITEMS_SHOWN {
        shown.push(format!("and {} more", entries.len() - ITEMS_SHOWN));
    }
    shown.join(" ")
}

fn item_text(entry: &ItemChange) -> String {
    let sign = match (entry.expected_revision, &entry.item) {
        (None, _) => '+',
        (_, None) => '-',
        _ => '~',
    };
    format!("{sign}{}", entry.key)
}
