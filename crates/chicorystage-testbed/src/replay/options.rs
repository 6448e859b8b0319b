use gumdrop::Options;

/// Options of the `replay` command.
#[derive(Debug, Options)]
pub struct ReplayOptions {
    /// Print this help.
    pub help: bool,
    /// `record` writes the traces anew; otherwise they are replayed.
    #[options(free)]
    pub action: Option<String>,
    /// Replay only the traces whose name contains this.
    #[options(no_short)]
    pub trace: Option<String>,
    /// Replay only this policy; `learned` and all baselines otherwise.
    #[options(no_short)]
    pub policy: Option<String>,
    /// Compare with the stated outcomes; exit status 1 on a miss.
    #[options(no_short)]
    pub check: bool,
    /// Directory for the plots.
    #[options(no_short)]
    pub plot: Option<String>,
    /// Directory of the traces.
    #[options(no_short, default = "testdata/traces")]
    pub traces: String,
    /// Cold-start weight of the learned policy instead of the deployment's, 0 to 100.
    #[options(no_short)]
    pub weight: Option<u32>,
}
