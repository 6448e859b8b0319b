use std::net::SocketAddr;

use chicorystage_api::finding::Finding;
use chicorystage_api::name::{VmId, ZoneName};

use crate::settings::settings_file::{ADDRESS, read_log, read_name};
use crate::settings::{IniReader, LogSettings};

/// All settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayFile {
    /// VM, addresses and limits.
    pub gateway: GatewaySettings,
    /// Where log lines go.
    pub log: LogSettings,
}

/// Settings of a gateway: sections `[daemon]`, `[gateway]`, `[orders]` and `[retries]`.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// VM of the gateway.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address that takes callers' connections.
    pub callers: SocketAddr,
    /// Address that tells the balancer whether the gateway takes connections.
    pub readiness: SocketAddr,
    /// Address that serves metrics; none without one.
    pub metrics: Option<SocketAddr>,
    /// Address of the datagrams between gateways.
    pub peers: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Share of a core that the VM has.
    pub cpu_share: f64,
    /// Longest time of a short call to the store, in milliseconds.
    pub store_timeout_ms: u64,
    /// Longest graceful stop, in milliseconds.
    pub stop_max_ms: u64,
    /// Length of the lease on orders, in milliseconds.
    pub lease_ms: u64,
    /// Whether endpoints refuse orders of old epochs.
    pub endpoints_check_epoch: bool,
    /// Window in which loads from the weight store are counted, in milliseconds.
    pub ceiling_window_ms: u64,
    /// Factor by which a window may exceed the weight store's rate.
    pub ceiling_factor: f64,
    /// Retries for each first try, over all gateways.
    pub retry_ratio: f64,
    /// Retries beyond that ratio in each window, over all gateways.
    pub retry_allowance: f64,
    /// Window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
}

impl GatewayFile {
    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns every finding, ordered by line.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let mut reader = IniReader::new(file, text);
        let _role = reader.optional::<String>("daemon", "role", "gateway");
        let gateway = read_gateway(&mut reader);
        let log = read_log(&mut reader);
        let findings = reader.finish();
        match gateway {
            Some(gateway) if findings.is_empty() => Ok(Self { gateway, log }),
            _ => Err(findings),
        }
    }
}

fn read_gateway(reader: &mut IniReader) -> Option<GatewaySettings> {
    let vm = read_name(reader, "daemon", "vm");
    let zone = read_name(reader, "daemon", "zone");
    let callers = reader.required("gateway", "callers", ADDRESS);
    let readiness = reader.required("gateway", "readiness", ADDRESS);
    let metrics = reader.optional("gateway", "metrics", ADDRESS);
    let peers = reader.required("gateway", "peers", ADDRESS);
    let store = reader.required("gateway", "store", ADDRESS);
    let cpu_share = positive(reader, "gateway", "cpu_share", 1.0);
    let store_timeout_ms = reader.number("gateway", "store_timeout_ms", 1_500, 10, 60_000);
    let stop_max_ms = seconds(reader, "gateway", "stop_max_s", 8.0);
    let lease_ms = reader.number("orders", "lease_ms", 3_000, 300, 600_000);
    let endpoints_check_epoch = flag(reader, "orders", "endpoints_check_epoch");
    let ceiling_window_ms = seconds(reader, "orders", "ceiling_window_s", 5.0);
    let ceiling_factor = positive(reader, "orders", "ceiling_factor", 1.0);
    let retry_ratio = positive(reader, "retries", "ratio", 0.1);
    let retry_allowance = positive(reader, "retries", "allowance", 20.0);
    let retry_window_ms = seconds(reader, "retries", "window_s", 10.0);
    Some(GatewaySettings {
        vm: vm?.into(),
        zone: zone?.into(),
        callers: callers?,
        readiness: readiness?,
        metrics,
        peers: peers?,
        store: store?,
        cpu_share,
        store_timeout_ms,
        stop_max_ms,
        lease_ms,
        endpoints_check_epoch,
        ceiling_window_ms,
        ceiling_factor,
        retry_ratio,
        retry_allowance,
        retry_window_ms,
    })
}

fn positive(reader: &mut IniReader, section: &str, key: &str, default: f64) -> f64 {
    let allowed = "a number of at least 0";
    let Some(given) = reader.optional::<f64>(section, key, allowed) else {
        return default;
    };
    if given.is_finite() && given >= 0.0 {
        return given;
    }
    reader.find(section, key, &given.to_string(), allowed);
    default
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float saturates when it is cast, and negative ones were refused"
)]
fn seconds(reader: &mut IniReader, section: &str, key: &str, default: f64) -> u64 {
    const MS_PER_S: f64 = 1_000.0;
    (positive(reader, section, key, default) * MS_PER_S) as u64
}

fn flag(reader: &mut IniReader, section: &str, key: &str) -> bool {
    reader
        .optional::<bool>(section, key, "true or false")
        .unwrap_or(false)
}
