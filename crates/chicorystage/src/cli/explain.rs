//! The command `explain REQUEST_ID [--logs FILE]`, which shows what happened to a request.

use std::fmt;
use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;

use serde::Serialize;
use serde_json::Value;

use crate::ToolError;
use crate::admin_client::encode;
use crate::cli::context::Context;
use crate::cli::options::ExplainOptions;
use crate::logs::{Cause, History, LogLine};

/// File name that stands for standard input on the command line.
const STANDARD_INPUT: &str = "-";

pub(crate) async fn run(context: &Context, options: &ExplainOptions) -> Result<(), ToolError> {
    let path = format!("explain/{}", encode(&options.request_id));
    let explained: Value = context.client()?.get(&path).await?;
    context.print(&explained, |explained| {
        let mut text = String::new();
        describe(explained, 0, &mut text);
        text
    })
}

/// Explains a request from log files, without a call to a router.
pub(crate) fn from_logs(context: &Context, options: &ExplainOptions) -> Result<(), ToolError> {
    let mut history = History::new(&options.request_id);
    for path in &options.logs {
        read_log(&mut history, path)?;
    }
    history.sort();
    if history.unreadable_lines > 0 {
        eprintln!(
            "chicorystage: {} of {} lines are not lines of a gateway",
            history.unreadable_lines, history.lines
        );
    }
    if history.request_lines.is_empty() {
        return Err(ToolError::Failed(format!(
            "no line of request {} among {} lines",
            options.request_id, history.lines
        )));
    }
    let texts = |lines: Vec<&LogLine>| -> Vec<String> {
        lines.into_iter().map(ToString::to_string).collect()
    };
    let cause = Cause::of(&history).map(|cause| cause.to_string());
    let explanation = Explanation {
        request: &options.request_id,
        lines: texts(history.request_lines.iter().collect()),
        around: texts(history.related_lines().collect()),
        cause: cause.unwrap_or_else(|| "the lines do not tell".to_owned()),
    };
    context.print(&explanation, ToString::to_string)
}

/// Explanation of a request, derived from log lines.
#[derive(Debug, Serialize)]
struct Explanation<'a> {
    request: &'a str,
    lines: Vec<String>,
    around: Vec<String>,
    cause: String,
}

impl fmt::Display for Explanation<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for line in &self.lines {
            writeln!(f, "  {line}")?;
        }
        writeln!(f, "around it")?;
        for line in &self.around {
            writeln!(f, "  {line}")?;
        }
        writeln!(f, "cause: {}", self.cause)
    }
}

fn read_log(history: &mut History, path: &Path) -> Result<(), ToolError> {
    let name = path.display().to_string();
    let read = if name == STANDARD_INPUT {
        history.read("stdin", io::stdin().lock())
    } else {
        let source = path.file_stem().unwrap_or_default().to_string_lossy();
        File::open(path).and_then(|file| history.read(&source, BufReader::new(file)))
    };
    read.map_err(|error| ToolError::Failed(format!("{name}: {error}")))
}

/// Appends a JSON document to `text` as indented lines of names and values.
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
