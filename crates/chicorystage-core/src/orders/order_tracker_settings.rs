/// The deployment's limit on loads from the weight store.
#[derive(Clone, Copy, Debug)]
pub struct OrderTrackerSettings {
    /// Sliding window in which load starts are counted, in milliseconds.
    pub ceiling_window_ms: u64,
    /// Factor applied to the weight store's nominal rate to get the limit of a window.
    pub ceiling_factor: f64,
}
