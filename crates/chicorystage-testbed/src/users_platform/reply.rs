/// What an endpoint does with one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It runs the request and answers whole.
    Whole {
        /// Status.
        status: u16,
        /// Body.
        body: String,
    },
    /// It does not run the request and says so.
    NotRun,
    /// It runs the request and closes the connection without an answer.
    Lost,
    /// It runs the request and never answers.
    Silent,
    /// It answers under the id of another attempt.
    Foreign,
    /// It answers with events, each of which carries its number.
    Events {
        /// Number of the first event.
        first: u32,
        /// Number of the last event.
        last: u32,
        /// Pause before each event, in milliseconds.
        pause_ms: u64,
    },
    /// It answers with events and breaks off in the middle of the one after `last`.
    BrokenEvents {
        /// Number of the first event.
        first: u32,
        /// Number of the last whole event.
        last: u32,
    },
}
