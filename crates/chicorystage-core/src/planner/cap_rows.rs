/// The largest number of replicas, with the rows that say so.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CapRows {
    /// Largest number of replicas.
    pub cap: u32,
    /// Keys and versions of the rows read; none where a row is absent.
    pub versions: Vec<(String, Option<u64>)>,
}
