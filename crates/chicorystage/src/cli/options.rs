use std::path::PathBuf;

use gumdrop::Options;

/// Operates a chicorystage deployment.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Print this help.
    pub help: bool,
    /// Print the version.
    #[options(no_short)]
    pub version: bool,
    /// Settings of the tool (INI); chicorystage.ini where none is given.
    #[options(meta = "FILE")]
    pub config: Option<PathBuf>,
    /// Print JSON for programs.
    #[options(no_short)]
    pub json: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    /// Check a daemon's settings file.
    CheckSettings(FileOptions),
    /// Check an inventory or rules file by itself.
    Validate(FileOptions),
    /// Show what applying a file would change.
    Diff(FileOptions),
    /// Apply an inventory or rules file.
    Apply(ApplyOptions),
    /// Create or change one item.
    Set(SetOptions),
    /// Delete one item.
    Delete(DeleteOptions),
    /// List the items in force.
    List(ListOptions),
    /// List accepted changes and who made them.
    History(HistoryOptions),
    /// Show VMs, models, slots, queues, quarantine and each router's revision.
    Status(StatusOptions),
    /// Ask one VM's process for a graceful stop.
    Drain(DrainOptions),
    /// Show what happened to a request and why.
    Explain(ExplainOptions),
    /// Show where a request would go now and why, without sending it.
    Where(WhereOptions),
    /// List or lift quarantines.
    Quarantine(QuarantineOptions),
}

/// Checks or compares a file.
#[derive(Debug, Options)]
pub(crate) struct FileOptions {
    /// Print this help.
    pub help: bool,
    /// File to read.
    #[options(free, required)]
    pub file: PathBuf,
}

/// Applies a whole file; the difference is shown first.
#[derive(Debug, Options)]
pub(crate) struct ApplyOptions {
    /// Print this help.
    pub help: bool,
    /// File to read.
    #[options(free, required)]
    pub file: PathBuf,
    /// Apply without asking.
    pub yes: bool,
    /// Why, for the history.
    #[options(meta = "TEXT")]
    pub reason: Option<String>,
    /// Identity of the change; the same identity has its effect once.
    #[options(no_short, meta = "ID")]
    pub change_id: Option<String>,
}

/// Creates or changes one item.
#[derive(Debug, Options)]
pub(crate) struct SetOptions {
    /// Print this help.
    pub help: bool,
    /// Item, as in rule/brief.
    #[options(free, required)]
    pub item: String,
    /// Keys and values as in a file, each as KEY=VALUE.
    #[options(free)]
    pub fields: Vec<String>,
    /// Version that the item must have; 0 where it must not exist.
    #[options(meta = "REVISION")]
    pub expect: Option<u64>,
    /// Why, for the history.
    #[options(meta = "TEXT")]
    pub reason: Option<String>,
}

/// Deletes one item.
#[derive(Debug, Options)]
pub(crate) struct DeleteOptions {
    /// Print this help.
    pub help: bool,
    /// Item, as in rule/brief.
    #[options(free, required)]
    pub item: String,
    /// Version that the item must have.
    #[options(meta = "REVISION")]
    pub expect: Option<u64>,
    /// Why, for the history.
    #[options(meta = "TEXT")]
    pub reason: Option<String>,
}

/// Lists the items in force.
#[derive(Debug, Options)]
pub(crate) struct ListOptions {
    /// Print this help.
    pub help: bool,
    /// Kind of items, as in model; all where none is given.
    #[options(free)]
    pub kind: Option<String>,
    /// Print an inventory file instead of a table.
    #[options(no_short)]
    pub ini: bool,
}

/// Lists accepted changes, oldest first.
#[derive(Debug, Options)]
pub(crate) struct HistoryOptions {
    /// Print this help.
    pub help: bool,
    /// Begin after this revision; the newest changes where none is given.
    #[options(meta = "REVISION")]
    pub after: Option<u64>,
    /// Number of changes.
    #[options(meta = "COUNT")]
    pub limit: Option<u64>,
}

/// Shows the state of the deployment.
#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
    /// Print this help.
    pub help: bool,
}

/// Asks one VM's process for a graceful stop.
#[derive(Debug, Options)]
pub(crate) struct DrainOptions {
    /// Print this help.
    pub help: bool,
    /// Identity of the VM in the platform's list.
    #[options(free, required)]
    pub vm: String,
}

/// Shows what happened to a request and why.
#[derive(Debug, Options)]
pub(crate) struct ExplainOptions {
    /// Print this help.
    pub help: bool,
    /// Identity of the request: of the attempt for gateways, from X-Request-Id for routers.
    #[options(free, required)]
    pub request_id: String,
    /// Log file of a gateway, or - for standard input; may be given again.
    #[options(meta = "FILE")]
    pub logs: Vec<PathBuf>,
}

/// Shows where a request would go now and why, without sending it.
#[derive(Debug, Options)]
pub(crate) struct WhereOptions {
    /// Print this help.
    pub help: bool,
    /// Metrics address of a gateway, IP:port.
    #[options(meta = "ADDRESS", required, no_short)]
    pub gateway: String,
    /// Host that the request names.
    #[options(meta = "HOST", required, no_short)]
    pub host: String,
    /// Path of the request.
    #[options(meta = "PATH", required, no_short)]
    pub path: String,
    /// Model that the request names.
    #[options(meta = "MODEL", no_short)]
    pub model: Option<String>,
    /// Adapter of the model.
    #[options(meta = "ADAPTER", no_short)]
    pub adapter: Option<String>,
    /// Team whose request it is.
    #[options(meta = "TEAM", no_short)]
    pub team: Option<String>,
    /// Length of the prompt, in tokens.
    #[options(meta = "COUNT", no_short)]
    pub prompt_tokens: Option<u64>,
}

/// Lists or lifts quarantines.
#[derive(Debug, Options)]
pub(crate) struct QuarantineOptions {
    /// Print this help.
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<QuarantineCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum QuarantineCommand {
    /// List the digests in quarantine.
    List(StatusOptions),
    /// Lift the quarantine of one digest, or of all.
    Clear(ClearOptions),
}

/// Lifts the quarantine of one digest, or of all.
#[derive(Debug, Options)]
pub(crate) struct ClearOptions {
    /// Print this help.
    pub help: bool,
    /// Digest to lift.
    #[options(free)]
    pub digest: Option<String>,
    /// Lift all.
    #[options(no_short)]
    pub all: bool,
}
