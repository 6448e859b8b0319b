use derive_more::Display;

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OrderReply {
    /// The order is being carried out.
    #[display("accepted")]
    Accepted,
    /// The engine is already as the order wants it.
    #[display("holds")]
    Holds,
    /// Another order is under way, or the count of accepted orders differs.
    #[display("conflict")]
    Conflict,
    /// Another router has given orders under a higher epoch.
    #[display("fenced")]
    Fenced,
    /// The engine cannot carry out such an order, or is another one.
    #[display("rejected")]
    Rejected,
    /// Nothing is known: the order may have been accepted or may be so later.
    #[display("unknown")]
    Unknown,
}
