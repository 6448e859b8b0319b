use std::path::PathBuf;

use serde::Serialize;

use crate::ToolError;
use crate::admin_client::AdminClient;

/// Settings file of the tool if the command line names none.
const CONFIG_DEFAULT: &str = "chicorystage.ini";

/// Options that all commands share: the settings file and the output format.
#[derive(Debug)]
pub(crate) struct Context {
    config: PathBuf,
    json: bool,
}

impl Context {
    pub(crate) fn new(config: Option<PathBuf>, json: bool) -> Self {
        Self {
            config: config.unwrap_or_else(|| PathBuf::from(CONFIG_DEFAULT)),
            json,
        }
    }

    pub(crate) fn client(&self) -> Result<AdminClient, ToolError> {
        AdminClient::open(&self.config)
    }

    pub(crate) fn json(&self) -> bool {
        self.json
    }

    /// Prints a document as JSON with `--json`, otherwise the text that `human` returns.
    pub(crate) fn print<T: Serialize>(
        &self,
        document: &T,
        human: impl FnOnce(&T) -> String,
    ) -> Result<(), ToolError> {
        if !self.json {
            print!("{}", human(document));
            return Ok(());
        }
        let text = serde_json::to_string_pretty(document)
            .map_err(|error| ToolError::Failed(error.to_string()))?;
        println!("{text}");
        Ok(())
    }
}
