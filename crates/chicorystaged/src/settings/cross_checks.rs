//! Checks that concern more than one key.

use std::net::SocketAddr;

use crate::settings::{
    AgentSettings, DaemonSettings, IniReader, ListenSettings, PlatformSettings, Role,
    RouterSettings,
};

/// The parts of a settings file that could be read.
#[derive(Debug)]
pub(crate) struct Parts<'a> {
    pub daemon: Option<&'a DaemonSettings>,
    pub listen: Option<&'a ListenSettings>,
    pub platform: Option<&'a PlatformSettings>,
    pub role: Option<&'a Role>,
}

/// One address of the file.
struct Address {
    section: &'static str,
    key: &'static str,
    socket: SocketAddr,
}

/// Adds the findings that concern more than one key.
pub(crate) fn check_across(reader: &mut IniReader, parts: &Parts<'_>) {
    check_addresses(reader, parts);
    match parts.role {
        Some(Role::Router(router)) => check_router(reader, parts, router),
        Some(Role::Agent(agent)) => check_agent(reader, parts, agent),
        None => {}
    }
}

/// A listener needs an address of its own, also beside what the process calls.
fn check_addresses(reader: &mut IniReader, parts: &Parts<'_>) {
    let mut taken: Vec<Address> = Vec::new();
    for listener in listeners(parts) {
        // Port 0 takes any free port.
        if listener.socket.port() == 0 {
            continue;
        }
        if let Some(other) = taken.iter().find(|other| overlap(other, &listener)) {
            let allowed = format!(
                "an address other than that of {}.{}",
                other.section, other.key
            );
            let given = listener.socket.to_string();
            reader.find(listener.section, listener.key, &given, &allowed);
        }
        taken.push(listener);
    }
    for called in called(parts) {
        let Some(other) = taken.iter().find(|other| overlap(other, &called)) else {
            continue;
        };
        let allowed = format!(
            "an address other than that of {}.{}",
            other.section, other.key
        );
        let given = called.socket.to_string();
        reader.find(called.section, called.key, &given, &allowed);
    }
}

fn check_router(reader: &mut IniReader, parts: &Parts<'_>, router: &RouterSettings) {
    if router.drain_lag_ms > router.drain_max_ms {
        let allowed = format!("at most drain_max_ms, {}", router.drain_max_ms);
        let given = router.drain_lag_ms.to_string();
        reader.find("router", "drain_lag_ms", &given, &allowed);
    }
    // A read of the head that takes longer than the bound confirms nothing.
    let too_long = parts
        .platform
        .filter(|platform| platform.timeout_ms > router.freshness_max_ms);
    if let Some(platform) = too_long {
        let allowed = format!(
            "at most router.freshness_max_ms, {}",
            router.freshness_max_ms
        );
        let given = platform.timeout_ms.to_string();
        reader.find("platform", "timeout_ms", &given, &allowed);
    }
}

fn check_agent(reader: &mut IniReader, parts: &Parts<'_>, agent: &AgentSettings) {
    let Some(daemon) = parts.daemon else {
        return;
    };
    if daemon.group == agent.router_group {
        let given = agent.router_group.as_str();
        let allowed = "the group of the routers, not the agent's own";
        reader.find("agent", "router_group", given, allowed);
    }
}

fn listeners(parts: &Parts<'_>) -> Vec<Address> {
    let mut found = Vec::new();
    if let Some(listen) = parts.listen {
        found.push(address("listen", "internal", listen.internal));
        found.push(address("listen", "health", listen.health));
    }
    if let Some(Role::Router(router)) = parts.role {
        found.push(address("router", "caller_api", router.caller_api));
        found.push(address("router", "admin_api", router.admin_api));
    }
    found
}

fn called(parts: &Parts<'_>) -> Vec<Address> {
    let mut found = Vec::new();
    if let Some(platform) = parts.platform {
        found.push(address("platform", "table", platform.table));
        found.push(address("platform", "object_store", platform.object_store));
        found.push(address("platform", "vm_list", platform.vm_list));
    }
    if let Some(Role::Agent(agent)) = parts.role {
        found.push(address("agent", "endpoint", agent.endpoint));
    }
    found
}

fn address(section: &'static str, key: &'static str, socket: SocketAddr) -> Address {
    Address {
        section,
        key,
        socket,
    }
}

/// Whether two addresses share a port on one interface, or on all.
fn overlap(a: &Address, b: &Address) -> bool {
    let same_interface = a.socket.ip() == b.socket.ip()
        || a.socket.ip().is_unspecified()
        || b.socket.ip().is_unspecified();
    same_interface && a.socket.port() == b.socket.port()
}
