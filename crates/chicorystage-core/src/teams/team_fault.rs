use derive_more::Display;

/// What is wrong with the declaration of a team, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamFault {
    /// Number of the team in the list, from 0.
    pub team: usize,
    /// Number of the key in the team's list, from 0; `None` if it is no fault of a key.
    pub key: Option<usize>,
    /// What is wrong.
    pub kind: TeamFaultKind,
}

/// A fault in the declaration of a team.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum TeamFaultKind {
    /// The name is empty or cannot be sent in a header.
    #[display("name {_0:?}: one or more visible ASCII characters are allowed")]
    Name(String),
    /// Another team has the name.
    #[display("name {_0:?}: team {_1} has it too")]
    SameName(String, usize),
    /// The key is empty.
    #[display("key is empty")]
    EmptyKey,
    /// Another team has the key, which is not shown.
    #[display("team {_0} has the same key")]
    SharedKey(usize),
    /// The priority is out of range.
    #[display("priority {_0}: a whole number from 0 to 255 is allowed")]
    Priority(f64),
    /// The rate is negative or no number.
    #[display("rate {_0}: a number of at least 0 is allowed")]
    Rate(f64),
    /// The burst is negative or no number.
    #[display("burst {_0}: a number of at least 0 is allowed")]
    Burst(f64),
    /// The cost of a request without a count is negative or no number.
    #[display("tokens of a plain request {_0}: a number of at least 0 is allowed")]
    PlainTokens(f64),
}
