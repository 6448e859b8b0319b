use derive_more::Display;

/// An engine's reply to an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine has accepted the order and carries it out.
    #[display("accepted")]
    Accepted,
    /// The engine is already in the requested state, or reached it at once.
    #[display("holds")]
    Holds,
    /// Another order is in progress, or the engine's count of accepted orders differs.
    #[display("conflict")]
    Conflict,
    /// Another router has sent orders under a higher epoch.
    #[display("fenced")]
    Fenced,
    /// The engine cannot carry out such an order, or another engine answers at the address.
    #[display("rejected")]
    Rejected,
    /// The outcome is unknown: the engine may have accepted the order or may still accept it.
    #[display("unknown")]
    Unknown,
}
