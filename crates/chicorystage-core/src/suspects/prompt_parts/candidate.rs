use derive_more::Display;

use crate::suspects::prompt_parts::ServicePart;

/// A suspected prompt part with what speaks for it as the cause of crashes.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{} crashes={crashes} begun={begun_crashes} in_a_row={in_a_row} begun_in_a_row={begun_in_a_row}", part.part)]
pub struct Candidate {
    /// The part.
    pub part: ServicePart,
    /// Number of crashes with the part that no quarantined part explains.
    pub crashes: u32,
    /// Number of those during answers that had begun.
    pub begun_crashes: u32,
    /// Number of crashes whose attempt began after the one counted before.
    pub in_a_row: u32,
    /// The same, during answers that had begun.
    pub begun_in_a_row: u32,
}
