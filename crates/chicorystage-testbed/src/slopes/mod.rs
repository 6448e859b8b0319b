//! Measures how the cost of routers and agents grows with the system's size.
//!
//! Each axis varies one quantity, such as the number of routers or of requests
//! per second, and measures several sizes of it. A measurement runs a
//! deployment of real daemons and small emulators on this machine. A line is
//! then fitted through the points of an axis; the command prints its slope, its
//! intercept and the largest distance of a point from it.
//!
//! Processor time comes from `/proc/PID/schedstat`, memory from
//! `/proc/PID/status`, table calls from the counters of the platform emulator.
//! Bytes between daemons are counted on the in-memory links of a harness, in
//! virtual time.

mod axis;
mod fit;
mod inventory;
mod link_bytes;
mod load;
mod measurement;
mod process_usage;

use std::path::Path;

use anyhow::bail;
use gumdrop::Options;

use crate::slopes::axis::{AXES, Axis};
use crate::slopes::fit::print_fits;

/// Options of the `slopes` command.
#[derive(Debug, Options)]
pub struct SlopesOptions {
    /// Print this help.
    help: bool,
    /// Length of one measurement, in seconds.
    #[options(no_short, default = "8")]
    seconds: u64,
    /// Axis to measure; all where none is given.
    #[options(no_short)]
    axis: Option<String>,
}

/// Measures the chosen axes and prints their points and fitted lines.
///
/// # Errors
///
/// Fails where the axis is unknown, a process does not start, or a counter
/// cannot be read.
pub async fn run(options: SlopesOptions) -> anyhow::Result<()> {
    let program = std::env::current_exe()?;
    let axes = selected_axes(options.axis.as_deref())?;
    println!("seconds of each measurement: {}\n", options.seconds);
    for axis in axes {
        run_axis(axis, &program, options.seconds).await?;
    }
    Ok(())
}

/// Counts bytes between daemons in virtual time and prints the rates.
///
/// # Errors
///
/// Fails where the runtime cannot be built.
pub fn run_link_bytes() -> anyhow::Result<()> {
    link_bytes::run()
}

fn selected_axes(name: Option<&str>) -> anyhow::Result<Vec<Axis>> {
    let Some(name) = name else {
        return Ok(AXES.to_vec());
    };
    let Some(axis) = AXES.into_iter().find(|axis| axis.name() == name) else {
        let names = AXES.map(Axis::name).join(", ");
        bail!("unknown axis {name:?}; allowed: {names}");
    };
    Ok(vec![axis])
}

async fn run_axis(axis: Axis, program: &Path, seconds: u64) -> anyhow::Result<()> {
    println!("axis: {}", axis.name());
    let mut points = Vec::new();
    for &size in axis.sizes() {
        let measured = axis.measure(program, size, seconds).await?;
        println!("  {size:>6}: {measured}");
        points.push((size, measured));
    }
    print_fits(&points);
    println!();
    Ok(())
}
