/// What an answer of an endpoint says of the number of requests that the endpoint takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// The answer names no limit, which ends an earlier one.
    Absent,
    /// Requests a second from all gateways together; finite and not negative.
    PerS(f64),
    /// The answer names a limit that is no such number.
    Unreadable,
}
