//! Which software versions of a service the store lists.

use std::collections::BTreeSet;

use chicorystage_api::name::SoftwareVersion;

/// Which of the registered versions of a service are recorded; the greatest is the worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordedVersions {
    /// All of them, as far as is known.
    All,
    /// Not all, so that streams begin at some of the endpoints only.
    SomeMissing,
    /// None, so that no stream begins at the service.
    AllMissing,
}

impl RecordedVersions {
    /// Compares the registered versions with the recorded ones.
    #[must_use]
    pub fn of(
        registered: &BTreeSet<SoftwareVersion>,
        recorded: &BTreeSet<SoftwareVersion>,
    ) -> Self {
        if registered.is_subset(recorded) {
            return Self::All;
        }
        if registered.is_disjoint(recorded) {
            return Self::AllMissing;
        }
        Self::SomeMissing
    }
}
