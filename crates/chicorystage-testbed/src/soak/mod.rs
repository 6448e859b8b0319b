//! The soak: gateways as processes of their own under load and faults from outside them.
//!
//! The store and the endpoints are emulators in this process; the gateways are real daemons, by
//! default this program's own, that it starts, signals and restarts. The promises are judged from
//! what callers and endpoints see.
//!
//! The seed determines load and faults. What they meet depends on the machine's timing, so a seed
//! narrows down a failure but does not repeat it exactly.

mod budget_audit;
mod course;
mod fault;
mod gateway_process;
mod load;
mod services;

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, ensure};
use gumdrop::Options;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

pub use crate::soak::budget_audit::{BudgetAudit, BudgetBound, WindowUsage};
use crate::soak::course::Course;
use crate::soak::gateway_process::GatewayProcess;
use crate::soak::load::Load;
use crate::soak::services::Services;
use crate::users_platform::PlatformFixture;

/// Time in which gateways started at the same moment find each other, in milliseconds.
const SETTLE_MS: u64 = 2_000;
/// Time for the last requests to end, in milliseconds.
const LAST_REQUESTS_MS: u64 = 4_000;
const MS_PER_S: u64 = 1_000;

/// Options of the `soak` command.
#[derive(Clone, Debug, Options)]
pub struct SoakOptions {
    /// Print this help.
    pub help: bool,
    /// Seed of load and faults.
    #[options(no_short, default = "1")]
    pub seed: u64,
    /// Length of the load.
    #[options(no_short, default = "40")]
    pub seconds: u64,
    /// Number of gateways.
    #[options(no_short, default = "4")]
    pub gateways: usize,
    /// Order of the faults: burst, outage or random.
    #[options(no_short, default = "random")]
    pub course: String,
    /// Daemon to run instead of this program's own.
    #[options(no_short)]
    pub daemon: Option<PathBuf>,
    /// Directory for settings and logs, which is kept.
    #[options(no_short)]
    pub directory: Option<PathBuf>,
}

/// Runs the soak and prints what was counted and which promises were broken.
///
/// # Errors
///
/// Fails where a process does not start or a promise was broken.
pub async fn run(options: SoakOptions) -> anyhow::Result<()> {
    LocalSet::new().run_until(run_local(options)).await
}

async fn run_local(options: SoakOptions) -> anyhow::Result<()> {
    let length_ms = options.seconds * MS_PER_S;
    let mut rng = StdRng::seed_from_u64(options.seed);
    let course = Course::named(&options.course, length_ms, options.gateways, &mut rng)?;
    let fixture = Rc::new(PlatformFixture::start().await?);
    let services = Rc::new(Services::start(&fixture).await?);
    let directory = directory(&options)?;
    let mut gateways = Vec::new();
    for i in 0..options.gateways {
        let gateway = GatewayProcess::start(i, &options, &directory, fixture.store.address)?;
        gateways.push(gateway);
    }
    for gateway in &gateways {
        gateway.wait_until_ready().await?;
    }
    sleep(Duration::from_millis(SETTLE_MS)).await;

    let start = Instant::now();
    println!("seed {}, course {}:", options.seed, options.course);
    for step in &course.steps {
        println!("  {step}");
    }
    let load = Load::start(&gateways, &course, start, length_ms, options.seed);
    course
        .play(start, &mut gateways, &services, &fixture)
        .await?;
    sleep((start + Duration::from_millis(length_ms)).saturating_duration_since(Instant::now()))
        .await;
    sleep(Duration::from_millis(LAST_REQUESTS_MS)).await;
    let sent = load.finish();
    println!("{sent}");
    let audits = services.audits(start, &sent);
    for gateway in &mut gateways {
        gateway.stop().await?;
    }
    report(&audits)
}

/// Prints the worst window of each service.
///
/// # Errors
///
/// Fails if a window had more repeated arrivals than allowed.
fn report(audits: &[BudgetAudit]) -> anyhow::Result<()> {
    let mut broken = 0;
    for audit in audits {
        println!("{audit}");
        broken += usize::from(audit.worst.is_over());
    }
    ensure!(
        broken == 0,
        "{broken} services got more repeated arrivals than allowed"
    );
    Ok(())
}

/// Returns the directory for settings and logs, which exists afterwards.
fn directory(options: &SoakOptions) -> anyhow::Result<PathBuf> {
    let directory = options.directory.clone().unwrap_or_else(|| {
        let name = format!("chicorystage-soak-{}", std::process::id());
        std::env::temp_dir().join(name)
    });
    std::fs::create_dir_all(&directory)
        .with_context(|| format!("create {}", directory.display()))?;
    Ok(directory)
}
