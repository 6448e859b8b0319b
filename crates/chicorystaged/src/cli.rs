//! Command line of the daemon: reads the settings, starts logging and runs the role.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use gumdrop::Options;
use log4rs::append::Append;
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};

use crate::logging::{BoundedAppender, LineEncoder};
use crate::settings::{DaemonFile, LogSettings, Role, with_overrides};
use crate::{agent, gateway, router};

/// Exit status if the settings, the log target or the command line are invalid.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit status if the daemon couldn't start or failed.
const EXIT_FAILED: u8 = 1;

/// Name of the only log appender.
const APPENDER: &str = "main";

/// Runs a gateway, a router or an agent of the chicorystage serving system.
#[derive(Debug, Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    /// Print the version.
    #[options(no_short)]
    version: bool,
    /// Settings file (INI).
    #[options(meta = "FILE")]
    config: Option<PathBuf>,
    /// Setting that the file does not have; may be given several times.
    #[options(no_short, meta = "SECTION.KEY=VALUE")]
    set: Vec<String>,
    /// Check the settings and stop.
    #[options(no_short)]
    check: bool,
}

/// Runs the daemon; `arguments` are those of the command line without the program's name.
#[must_use]
pub fn run(arguments: &[String]) -> ExitCode {
    let arguments = match Arguments::parse_args_default(arguments) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("chicorystaged: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if arguments.help {
        println!(
            "Usage: chicorystaged --config FILE [--set SECTION.KEY=VALUE] [--check]\n\n{}",
            Arguments::usage()
        );
        return ExitCode::SUCCESS;
    }
    if arguments.version {
        println!("chicorystaged {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = &arguments.config else {
        eprintln!("chicorystaged: --config FILE is required");
        return ExitCode::from(EXIT_BAD_SETTINGS);
    };
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("chicorystaged: {}: {error}", path.display());
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    let text = match with_overrides(&text, &arguments.set) {
        Ok(text) => text,
        Err(given) => {
            eprintln!("chicorystaged: --set {given}: SECTION.KEY=VALUE is allowed");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    let settings = match DaemonFile::parse(&path.display().to_string(), &text) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    run_daemon(path, settings)
}

fn run_daemon(path: &Path, settings: DaemonFile) -> ExitCode {
    if let Err(error) = init_logging(settings.log()) {
        eprintln!("chicorystaged: log: {error:#}");
        return ExitCode::from(EXIT_BAD_SETTINGS);
    }
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("chicorystaged: runtime: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let ended = runtime.block_on(async {
        match settings {
            DaemonFile::Gateway(file) => gateway::serve(path, file.gateway).await,
            DaemonFile::RouterOrAgent(settings) => match settings.role.clone() {
                Role::Router(role) => router::serve(*settings, role).await,
                Role::Agent(role) => agent::serve(*settings, role).await,
            },
        }
    });
    if let Err(error) = ended {
        eprintln!("chicorystaged: {error:#}");
        return ExitCode::from(EXIT_FAILED);
    }
    ExitCode::SUCCESS
}

fn init_logging(settings: &LogSettings) -> anyhow::Result<()> {
    let appender: Box<dyn Append> = if let Some(path) = &settings.file {
        let encoder = Box::new(LineEncoder);
        Box::new(FileAppender::builder().encoder(encoder).build(path)?)
    } else {
        Box::new(BoundedAppender::start()?)
    };
    let appender = Appender::builder().build(APPENDER, appender);
    let root = Root::builder().appender(APPENDER).build(settings.level);
    let config = Config::builder().appender(appender).build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}
