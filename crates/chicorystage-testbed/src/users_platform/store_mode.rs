/// Fault mode of the store emulator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Processes calls as the platform documents.
    #[default]
    Serving,
    /// Refuses every call with status 503.
    Busy,
    /// Refuses every write with status 503.
    ReadOnly,
    /// Leaves calls without a response, even after the mode changes.
    ///
    /// Calls that arrive in this mode are not processed.
    Silent,
    /// Processes calls and closes the connection without a response.
    LosingResponses,
}
