//! The command line: its arguments, and one module per command or group of commands.

mod apply;
mod check_settings;
mod context;
mod edit;
mod explain;
mod history;
mod list;
mod options;
mod quarantine;
mod status;
mod where_to;

use std::process::ExitCode;

use gumdrop::Options;

use crate::ToolError;
use crate::cli::context::Context;
use crate::cli::options::{Arguments, Command};

/// Runs the tool; `arguments` are those of the command line without the program's name.
#[must_use]
pub fn run(arguments: &[String]) -> ExitCode {
    match parse(arguments) {
        Ok(Some(parsed)) => finish(execute(parsed)),
        Ok(None) => ExitCode::SUCCESS,
        Err(error) => finish(Err(error)),
    }
}

/// Parses the arguments; returns `None` if help or the version was printed.
fn parse(arguments: &[String]) -> Result<Option<Arguments>, ToolError> {
    // `--json` may stand anywhere, but the parser accepts it before the command only.
    let (json, rest): (Vec<&String>, Vec<&String>) =
        arguments.iter().partition(|argument| *argument == "--json");
    let rest: Vec<String> = rest.into_iter().cloned().collect();
    let mut parsed = Arguments::parse_args_default(&rest)
        .map_err(|error| ToolError::Usage(error.to_string()))?;
    parsed.json |= !json.is_empty();
    if parsed.version {
        println!("chicorystage {}", env!("CARGO_PKG_VERSION"));
        return Ok(None);
    }
    if parsed.help_requested() || parsed.command.is_none() {
        print_help(&parsed);
        return Ok(None);
    }
    Ok(Some(parsed))
}

fn print_help(parsed: &Arguments) {
    let mut words = vec!["chicorystage", "[--config FILE] [--json]"];
    let mut command = parsed as &dyn Options;
    while let Some(inner) = command.command() {
        words.extend(inner.command_name());
        command = inner;
    }
    println!("Usage: {}\n\n{}", words.join(" "), parsed.self_usage());
    if let Some(commands) = parsed.self_command_list() {
        println!("\nCommands:\n{commands}");
    }
}

fn execute(arguments: Arguments) -> Result<(), ToolError> {
    let Some(command) = arguments.command else {
        return Ok(());
    };
    let context = Context::new(arguments.config, arguments.json);
    match command {
        Command::CheckSettings(options) => check_settings::run(&context, &options),
        Command::Validate(options) => apply::validate(&context, &options),
        Command::Explain(options) if !options.logs.is_empty() => {
            explain::from_logs(&context, &options)
        }
        command => block_on(execute_remote(context, command)),
    }
}

async fn execute_remote(context: Context, command: Command) -> Result<(), ToolError> {
    match command {
        Command::CheckSettings(_) | Command::Validate(_) => Ok(()),
        Command::Diff(options) => apply::diff(&context, &options).await,
        Command::Apply(options) => apply::apply(&context, &options).await,
        Command::Set(options) => edit::set(&context, &options).await,
        Command::Delete(options) => edit::delete(&context, &options).await,
        Command::List(options) => list::run(&context, &options).await,
        Command::History(options) => history::run(&context, &options).await,
        Command::Status(_) => status::run(&context).await,
        Command::Drain(options) => status::drain(&context, &options).await,
        Command::Explain(options) => explain::run(&context, &options).await,
        Command::Where(options) => where_to::run(&context, &options).await,
        Command::Quarantine(options) => quarantine::run(&context, &options).await,
    }
}

fn block_on(work: impl Future<Output = Result<(), ToolError>>) -> Result<(), ToolError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| ToolError::Failed(error.to_string()))?;
    runtime.block_on(work)
}

fn finish(result: Result<(), ToolError>) -> ExitCode {
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("{error}");
    error.exit_code()
}
