use chicorystage_api::inventory::Class;
use chicorystage_api::name::CallerName;

/// An attempt in the queue, with the properties that determine its order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Priority class.
    pub class: Class,
    /// Caller that sent the request.
    pub caller: CallerName,
    /// Weight of the caller in the fair sharing of capacity.
    pub weight: u32,
    /// Time at which the deadline passes, in milliseconds.
    pub deadline_ms: u64,
    /// Time at which it was queued, in milliseconds.
    pub queued_ms: u64,
    /// Memory that it occupies in the queue, in bytes.
    pub bytes: u64,
    /// Whether it must run alone because similar requests may have crashed endpoints.
    pub suspect: bool,
    /// The attempt itself, which the queue does not inspect.
    pub item: T,
}
