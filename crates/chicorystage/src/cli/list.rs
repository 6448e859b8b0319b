//! The command `list [KIND]`, which lists the items of the inventory.

use chicorystage_api::admin::ItemsPage;
use chicorystage_api::inventory::ItemRow;

use crate::ToolError;
use crate::cli::context::Context;
use crate::cli::options::ListOptions;
use crate::file::{item_fields, section_name};
use crate::table::Table;

pub(crate) async fn run(context: &Context, options: &ListOptions) -> Result<(), ToolError> {
    let path = match &options.kind {
        Some(kind) => format!("items?kind={kind}"),
        None => "items".to_owned(),
    };
    let page: ItemsPage = context.client()?.get(&path).await?;
    if options.ini {
        let sections: Vec<String> = page.rows.iter().map(section_text).collect();
        print!("{}", sections.join("\n"));
        return Ok(());
    }
    context.print(&page, describe)
}

fn describe(page: &ItemsPage) -> String {
    let mut table = Table::new(&["ITEM", "REVISION", "OPERATOR", "OWNER"]);
    for row in &page.rows {
        let owner = row.item.owner().map_or("-", |owner| owner.as_str());
        table.add_row(vec![
            row.item.key().to_string(),
            row.revision.to_string(),
            row.operator.to_string(),
            owner.to_owned(),
        ]);
    }
    format!("{table}\nrevision {} in force\n", page.revision)
}

fn section_text(row: &ItemRow) -> String {
    let mut text = format!("[{}]\n", section_name(&row.item.key()));
    for (key, value) in item_fields(&row.item) {
        text.extend([format!("{key} = {value}\n")]);
    }
    text
}
