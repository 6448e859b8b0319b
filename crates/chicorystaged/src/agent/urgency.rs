use chicorystage_api::inventory::Class;

/// How urgent an order is: the highest class and earliest deadline that wait for it.
///
/// The more urgent one is the smaller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    pub(crate) class: Class,
    /// Reading of the clock at which the deadline passes.
    pub(crate) deadline_ms: u64,
}
