/// Behaviour of an emulated endpoint for one request.
///
/// The emulator executes nothing and only records the request. "Runs the request"
/// means that a real endpoint would have executed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Runs the request and sends a complete response.
    Complete {
        /// Status code of the response.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// Runs the request and sends a complete response with status 200 after a while.
    Late {
        /// Time from the request to the response, in milliseconds.
        delay_ms: u64,
        /// Body of the response.
        body: String,
    },
    /// Answers 503 with the header `not-executed: 1`, which states that the request did not run.
    NotExecuted,
    /// Runs the request and closes the connection without a response.
    Disconnect,
    /// Runs the request, keeps the connection open and never responds.
    Silent,
    /// Responds with status 200 and the id of another attempt.
    WrongAttempt,
    /// Responds with an event stream; each event carries its number.
    Events {
        /// Number of the first event.
        first: u32,
        /// Number of the last event.
        last: u32,
        /// Pause before each event, in milliseconds.
        pause_ms: u64,
    },
    /// Responds with an event stream that breaks within the event after `last`.
    BrokenEvents {
        /// Number of the first event.
        first: u32,
        /// Number of the last complete event.
        last: u32,
        /// Pause before each event, in milliseconds.
        pause_ms: u64,
    },
}
