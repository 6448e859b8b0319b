//! The decision of the retry budget on one failed attempt, and its fields in a log line.

use chicorystage_core::retry::{BudgetShare, BudgetUsage};

/// Whether the retry budget of a service granted a retry, and from which figures.
#[derive(Clone, Copy, Debug)]
pub struct RetryDecision {
    /// Whether the retry may be sent.
    pub is_granted: bool,
    /// What the gateway counted for the service before the decision.
    pub usage: BudgetUsage,
    /// The gateway's share of the allowance; `None` while it has none.
    pub share: Option<BudgetShare>,
}

/// Fields of a log line that tell what the budget decided and why.
///
/// All figures are zero where the budget was not asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetFields {
    /// `granted`, `denied` or `not asked`.
    pub outcome: &'static str,
    /// What the gateway counted for the service before the decision.
    pub usage: BudgetUsage,
    /// Number of gateways that share the allowance; 0 while this one has no share.
    pub gateways: usize,
}

impl BudgetFields {
    /// Returns the fields of a decision; `None` means that the budget was not asked.
    #[must_use]
    pub fn of(decision: Option<&RetryDecision>) -> Self {
        let Some(decision) = decision else {
            return Self {
                outcome: "not asked",
                usage: BudgetUsage::default(),
                gateways: 0,
            };
        };
        Self {
            outcome: if decision.is_granted {
                "granted"
            } else {
                "denied"
            },
            usage: decision.usage,
            gateways: decision.share.map_or(0, |share| share.routers),
        }
    }
}
