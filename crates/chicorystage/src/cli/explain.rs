//! `explain REQUEST_ID`.

use serde_json::Value;

use crate::ToolError;
use crate::admin_client::encode;
use crate::cli::context::Context;
use crate::cli::options::ExplainOptions;

pub(crate) async fn run(context: &Context, options: &ExplainOptions) -> Result<(), ToolError> {
    let path = format!("explain/{}", encode(&options.request_id));
    let explained: Value = context.client()?.get(&path).await?;
    context.print(&explained, |explained| {
        let mut text = String::new();
        describe(explained, 0, &mut text);
        text
    })
}

/// Writes a document as indented lines of names and values.
fn describe(value: &Value, depth: usize, text: &mut String) {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                describe_entry(&format!("{indent}{name}:"), value, depth, text);
            }
        }
        Value::Array(entries) => {
            for value in entries {
                describe_entry(&format!("{indent}-"), value, depth, text);
            }
        }
        leaf => text.extend([format!("{indent}{}\n", plain(leaf))]),
    }
}

fn describe_entry(label: &str, value: &Value, depth: usize, text: &mut String) {
    if value.is_object() || value.is_array() {
        text.extend([format!("{label}\n")]);
        describe(value, depth + 1, text);
        return;
    }
    text.extend([format!("{label} {}\n", plain(value))]);
}

fn plain(value: &Value) -> String {
    value.as_str().map_or(value.to_string(), str::to_owned)
}
