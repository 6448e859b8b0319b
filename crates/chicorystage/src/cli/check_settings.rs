//! The command `check-settings FILE`, which validates a daemon's settings file.

use chicorystaged::settings::Settings;
use serde_json::json;

use crate::ToolError;
use crate::cli::context::Context;
use crate::cli::options::FileOptions;

pub(crate) fn run(context: &Context, options: &FileOptions) -> Result<(), ToolError> {
    let name = options.file.display().to_string();
    let text = std::fs::read_to_string(&options.file)
        .map_err(|error| ToolError::Usage(format!("{name}: {error}")))?;
    let settings = Settings::parse(&name, &text).map_err(ToolError::File)?;
    let role = settings.role.to_string();
    let document = json!({ "file": name, "role": role, "vm": settings.daemon.vm });
    context.print(&document, |_| {
        format!("{name}: valid settings of {role} {}\n", settings.daemon.vm)
    })
}
