use std::net::SocketAddr;

use chicorystage_api::finding::Finding;
use chicorystage_api::name::{VmId, ZoneName};
use chicorystage_core::quota::QuotaTerms;

use crate::settings::settings_file::{ADDRESS, read_log, read_name};
use crate::settings::{IniReader, LogSettings};

/// All sections of a gateway's settings file.
#[derive(Clone, Debug)]
pub struct GatewayFile {
    /// Identity, addresses and limits of the gateway.
    pub gateway: GatewaySettings,
    /// Target and level of the log.
    pub log: LogSettings,
}

/// Settings of a gateway: sections `[daemon]`, `[gateway]`, `[orders]`, `[teams]` and
/// `[retries]`.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Identity of the gateway's VM in the platform's list.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address that accepts callers' connections.
    pub callers: SocketAddr,
    /// Address of the readiness check, which fails while no new connections should arrive.
    pub readiness: SocketAddr,
    /// Address that serves metrics; `None` disables them.
    pub metrics: Option<SocketAddr>,
    /// Address for datagrams from other gateways.
    pub peers: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Share of a CPU core that the VM has; a small one delays its acquisition of a free lease.
    pub cpu_share: f64,
    /// Longest duration of a call to the store that does not wait for changes, in milliseconds.
    pub store_timeout_ms: u64,
    /// Interval at which endpoints renew their registry entries, in milliseconds.
    pub heartbeat_ms: u64,
    /// Longest duration of a graceful stop, in milliseconds.
    pub stop_max_ms: u64,
    /// Memory that the bodies of all requests may take together, in bytes; a quarter is left to short ones.
    pub body_memory_bytes: usize,
    /// Duration of the lease whose holder alone sends orders to engines, in milliseconds.
    pub lease_ms: u64,
    /// Whether endpoints refuse orders whose lease epoch is out of date.
    pub endpoints_check_epoch: bool,
    /// Length of the window over which loads from the weight store are limited, in milliseconds.
    pub ceiling_window_ms: u64,
    /// Factor applied to the weight store's nominal rate to get the limit of a window.
    pub ceiling_factor: f64,
    /// Longest time for which a withdrawn API key may still be accepted, in milliseconds; `None` if keys
    /// are accepted however old the configuration may be.
    pub revoke_max_ms: Option<u64>,
    /// When quotas of teams count as kept.
    pub quota_terms: QuotaTerms,
    /// Retries allowed per first attempt, over all gateways.
    pub retry_ratio: f64,
    /// Retries allowed in each window beyond `retry_ratio`, over all gateways.
    pub retry_allowance: f64,
    /// Length of the retry budget's window, in milliseconds.
    pub retry_window_ms: u64,
}

impl GatewayFile {
    /// Parses and validates the text of the settings file named `file`.
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted by line.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let mut reader = IniReader::new(file, text);
        // `DaemonFile::parse` evaluates the key; reading it here only marks it as known.
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
    let cpu_share = read_non_negative(reader, "gateway", "cpu_share", 1.0);
    let store_timeout_ms = reader.number("gateway", "store_timeout_ms", 1_500, 10, 60_000);
    let heartbeat_ms = reader.number("gateway", "heartbeat_ms", 1_200, 10, 600_000);
    let stop_max_ms = read_seconds(reader, "gateway", "stop_max_s", 8.0);
    let body_memory_mb = reader.number("gateway", "body_memory_mb", 64, 1, 65_536);
    let lease_ms = reader.number("orders", "lease_ms", 3_000, 300, 600_000);
    let endpoints_check_epoch = read_flag(reader, "orders", "endpoints_check_epoch");
    let ceiling_window_ms = read_seconds(reader, "orders", "ceiling_window_s", 5.0);
    let ceiling_factor = read_non_negative(reader, "orders", "ceiling_factor", 1.0);
    let revoke_max_ms = reader.number("teams", "revoke_max_ms", 5_000, 500, 600_000);
    let fails_closed = reader
        .optional::<bool>("teams", "fail_closed", "true or false")
        .unwrap_or(true);
    let quota_terms = QuotaTerms {
        window_ms: read_seconds(reader, "teams", "quota_window_s", 1.0),
        tolerance: read_non_negative(reader, "teams", "quota_tolerance", 0.0),
        allowance: read_non_negative(reader, "teams", "quota_allowance", 0.0),
    };
    let retry_ratio = read_non_negative(reader, "retries", "ratio", 0.1);
    let retry_allowance = read_non_negative(reader, "retries", "allowance", 20.0);
    let retry_window_ms = read_seconds(reader, "retries", "window_s", 10.0);
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
        heartbeat_ms,
        stop_max_ms,
        body_memory_bytes: usize::try_from(body_memory_mb << 20).unwrap_or(usize::MAX),
        lease_ms,
        endpoints_check_epoch,
        ceiling_window_ms,
        ceiling_factor,
        revoke_max_ms: fails_closed.then_some(revoke_max_ms),
        quota_terms,
        retry_ratio,
        retry_allowance,
        retry_window_ms,
    })
}

/// Reads a finite number of at least 0; returns the default if the key is absent.
///
/// An invalid number adds a finding and also returns the default.
fn read_non_negative(reader: &mut IniReader, section: &str, key: &str, default: f64) -> f64 {
    let allowed = "a number of at least 0";
    let Some(given) = reader.optional::<f64>(section, key, allowed) else {
        return default;
    };
    if given.is_finite() && given >= 0.0 {
        return given;
    }
    reader.add_finding(section, key, &given.to_string(), allowed);
    default
}

/// Reads a number of seconds and returns it in milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float saturates when it is cast, and negative values were rejected"
)]
fn read_seconds(reader: &mut IniReader, section: &str, key: &str, default: f64) -> u64 {
    const MS_PER_S: f64 = 1_000.0;
    (read_non_negative(reader, section, key, default) * MS_PER_S) as u64
}

fn read_flag(reader: &mut IniReader, section: &str, key: &str) -> bool {
    reader
        .optional::<bool>(section, key, "true or false")
        .unwrap_or(false)
}
