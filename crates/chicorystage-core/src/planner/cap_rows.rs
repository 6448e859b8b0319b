/// Cap on a model's replicas, with the versions of the rows from which it was derived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CapRows {
    /// Maximum number of replicas.
    pub cap: u32,
    /// Keys and versions of the rows that were read; the version is `None` for an absent row.
    pub versions: Vec<(String, Option<u64>)>,
}
