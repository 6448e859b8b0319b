//! The soak: gateways as processes of their own under load and faults from outside them.
//!
//! The store and the endpoints are emulators in this process; the gateways are real daemons, by
//! default this program's own, that it starts, signals and restarts. The promises are judged from
//! what callers and endpoints see.
//!
//! The seed determines load and faults. What they meet depends on the machine's timing, so a seed
//! narrows down a failure but does not repeat it exactly.

mod budget_audit;
mod fault;
mod gateway_process;
mod load;
mod scenario;
mod services;

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, ensure};
use gumdrop::Options;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

pub use crate::soak::budget_audit::{BudgetAudit, BudgetBound, WindowUsage};
pub use crate::soak::gateway_process::GatewayProcess;
use crate::soak::load::Load;
use crate::soak::scenario::Scenario;
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
    help: bool,
    /// Seed of load and faults.
    #[options(no_short, default = "1")]
    seed: u64,
    /// Length of the load.
    #[options(no_short, default = "40")]
    seconds: u64,
    /// Number of gateways.
    #[options(no_short, default = "4")]
    gateways: usize,
    /// Faults and load: burst, edge, outage, pause or random.
    #[options(no_short, default = "random")]
    scenario: String,
    /// Daemon to run instead of this program's own.
    #[options(no_short)]
    daemon: Option<PathBuf>,
    /// Directory for settings and logs, which is kept.
    #[options(no_short)]
    directory: Option<PathBuf>,
}

/// What a soak runs.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Program of the gateways.
    pub program: PathBuf,
    /// Arguments that precede those of the daemon.
    pub arguments: Vec<OsString>,
    /// Number of gateways.
    pub gateways: usize,
    /// Seed of load and faults.
    pub seed: u64,
    /// Length of the load in milliseconds.
    pub length_ms: u64,
    /// Name of the scenario: burst, edge, outage, pause or random.
    pub scenario: String,
    /// Directory for settings and logs, which must exist.
    pub directory: PathBuf,
}

/// Runs the soak and prints what was counted and which promises were broken.
///
/// # Errors
///
/// Fails where a process does not start or a promise was broken.
pub async fn run(options: SoakOptions) -> anyhow::Result<()> {
    let directory = directory(&options)?;
    let (program, arguments) = match options.daemon {
        Some(daemon) => (daemon, Vec::new()),
        None => (std::env::current_exe()?, vec![OsString::from("daemon")]),
    };
    let audits = play(SoakPlan {
        program,
        arguments,
        gateways: options.gateways,
        seed: options.seed,
        length_ms: options.seconds * MS_PER_S,
        scenario: options.scenario,
        directory,
    })
    .await?;
    report(&audits)
}

/// Plays one run and returns what each service received.
///
/// # Errors
///
/// Fails where a process does not start or cannot be signalled.
pub async fn play(plan: SoakPlan) -> anyhow::Result<Vec<BudgetAudit>> {
    LocalSet::new().run_until(play_local(&plan)).await
}

async fn play_local(plan: &SoakPlan) -> anyhow::Result<Vec<BudgetAudit>> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let scenario = Scenario::named(&plan.scenario, plan.length_ms, plan.gateways, &mut rng)?;
    let fixture = PlatformFixture::start().await?;
    let services = Services::start(&fixture).await?;
    let mut gateways = start_gateways(plan, &fixture).await?;

    println!("seed {}, scenario {}:", plan.seed, plan.scenario);
    for step in &scenario.steps {
        println!("  {step}");
    }
    let start = Instant::now();
    let load = Load::start(&gateways, &scenario, start, plan);
    scenario
        .play(start, &mut gateways, &services, &fixture)
        .await?;
    sleep_until(start + Duration::from_millis(plan.length_ms + LAST_REQUESTS_MS)).await;
    let sent = load.finish();
    println!("{sent}");
    let audits = services.audits(start, &sent);
    for gateway in &mut gateways {
        gateway.stop().await?;
    }
    Ok(audits)
}

/// Starts the gateways and waits until they are ready and know each other.
async fn start_gateways(
    plan: &SoakPlan,
    fixture: &PlatformFixture,
) -> anyhow::Result<Vec<GatewayProcess>> {
    let mut gateways = Vec::new();
    for i in 0..plan.gateways {
        gateways.push(GatewayProcess::start(i, plan, fixture.store.address)?);
    }
    for gateway in &gateways {
        gateway.wait_until_ready().await?;
    }
    sleep(Duration::from_millis(SETTLE_MS)).await;
    Ok(gateways)
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
