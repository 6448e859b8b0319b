use chicorystage_api::finding::Finding;
use chicorystage_api::name::Digest;
use log::LevelFilter;

use crate::settings::cross_checks::{ParsedSections, run_cross_checks};
use crate::settings::{
    AgentSettings, DaemonSettings, EndpointKind, IniReader, ListenSettings, LogSettings,
    PlatformSettings, Role, RouterSettings,
};

pub(super) const ADDRESS: &str = "IP:port, as in 127.0.0.1:7000";
const NAME: &str = "1 to 128 letters, digits, '.', '_' or '-'";
const NAME_LEN_MAX: usize = 128;
const DIGEST_HEX_LEN: usize = 64;

/// All settings of a router or an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity of the daemon's VM.
    pub daemon: DaemonSettings,
    /// Addresses that the daemon listens on.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Target and level of the log.
    pub log: LogSettings,
    /// Role of the daemon, with the settings of that role.
    pub role: Role,
}

impl Settings {
    /// Parses and validates the text of the settings file named `file`.
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted by line.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let mut reader = IniReader::new(file, text);
        let daemon = read_daemon(&mut reader);
        let listen = read_listen(&mut reader);
        let platform = read_platform(&mut reader);
        let log = read_log(&mut reader);
        let role = read_role(&mut reader);
        run_cross_checks(
            &mut reader,
            &ParsedSections {
                daemon: daemon.as_ref(),
                listen: listen.as_ref(),
                platform: platform.as_ref(),
                role: role.as_ref(),
            },
        );
        let findings = reader.finish();
        match (daemon, listen, platform, role) {
            (Some(daemon), Some(listen), Some(platform), Some(role)) if findings.is_empty() => {
                Ok(Self {
                    daemon,
                    listen,
                    platform,
                    log,
                    role,
                })
            }
            _ => Err(findings),
        }
    }
}

fn read_daemon(reader: &mut IniReader) -> Option<DaemonSettings> {
    let vm = read_name(reader, "daemon", "vm");
    let zone = read_name(reader, "daemon", "zone");
    let group = read_name(reader, "daemon", "group");
    Some(DaemonSettings {
        vm: vm?.into(),
        zone: zone?.into(),
        group: group?.into(),
    })
}

pub(super) fn read_name(reader: &mut IniReader, section: &str, key: &str) -> Option<String> {
    let given = reader.required::<String>(section, key, NAME)?;
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if given.is_empty() || given.len() > NAME_LEN_MAX || !given.chars().all(allowed) {
        reader.add_finding(section, key, &given, NAME);
        return None;
    }
    Some(given)
}

fn read_listen(reader: &mut IniReader) -> Option<ListenSettings> {
    let internal = reader.required("listen", "internal", ADDRESS);
    let health = reader.required("listen", "health", ADDRESS);
    Some(ListenSettings {
        internal: internal?,
        health: health?,
    })
}

fn read_platform(reader: &mut IniReader) -> Option<PlatformSettings> {
    let table = reader.required("platform", "table", ADDRESS);
    let object_store = reader.required("platform", "object_store", ADDRESS);
    let vm_list = reader.required("platform", "vm_list", ADDRESS);
    let timeout_ms = reader.number("platform", "timeout_ms", 2_000, 10, 60_000);
    Some(PlatformSettings {
        table: table?,
        object_store: object_store?,
        vm_list: vm_list?,
        timeout_ms,
    })
}

pub(super) fn read_log(reader: &mut IniReader) -> LogSettings {
    let file = reader.optional("log", "file", "the path of a file");
    let level = reader.optional("log", "level", "off, error, warn, info, debug or trace");
    LogSettings {
        file,
        level: level.unwrap_or(LevelFilter::Info),
    }
}

