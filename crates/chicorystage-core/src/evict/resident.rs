use chicorystage_api::name::ModelName;

/// A loaded replica with the properties that determine its eviction.
#[derive(Clone, Debug, PartialEq)]
pub struct Resident {
    /// Model of the replica.
    pub model: ModelName,
    /// Memory that it occupies including its adapters, in bytes.
    pub memory_bytes: u64,
    /// Expected duration of a reload, in milliseconds.
    pub reload_ms: u64,
    /// Probability of its use in the near future, from 0 to 1.
    pub probability_of_use: f64,
    /// Whether it runs attempts or attempts wait for it.
    pub has_work: bool,
}

impl Resident {
    /// Returns the expected reload time in milliseconds that each gibibyte of its memory saves.
    #[must_use]
    pub fn value(&self) -> f64 {
        const GIBIBYTE: f64 = 1_073_741_824.0;
        #[expect(
            clippy::cast_precision_loss,
            reason = "a ratio needs no exact operands"
        )]
        let (reload_ms, memory_bytes) = (self.reload_ms as f64, self.memory_bytes.max(1) as f64);
        reload_ms * self.probability_of_use * GIBIBYTE / memory_bytes
    }
}
