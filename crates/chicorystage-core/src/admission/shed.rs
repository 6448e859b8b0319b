/// Why a request may not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shed {
    /// The part of the room that its class may fill is full.
    ClassFull,
    /// Its tenant has its share of a room that is more than half full.
    TenantOverShare,
    /// No bytes are left for its body.
    BytesFull,
}
