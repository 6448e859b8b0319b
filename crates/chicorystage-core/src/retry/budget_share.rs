use crate::retry::Predecessor;

/// What decides which part of a shared allowance belongs to one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetShare {
    /// Number of routers that share the allowance, this one included; 0 counts as 1.
    pub routers: usize,
    /// Earlier process on this router's VM.
    pub predecessor: Predecessor,
}
