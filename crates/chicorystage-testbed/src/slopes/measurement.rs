use std::fmt;

use crate::deployment::{Deployment, Node};
use crate::fakes::TableCalls;
use crate::slopes::process_usage::ProcessUsage;

/// Names of the quantities, in the order of [`Measurement::values`].
pub(super) const QUANTITIES: [&str; 8] = [
    "router cpu us/s",
    "router rss KiB",
    "agent cpu us/s",
    "agent rss KiB",
    "table reads/1000s",
    "table commits/1000s",
    "table rows written/1000s",
    "table bytes/s",
];

/// Factor of rates that may be below one per second, as they are kept as integers.
const MILLI: u64 = 1_000;

/// Resources that one deployment used in one measurement.
///
/// Processor time and memory are means over the daemons of a role; table
/// calls are totals of the whole deployment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Measurement {
    pub(super) values: [u64; QUANTITIES.len()],
}

/// The counters of all daemons and of the table at one moment.
#[derive(Debug)]
pub(super) struct CounterSnapshot {
    routers: Vec<ProcessUsage>,
    agents: Vec<ProcessUsage>,
    table: TableCalls,
}

impl CounterSnapshot {
    pub(super) async fn read(deployment: &Deployment) -> anyhow::Result<Self> {
        let table = deployment
            .read_control(deployment.platform, "/control/table/calls")
            .await?;
        Ok(Self {
            routers: usages(&deployment.routers)?,
            agents: usages(&deployment.agents)?,
            table,
        })
    }

    /// Returns what was used between an earlier snapshot and this one, `seconds` apart.
    pub(super) fn since(&self, earlier: &Self, seconds: u64) -> Measurement {
        let table = |now: u64, before: u64| (now - before) * MILLI / seconds;
        Measurement {
            values: [
                cpu_us_per_s(&earlier.routers, &self.routers, seconds),
                resident_kib(&self.routers),
                cpu_us_per_s(&earlier.agents, &self.agents, seconds),
                resident_kib(&self.agents),
                table(self.table.reads, earlier.table.reads),
                table(self.table.commits, earlier.table.commits),
                table(self.table.rows_written, earlier.table.rows_written),
                table(self.table.moved_bytes, earlier.table.moved_bytes) / MILLI,
            ],
        }
    }
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, value) in QUANTITIES.iter().zip(self.values) {
            write!(f, "{name} {value}; ")?;
        }
        Ok(())
    }
}

fn usages(nodes: &[Node]) -> anyhow::Result<Vec<ProcessUsage>> {
    let pids = nodes.iter().filter_map(|node| node.process.pid());
    pids.map(ProcessUsage::read).collect()
}

fn cpu_us_per_s(earlier: &[ProcessUsage], now: &[ProcessUsage], seconds: u64) -> u64 {
    let used = now.iter().zip(earlier);
    let used: u64 = used.map(|(now, earlier)| now.cpu_us - earlier.cpu_us).sum();
    used / seconds / (now.len() as u64).max(1)
}

fn resident_kib(usages: &[ProcessUsage]) -> u64 {
    let resident: u64 = usages.iter().map(|usage| usage.resident_kib).sum();
    resident / (usages.len() as u64).max(1)
}
