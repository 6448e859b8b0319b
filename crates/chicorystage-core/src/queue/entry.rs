use chicorystage_api::inventory::Class;
use chicorystage_api::name::CallerName;

/// One attempt that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Priority class.
    pub class: Class,
    /// Caller who sent it.
    pub caller: CallerName,
    /// Weight of the caller's share.
    pub weight: u32,
    /// Reading of the clock at which its deadline passes.
    pub deadline_ms: u64,
    /// Reading of the clock at which it began to wait.
    pub queued_ms: u64,
    /// Memory that it takes while it waits, in bytes.
    pub bytes: u64,
    /// Whether it must run alone.
    pub suspect: bool,
    /// The attempt.
    pub item: T,
}
