use chicorystage_api::inventory::Class;

/// Urgency of an order, from the most urgent attempt that waits for it.
///
/// Ordered by class, then deadline; a smaller value is more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    pub(crate) class: Class,
    /// Clock reading at which the deadline passes, in milliseconds.
    pub(crate) deadline_ms: u64,
}
