//! `history`.

use chicorystage_api::admin::HistoryPage;
use chicorystage_api::inventory::ItemChange;

use crate::ToolError;
use crate::cli::context::Context;
use crate::cli::options::HistoryOptions;
use crate::table::Table;

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
        "REVISION", "UNIX_MS", "OPERATOR", "CHANGE", "ITEMS", "REASON",
    ]);
    for record in &page.records {
        let items: Vec<String> = record.items.iter().map(item).collect();
        table.row(vec![
            record.revision.to_string(),
            record.accepted_unix_ms.to_string(),
            record.operator.to_string(),
            record.change_id.to_string(),
            items.join(" "),
            record.reason.clone(),
        ]);
    }
    format!("{table}\nhead at revision {}\n", page.head_revision)
}

fn item(entry: &ItemChange) -> String {
    let sign = match (entry.expected_revision, &entry.item) {
        (None, _) => '+',
        (_, None) => '-',
        _ => '~',
    };
    format!("{sign}{}", entry.key)
}
