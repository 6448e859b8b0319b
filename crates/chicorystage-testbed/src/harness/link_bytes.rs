use std::collections::BTreeMap;

/// Counters of the control traffic between the processes of a harness.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkBytes {
    /// Number of calls by method name.
    pub calls_by_method: BTreeMap<String, u64>,
    /// Total size of the bodies of all control requests and responses, in bytes.
    pub control_bytes: u64,
}

impl LinkBytes {
    /// Returns the traffic since an earlier snapshot of the same counters.
    ///
    /// # Panics
    ///
    /// May panic on overflow if `earlier` is not an earlier snapshot.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let calls = self.calls_by_method.iter().map(|(method, calls)| {
            let before = earlier.calls_by_method.get(method).copied().unwrap_or(0);
            (method.clone(), calls - before)
        });
        Self {
            calls_by_method: calls.collect(),
            control_bytes: self.control_bytes - earlier.control_bytes,
        }
    }
}
