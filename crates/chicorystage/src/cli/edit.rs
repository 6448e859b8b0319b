//! The commands `set` and `delete`, which change one item.

use std::collections::BTreeMap;

use chicorystage_api::inventory::{Change, Item, ItemChange, ItemKey, ItemRow};
use chicorystaged::settings::IniReader;

use crate::ToolError;
use crate::cli::apply::{new_change_id, submit};
use crate::cli::context::Context;
use crate::cli::options::{DeleteOptions, SetOptions};
use crate::file::{item_fields, read_item, section_name};

/// File name in findings that concern fields given on the command line.
const COMMAND_LINE: &str = "command line";

pub(crate) async fn set(context: &Context, options: &SetOptions) -> Result<(), ToolError> {
    let key = parse_key(&options.item)?;
    let client = context.client()?;
    let row = find_row(client.items().await?.rows, &key);
    let item = merge_fields(&key, row.as_ref().map(|row| &row.item), &options.fields)?;
    let change = single_item_change(
        ItemChange {
            key,
            expected_revision: expected_revision(options.expect, row.as_ref()),
            item: Some(item),
        },
        options.reason.as_deref(),
    );
    submit(context, &client, &change).await
}

pub(crate) async fn delete(context: &Context, options: &DeleteOptions) -> Result<(), ToolError> {
    let key = parse_key(&options.item)?;
    let client = context.client()?;
    let row = find_row(client.items().await?.rows, &key);
    let change = single_item_change(
        ItemChange {
            key,
            expected_revision: expected_revision(options.expect, row.as_ref()),
            item: None,
        },
        options.reason.as_deref(),
    );
    submit(context, &client, &change).await
}

/// Returns the revision that the item must have: the one given, else the current one.
///
/// `None` means that the item must not exist; on the command line this is written as 0.
fn expected_revision(given: Option<u64>, row: Option<&ItemRow>) -> Option<u64> {
    match given {
        Some(0) => None,
        Some(revision) => Some(revision),
        None => row.map(|row| row.revision),
    }
}

fn single_item_change(item: ItemChange, reason: Option<&str>) -> Change {
    Change {
        change_id: new_change_id().into(),
        items: vec![item],
        reason: reason.unwrap_or_default().to_owned(),
    }
}

fn find_row(rows: Vec<ItemRow>, key: &ItemKey) -> Option<ItemRow> {
    rows.into_iter().find(|row| row.item.key() == *key)
}

fn parse_key(text: &str) -> Result<ItemKey, ToolError> {
    ItemKey::parse(text).ok_or_else(|| {
        let detail = format!("item: given {text:?}, allowed: KIND/NAME, as in rule/brief");
        ToolError::Usage(detail)
    })
}

/// Merges new values into an item's current ones and validates the result like a file's section.
fn merge_fields(key: &ItemKey, old: Option<&Item>, given: &[String]) -> Result<Item, ToolError> {
    let old = old.map(item_fields).unwrap_or_default();
    let old = old.into_iter().map(|(key, value)| (key.to_owned(), value));
    let mut fields: BTreeMap<String, String> = old.collect();
    for field in given {
        let Some((name, value)) = field.split_once('=') else {
            let detail = format!("field: given {field:?}, allowed: KEY=VALUE");
            return Err(ToolError::Usage(detail));
        };
        fields.insert(name.trim().to_owned(), value.trim().to_owned());
    }
    let mut text = format!("[{}]\n", section_name(key));
    for (name, value) in fields {
        text.extend([format!("{name} = {value}\n")]);
    }
    let mut reader = IniReader::new(COMMAND_LINE, &text);
    let item = read_item(&mut reader, key);
    let findings = reader.finish();
    match item {
        Some(item) if findings.is_empty() => Ok(item),
        _ => Err(ToolError::File(findings)),
    }
}
