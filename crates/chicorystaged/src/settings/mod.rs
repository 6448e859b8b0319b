//! Settings of a daemon, read from an INI file and validated as a whole.
//!
//! Validation doesn't stop at the first problem. Each problem becomes a finding
//! with its file, line, section and key, and all findings are reported
//! together. [`IniReader`] reads single keys and reports unknown and duplicate
//! keys; checks that concern several keys run after all sections were read.

mod agent_settings;
mod cross_checks;
mod daemon_file;
mod daemon_settings;
mod gateway_settings;
mod ini_reader;
mod listen_settings;
mod log_settings;
mod overrides;
mod platform_settings;
mod role;
mod router_settings;
mod settings_file;

pub use agent_settings::{AgentSettings, EndpointKind};
pub use daemon_file::DaemonFile;
pub use daemon_settings::DaemonSettings;
pub use gateway_settings::{GatewayFile, GatewaySettings};
pub use ini_reader::{IniReader, line_number};
pub use listen_settings::ListenSettings;
pub use log_settings::LogSettings;
pub use overrides::with_overrides;
pub use platform_settings::PlatformSettings;
pub use role::Role;
pub use router_settings::RouterSettings;
pub use settings_file::Settings;
