/// Limits on orders that the deployment sets.
#[derive(Clone, Copy, Debug)]
pub struct BookSettings {
    /// Window in which loads from the weight store are counted, in milliseconds.
    pub ceiling_window_ms: u64,
    /// Factor by which a window may exceed the weight store's rate.
    pub ceiling_factor: f64,
}
