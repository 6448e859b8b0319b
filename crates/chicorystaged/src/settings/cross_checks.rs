//! Validation rules that concern more than one key of a settings file.

use std::net::SocketAddr;

use crate::settings::{
    AgentSettings, DaemonSettings, IniReader, ListenSettings, PlatformSettings, Role,
    RouterSettings,
};

/// Sections of a settings file; `None` for a section that has findings of its own.
#[derive(Debug)]
pub(crate) struct ParsedSections<'a> {
    pub daemon: Option<&'a DaemonSettings>,
    pub listen: Option<&'a ListenSettings>,
    pub platform: Option<&'a PlatformSettings>,
    pub role: Option<&'a Role>,
}

/// Socket address in the file, with its section and key.
struct SettingAddress {
    section: &'static str,
    key: &'static str,
    socket: SocketAddr,
}

/// Runs all rules that concern more than one key and adds their findings to `reader`.
pub(crate) fn run_cross_checks(reader: &mut IniReader, sections: &ParsedSections<'_>) {
    check_addresses(reader, sections);
    match sections.role {
        Some(Role::Router(router)) => check_router(reader, sections, router),
        Some(Role::Agent(agent)) => check_agent(reader, sections, agent),
        None => {}
    }
}

/// Checks that no listen address overlaps another one or an address that the process calls.
fn check_addresses(reader: &mut IniReader, sections: &ParsedSections<'_>) {
    let mut taken: Vec<SettingAddress> = Vec::new();
    for listener in listen_addresses(sections) {
        // Port 0 selects a free port, so it can't overlap.
        if listener.socket.port() == 0 {
            continue;
        }
        if let Some(other) = taken.iter().find(|other| overlaps(other, &listener)) {
            let allowed = format!(
                "an address other than that of {}.{}",
                other.section, other.key
            );
            let given = listener.socket.to_string();
            reader.add_finding(listener.section, listener.key, &given, &allowed);
        }
        taken.push(listener);
    }
    for target in outbound_addresses(sections) {
        let Some(other) = taken.iter().find(|other| overlaps(other, &target)) else {
            continue;
        };
        let allowed = format!(
            "an address other than that of {}.{}",
            other.section, other.key
        );
        let given = target.socket.to_string();
        reader.add_finding(target.section, target.key, &given, &allowed);
    }
}

fn check_router(reader: &mut IniReader, sections: &ParsedSections<'_>, router: &RouterSettings) {
    if router.drain_lag_ms > router.drain_max_ms {
        let allowed = format!("at most drain_max_ms, {}", router.drain_max_ms);
        let given = router.drain_lag_ms.to_string();
        reader.add_finding("router", "drain_lag_ms", &given, &allowed);
    }
    // A read of the inventory's head that takes longer than the freshness bound
    // is out of date when it returns, so it can't confirm the head.
    let too_long = sections
        .platform
        .filter(|platform| platform.timeout_ms > router.freshness_max_ms);
    if let Some(platform) = too_long {
        let allowed = format!(
            "at most router.freshness_max_ms, {}",
            router.freshness_max_ms
        );
        let given = platform.timeout_ms.to_string();
        reader.add_finding("platform", "timeout_ms", &given, &allowed);
    }
}

fn check_agent(reader: &mut IniReader, sections: &ParsedSections<'_>, agent: &AgentSettings) {
    let Some(daemon) = sections.daemon else {
        return;
    };
    if daemon.group == agent.router_group {
        let given = agent.router_group.as_str();
        let allowed = "the group of the routers, not the agent's own";
        reader.add_finding("agent", "router_group", given, allowed);
    }
}

fn listen_addresses(sections: &ParsedSections<'_>) -> Vec<SettingAddress> {
    let mut found = Vec::new();
    if let Some(listen) = sections.listen {
        found.push(address("listen", "internal", listen.internal));
        found.push(address("listen", "health", listen.health));
    }
    if let Some(Role::Router(router)) = sections.role {
        found.push(address("router", "caller_api", router.caller_api));
        found.push(address("router", "admin_api", router.admin_api));
    }
    found
}

fn outbound_addresses(sections: &ParsedSections<'_>) -> Vec<SettingAddress> {
    let mut found = Vec::new();
    if let Some(platform) = sections.platform {
        found.push(address("platform", "table", platform.table));
        found.push(address("platform", "object_store", platform.object_store));
        found.push(address("platform", "vm_list", platform.vm_list));
    }
    if let Some(Role::Agent(agent)) = sections.role {
        found.push(address("agent", "endpoint", agent.endpoint));
    }
    found
}

fn address(section: &'static str, key: &'static str, socket: SocketAddr) -> SettingAddress {
    SettingAddress {
        section,
        key,
        socket,
    }
}

/// Returns whether two addresses have the same port and a common interface.
///
/// An unspecified address covers all interfaces.
fn overlaps(a: &SettingAddress, b: &SettingAddress) -> bool {
    let same_interface = a.socket.ip() == b.socket.ip()
        || a.socket.ip().is_unspecified()
        || b.socket.ip().is_unspecified();
    same_interface && a.socket.port() == b.socket.port()
}
