use derive_more::Display;

use crate::settings::{AgentSettings, RouterSettings};

/// Role of a router or agent daemon, with the settings of that role.
#[derive(Clone, Debug, Display)]
pub enum Role {
    /// A router on an entry VM.
    #[display("router")]
    Router(RouterSettings),
    /// An agent beside an endpoint.
    #[display("agent")]
    Agent(AgentSettings),
}
