use chicorystage_api::finding::Finding;

use crate::settings::{GatewayFile, IniReader, LogSettings, Settings};

/// Validated settings file of a daemon of any role.
#[derive(Clone, Debug)]
pub enum DaemonFile {
    /// Settings of a gateway.
    Gateway(Box<GatewayFile>),
    /// Settings of a router or an agent.
    RouterOrAgent(Box<Settings>),
}

impl DaemonFile {
    /// Parses and validates the text of the settings file named `file`.
    ///
    /// The key `role` of section `[daemon]` selects the kind of file.
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted by line.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let mut reader = IniReader::new(file, text);
        let role = reader.optional::<String>("daemon", "role", "gateway, router or agent");
        if role.as_deref() == Some("gateway") {
            let gateway = GatewayFile::parse(file, text)?;
            return Ok(Self::Gateway(Box::new(gateway)));
        }
        let settings = Settings::parse(file, text)?;
        Ok(Self::RouterOrAgent(Box::new(settings)))
    }

    /// Returns the logging settings, which files of all roles have.
    #[must_use]
    pub fn log(&self) -> &LogSettings {
        match self {
            Self::Gateway(file) => &file.log,
            Self::RouterOrAgent(settings) => &settings.log,
        }
    }
}
