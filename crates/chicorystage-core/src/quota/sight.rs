/// What a gateway knows of the others' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// There are no other gateways.
    Alone,
    /// Reports of the others arrive.
    Reports {
        /// Mean age of what is known of the others, in milliseconds.
        age_ms: u64,
    },
    /// No report has arrived for so long that this gateway may be cut off.
    Isolated {
        /// Number of gateways, this one included.
        gateways: usize,
    },
}
