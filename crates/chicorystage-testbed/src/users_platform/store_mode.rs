/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// As its page says.
    #[default]
    Serving,
    /// It refuses every call.
    Busy,
    /// It answers nothing; calls that it swallowed are never answered.
    Silent,
    /// It does what it is asked and answers nothing.
    LosingAnswers,
}
