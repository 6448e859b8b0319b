//! The command line of the test bed: parses the arguments and runs a command.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use chicorystage_borders::http::{Handler, HttpServer};
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};

use crate::fakes::{FakeEngine, FakeEngineConfig, FakeService};
use crate::standin::{EngineApi, HttpWeightStore, PlatformApi, ServiceApi};
use crate::{chaos, demo, replay, slopes, soak};

/// Exit status where the command line is wrong.
const EXIT_BAD_ARGUMENTS: u8 = 2;
/// Exit status where a command failed.
const EXIT_FAILED: u8 = 1;
/// Binary logarithm of the bytes in a GiB.
const GIB_SHIFT: u32 = 30;

/// Runs chicorystage on one machine, with emulators of all external systems.
#[derive(Debug, Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    /// Command to run.
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// Run the whole system with emulators.
    Demo(demo::DemoOptions),
    /// Run real processes under random faults and check the guarantees.
    Chaos(chaos::ChaosOptions),
    /// Run gateways as processes under load and faults, and check what endpoints see.
    Soak(soak::SoakOptions),
    /// Replay recorded traces in virtual time.
    Replay(replay::ReplayOptions),
    /// Measure what routers and agents cost at several sizes.
    Slopes(slopes::SlopesOptions),
    /// Run one emulator until SIGTERM or SIGINT.
    Standin(EmulatorOptions),
    /// Run the daemon, as `chicorystaged` does.
    Daemon(ForwardedOptions),
    /// Run the operators' tool, as `chicorystage` does.
    Tool(ForwardedOptions),
}

/// Options of one emulator.
#[derive(Debug, Options)]
struct EmulatorOptions {
    /// Print this help.
    help: bool,
    /// Emulated system: platform, engine or service.
    #[options(free)]
    kind: String,
    /// Address to listen on.
    #[options(no_short)]
    listen: Option<SocketAddr>,
    /// Platform whose weight store an engine loads from.
    #[options(no_short)]
    platform: Option<SocketAddr>,
    /// Let an engine ignore fencing tokens.
    #[options(no_short)]
    ignore_fencing: bool,
    /// Accelerator memory of an engine, in GiB.
    #[options(no_short, default = "80")]
    memory_gib: u64,
}

/// Options of `daemon` and `tool`, whose programs parse the arguments themselves.
#[derive(Debug, Options)]
struct ForwardedOptions {
    /// Print this help.
    help: bool,
}

/// Runs the command that the arguments name, and returns the exit status.
///
/// `arguments` excludes the program's name. Without a command, prints the usage.
#[must_use]
pub fn run(arguments: &[String]) -> ExitCode {
    match arguments.split_first() {
        Some((command, rest)) if command == "daemon" => return chicorystaged::cli::run(rest),
        Some((command, rest)) if command == "tool" => return chicorystage::cli::run(rest),
        _ => {}
    }
    let arguments = match Arguments::parse_args_default(arguments) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("chicorystage-testbed: {error}");
            return ExitCode::from(EXIT_BAD_ARGUMENTS);
        }
    };
    match arguments.command {
        Some(Command::Demo(options)) => block_on(demo::run(options)),
        Some(Command::Chaos(options)) => block_on(chaos::run(options)),
        Some(Command::Soak(options)) => block_on(soak::run(options)),
        Some(Command::Replay(options)) => match replay::run(&options) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(EXIT_FAILED),
            Err(error) => {
                eprintln!("chicorystage-testbed: {error:#}");
                ExitCode::from(EXIT_FAILED)
            }
        },
        Some(Command::Slopes(options)) => run_slopes(options),
        Some(Command::Standin(options)) => block_on(run_emulator(options)),
        Some(Command::Daemon(_) | Command::Tool(_)) | None => {
            println!("{}", Arguments::usage());
            println!("\n{}", Arguments::command_list().unwrap_or_default());
            ExitCode::SUCCESS
        }
    }
}

fn block_on(work: impl Future<Output = anyhow::Result<()>>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = runtime
        .map_err(anyhow::Error::from)
        .and_then(|runtime| runtime.block_on(work));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chicorystage-testbed: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run_slopes(options: slopes::SlopesOptions) -> ExitCode {
    if let Err(error) = slopes::run_link_bytes() {
        eprintln!("chicorystage-testbed: {error:#}");
        return ExitCode::from(EXIT_FAILED);
    }
    block_on(slopes::run(options))
}

async fn run_emulator(options: EmulatorOptions) -> anyhow::Result<()> {
    let handler: Arc<dyn Handler> = match options.kind.as_str() {
        "platform" => Arc::new(PlatformApi::new()),
        "engine" => Arc::new(EngineApi::new(Arc::new(fake_engine(&options)))),
        "service" => Arc::new(ServiceApi::new(Arc::new(FakeService::new(5)))),
        kind => {
            anyhow::bail!("unknown emulator {kind:?}; allowed: platform, engine or service")
        }
    };
    let address = options
        .listen
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let server = HttpServer::bind(address).await?;
    println!("{}", server.address());
    let _running = server.start(handler);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _received = terminate.recv() => {}
        _received = interrupt.recv() => {}
    }
    Ok(())
}

fn fake_engine(options: &EmulatorOptions) -> FakeEngine {
    let config = FakeEngineConfig {
        fence_enforced: !options.ignore_fencing,
        memory_total_bytes: options.memory_gib << GIB_SHIFT,
        ..FakeEngineConfig::default()
    };
    match options.platform {
        Some(platform) => {
            let weights = Arc::new(HttpWeightStore::new(platform));
            FakeEngine::with_shared(config, weights, Arc::default())
        }
        None => FakeEngine::new(config),
    }
}
