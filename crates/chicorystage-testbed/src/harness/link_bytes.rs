use std::collections::BTreeMap;

/// Control traffic between the processes of a harness so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkBytes {
    /// Calls by method.
    pub calls_by_method: BTreeMap<String, u64>,
    /// Bytes of the bodies of all control requests and responses.
    pub control_bytes: u64,
}

impl LinkBytes {
    /// Returns what came after an earlier count.
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
