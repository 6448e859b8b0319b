use anyhow::Context;

const NS_PER_US: u64 = 1_000;

/// Processor time and memory of one process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProcessUsage {
    pub(super) cpu_us: u64,
    pub(super) resident_kib: u64,
}

impl ProcessUsage {
    /// Reads the processor time used so far and the present memory of a process.
    ///
    /// `/proc/PID/schedstat` covers the main thread only, which is all of a
    /// daemon: it has one thread.
    pub(super) fn read(pid: u32) -> anyhow::Result<Self> {
        let scheduled = std::fs::read_to_string(format!("/proc/{pid}/schedstat"))?;
        let cpu_ns: u64 = scheduled
            .split_whitespace()
            .next()
            .context("schedstat is empty")?
            .parse()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next())
            .context("status has no VmRSS")?;
        Ok(Self {
            cpu_us: cpu_ns / NS_PER_US,
            resident_kib: resident.parse()?,
        })
    }
}
