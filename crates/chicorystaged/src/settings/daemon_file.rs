use chicorystage_api::finding::Finding;

use crate::settings::{GatewayFile, IniReader, LogSettings, Settings};

/// A settings file: of a gateway, or of a router or agent.
#[derive(Clone, Debug)]
pub enum DaemonFile {
    /// Settings of a gateway.
    Gateway(Box<GatewayFile>),
    /// Settings of a router or an agent.
    Fleet(Box<Settings>),
}

impl DaemonFile {
    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns every finding, ordered by line.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let mut reader = IniReader::new(file, text);
        let role = reader.optional::<String>("daemon", "role", "gateway, router or agent");
        if role.as_deref() == Some("gateway") {
            let gateway = GatewayFile::parse(file, text)?;
            return Ok(Self::Gateway(Box::new(gateway)));
        }
        let settings = Settings::parse(file, text)?;
        Ok(Self::Fleet(Box::new(settings)))
    }

    /// Returns where log lines go.
    #[must_use]
    pub fn log(&self) -> &LogSettings {
        match self {
            Self::Gateway(file) => &file.log,
            Self::Fleet(settings) => &settings.log,
        }
    }
}
