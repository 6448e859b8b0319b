/// Reason why a request is shed instead of waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shed {
    /// The part of the capacity that is open to its class is full.
    ClassFull,
    /// Its tenant uses up its share while more than half of the capacity is in use.
    TenantOverShare,
    /// Too few bytes are left for its body.
    BytesFull,
}
