/// What of the deployment decides about orders.
#[derive(Clone, Copy, Debug)]
pub struct OrderTrackerSettings {
    /// Sliding window in which load starts are counted, in milliseconds.
    pub ceiling_window_ms: u64,
    /// Factor applied to the weight store's nominal rate to get the limit of a window.
    pub ceiling_factor: f64,
    /// Whether engines refuse orders of a lower epoch than one that they have seen.
    pub endpoints_check_epoch: bool,
}
