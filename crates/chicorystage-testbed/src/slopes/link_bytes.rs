use std::time::Duration;

use tokio::time::sleep;

use crate::harness::{Harness, HarnessConfig, LinkBytes};

/// Length of one measurement in virtual time, in seconds.
const MEASUREMENT_S: u64 = 60;
/// Time for the daemons to become idle after their start, in seconds.
const SETTLE_S: u64 = 10;
const ROUTERS: [usize; 3] = [3, 10, 30];
const ENGINES: [usize; 3] = [3, 30, 100];

/// Counts control messages and bytes of idle systems of several sizes and prints the rates.
pub(super) fn run() -> anyhow::Result<()> {
    println!("control between daemons at rest, in virtual time, bodies only:");
    for routers in ROUTERS {
        print_rates(routers, ENGINES[0])?;
    }
    for engines in ENGINES {
        print_rates(ROUTERS[0], engines)?;
    }
    Ok(())
}

fn print_rates(routers: usize, engines: usize) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?;
    let counted = runtime.block_on(count_link_bytes(routers, engines));
    let total = counted.calls_by_method.values().sum::<u64>();
    println!(
        "  routers {routers:>3}, agents {engines:>3}: {} calls/s x 1000, {} bytes/s",
        total * 1_000 / MEASUREMENT_S,
        counted.control_bytes / MEASUREMENT_S
    );
    for (method, calls) in &counted.calls_by_method {
        println!(
            "      {method:<28} {} calls/s x 1000",
            calls * 1_000 / MEASUREMENT_S
        );
    }
    Ok(())
}

async fn count_link_bytes(routers: usize, engines: usize) -> LinkBytes {
    let config = HarnessConfig {
        routers,
        engines,
        services: 0,
        ..HarnessConfig::default()
    };
    let harness = Harness::start(config, "colmena-llm", "libro-socios");
    sleep(Duration::from_secs(SETTLE_S)).await;
    let before = harness.network.bytes();
    sleep(Duration::from_secs(MEASUREMENT_S)).await;
    harness.network.bytes().since(&before)
}