fn read_role(reader: &mut IniReader) -> Option<Role> {
    let allowed = "router or agent";
    let role = reader.required::<String>("daemon", "role", allowed)?;
    match role.as_str() {
        "router" => read_router(reader).map(Role::Router),
        "agent" => read_agent(reader).map(Role::Agent),
        _ => {
            reader.add_finding("daemon", "role", &role, allowed);
            None
        }
    }
}

fn read_router(reader: &mut IniReader) -> Option<RouterSettings> {
    let caller_api = reader.required("router", "caller_api", ADDRESS);
    let admin_api = reader.required("router", "admin_api", ADDRESS);
    let root_token_sha256 = read_digest(reader, "router", "root_token_sha256");
    let freshness_max_ms = reader.number("router", "freshness_max_ms", 3_000, 1_500, 60_000);
    let drain_lag_ms = reader.number("router", "drain_lag_ms", 5_000, 0, 300_000);
    let drain_max_ms = reader.number("router", "drain_max_ms", 600_000, 0, 3_600_000);
    let waiting_max = reader.number("router", "waiting_max", 4_096, 1, 1_000_000);
    let body_bytes_held_max =
        reader.number("router", "body_bytes_held_max", 16 << 20, 1 << 10, 1 << 32);
    Some(RouterSettings {
        caller_api: caller_api?,
        admin_api: admin_api?,
        root_token_sha256: root_token_sha256?,
        freshness_max_ms,
        drain_lag_ms,
        drain_max_ms,
        waiting_max: u32::try_from(waiting_max).unwrap_or(u32::MAX),
        body_bytes_held_max,
    })
}

fn read_agent(reader: &mut IniReader) -> Option<AgentSettings> {
    let endpoint = reader.required("agent", "endpoint", ADDRESS);
    let router_group = read_name(reader, "agent", "router_group");
    let endpoint_kind = read_endpoint_kind(reader);
    let service_concurrent_max = reader.number("agent", "service_concurrent_max", 16, 1, 10_000);
    let queue_max = reader.number("agent", "queue_max", 512, 1, 1_000_000);
    let queue_bytes_max = reader.number("agent", "queue_bytes_max", 16 << 20, 1 << 10, 1 << 32);
    let order_timeout_ms = reader.number("agent", "order_timeout_ms", 120_000, 100, 3_600_000);
    let service_timeout_ms = reader.number("agent", "service_timeout_ms", 60_000, 10, 3_600_000);
    let finished_kept_ms = reader.number("agent", "finished_kept_ms", 120_000, 1_000, 86_400_000);
    let drain_max_ms = reader.number("agent", "drain_max_ms", 600_000, 0, 3_600_000);
    Some(AgentSettings {
        endpoint_kind: endpoint_kind?,
        endpoint: endpoint?,
        router_group: router_group?.into(),
        service_concurrent_max: u32::try_from(service_concurrent_max).unwrap_or(u32::MAX),
        queue_max: u32::try_from(queue_max).unwrap_or(u32::MAX),
        queue_bytes_max,
        order_timeout_ms,
        service_timeout_ms,
        finished_kept_ms,
        drain_max_ms,
    })
}

fn read_endpoint_kind(reader: &mut IniReader) -> Option<EndpointKind> {
    let allowed = "engine or service";
    let given = reader.required::<String>("agent", "endpoint_kind", allowed)?;
    match given.as_str() {
        "engine" => Some(EndpointKind::Engine),
        "service" => Some(EndpointKind::Service),
        _ => {
            reader.add_finding("agent", "endpoint_kind", &given, allowed);
            None
        }
    }
}

fn read_digest(reader: &mut IniReader, section: &str, key: &str) -> Option<Digest> {
    let allowed = "a SHA-256 digest of 64 lowercase hexadecimal digits";
    let given = reader.required::<String>(section, key, allowed)?;
    let well_formed = given.len() == DIGEST_HEX_LEN
        && given
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if !well_formed {
        reader.add_finding(section, key, "(hidden)", allowed);
        return None;
    }
    Some(Digest::from(given))
}
