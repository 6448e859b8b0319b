//! The commands `validate`, `diff` and `apply FILE`.

use std::io::{BufRead, IsTerminal, Write};

use chicorystage_api::admin::ChangeAnswer;
use chicorystage_api::inventory::{Change, Item, ItemChange, ItemRow};
use chicorystage_api::name::VmId;
use chicorystage_core::inventory::{ItemDiff, diff as diff_items};
use serde_json::json;

use crate::ToolError;
use crate::admin_client::AdminClient;
use crate::cli::context::Context;
use crate::cli::options::{ApplyOptions, FileOptions};
use crate::file::{InventoryFile, item_fields, section_name};

pub(crate) fn validate(context: &Context, options: &FileOptions) -> Result<(), ToolError> {
    let file = InventoryFile::open(&options.file)?;
    let (name, count) = (options.file.display().to_string(), file.items().len());
    context.print(&json!({ "file": name, "items": count }), |_| {
        format!("{name}: {count} valid items\n")
    })
}

pub(crate) async fn diff(context: &Context, options: &FileOptions) -> Result<(), ToolError> {
    let file = InventoryFile::open(&options.file)?;
    let rows = context.client()?.items().await?.rows;
    let diffs = compare(&file, &rows)?;
    let changes: Vec<&ItemChange> = diffs.iter().map(|diff| &diff.change).collect();
    context.print(&changes, |_| describe_all(&diffs))
}

pub(crate) async fn apply(context: &Context, options: &ApplyOptions) -> Result<(), ToolError> {
    let file = InventoryFile::open(&options.file)?;
    let client = context.client()?;
    let rows = client.items().await?.rows;
    let diffs = compare(&file, &rows)?;
    if !context.json() {
        print!("{}", describe_all(&diffs));
    }
    if diffs.is_empty() {
        return context.print(&json!({ "revision": null, "status": "unchanged" }), |_| {
            String::new()
        });
    }
    if !options.yes && !confirmed(diffs.len())? {
        return Err(ToolError::Failed("not applied".to_owned()));
    }
    let change = Change {
        change_id: options
            .change_id
            .clone()
            .unwrap_or_else(new_change_id)
            .into(),
        items: diffs.into_iter().map(|diff| diff.change).collect(),
        reason: options.reason.clone().unwrap_or_default(),
    };
    submit(context, &client, &change).await
}

/// Submits a change and prints which routers have acknowledged it.
pub(crate) async fn submit(
    context: &Context,
    client: &AdminClient,
    change: &Change,
) -> Result<(), ToolError> {
    let answer = client.submit(change).await.map_err(|error| match error {
        // The operator needs the change id to submit the same change again.
        ToolError::Failed(detail) => {
            ToolError::Failed(format!("{detail} (change {})", change.change_id))
        }
        error => error,
    })?;
    context.print(&answer, describe_answer)
}

/// Returns a random change id of 128 bits, which no other change has.
pub(crate) fn new_change_id() -> String {
    format!("cli-{:032x}", rand::random::<u128>())
}

fn compare(file: &InventoryFile, rows: &[ItemRow]) -> Result<Vec<ItemDiff>, ToolError> {
    file.check_against(rows).map_err(ToolError::File)?;
    Ok(diff_items(rows, file.items()))
}

fn confirmed(count: usize) -> Result<bool, ToolError> {
    let input = std::io::stdin();
    if !input.is_terminal() {
        let detail = "standard input is not a terminal; pass --yes to apply without confirmation";
        return Err(ToolError::Usage(detail.to_owned()));
    }
    let failed = |error: std::io::Error| ToolError::Failed(error.to_string());
    print!("Apply {count} changes? [y/N] ");
    std::io::stdout().flush().map_err(failed)?;
    let mut line = String::new();
    input.lock().read_line(&mut line).map_err(failed)?;
    Ok(matches!(line.trim(), "y" | "Y" | "yes"))
}

fn describe_answer(answer: &ChangeAnswer) -> String {
    let names: Vec<&str> = answer.unconfirmed.iter().map(VmId::as_str).collect();
    let unconfirmed = if names.is_empty() {
        String::new()
    } else {
        format!("; unconfirmed: {}", names.join(", "))
    };
    format!(
        "revision {} {} by {} routers{unconfirmed}\n",
        answer.revision,
        answer.status,
        answer.acknowledged.len()
    )
}

fn describe_all(diffs: &[ItemDiff]) -> String {
    if diffs.is_empty() {
        return "nothing to change\n".to_owned();
    }
    diffs.iter().map(describe).collect()
}

/// Formats one difference with the keys that change.
fn describe(diff: &ItemDiff) -> String {
    let section = section_name(&diff.change.key);
    let sign = match (&diff.before, &diff.change.item) {
        (None, _) => '+',
        (_, None) => '-',
        _ => '~',
    };
    let mut text = format!("{sign} [{section}]\n");
    let fields = |item: &Option<Item>| item.as_ref().map(item_fields).unwrap_or_default();
    let (before, after) = (fields(&diff.before), fields(&diff.change.item));
    if diff.change.item.is_none() {
        return text;
    }
    for (key, value) in after {
        let old = before.iter().find(|(known, _)| *known == key);
        match old {
            Some((_, old)) if *old == value => {}
            Some((_, old)) => text.extend([format!("    {key}: {old} -> {value}\n")]),
            None => text.extend([format!("    {key} = {value}\n")]),
        }
    }
    text
}
