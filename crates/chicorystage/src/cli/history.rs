//! `history`.

use chicorystage_api::admin::HistoryPage;
use chicorystage_api::inventory::ItemChange;

use crate::ToolError;
use crate::cli::context::Context;
use crate::cli::options::HistoryOptions;
use crate::table::Table;
use crate::utc_time::utc_text;

/// Items of one change that are named; the JSON has all.
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
        table.row(vec![
            record.revision.to_string(),
            utc_text(record.accepted_unix_ms),
            record.operator.to_string(),
            record.change_id.to_string(),
            items(&record.items),
            record.reason.clone(),
        ]);
    }
    format!("{table}\nhead at revision {}\n", page.head_revision)
}

fn items(entries: &[ItemChange]) -> String {
    let shown = entries.iter().take(ITEMS_SHOWN).map(item);
    let mut shown: Vec<String> = shown.collect();
    if entries.len() > ITEMS_SHOWN {
        shown.push(format!("and {} more", entries.len() - ITEMS_SHOWN));
    }
    shown.join(" ")
}

fn item(entry: &ItemChange) -> String {
    let sign = match (entry.expected_revision, &entry.item) {
        (None, _) => '+',
        (_, None) => '-',
        _ => '~',
    };
    format!("{sign}{}", entry.key)
}
