use std::path::Path;

use chicorystage_api::inventory::Class;
use serde::{Deserialize, Serialize};

/// One request of a trace; a row of its CSV file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceRow {
    /// Time at which the caller sends the request, in milliseconds from the start.
    pub at_ms: u64,
    /// Router that the load balancer sends it to, as an index.
    pub router: usize,
    /// Caller, as an index into the deployment's tenants.
    pub caller: usize,
    /// Priority class of the request.
    pub class: Class,
    /// Model, as an index into the deployment's models.
    pub model: usize,
    /// Adapter, as an index below the deployment's number of adapters; `None` for the base model.
    pub adapter: Option<usize>,
    /// Time that an engine takes to serve it, in milliseconds.
    pub service_ms: u64,
    /// Time from sending to its deadline, in milliseconds.
    pub timeout_ms: u64,
}

impl TraceRow {
    /// Reads the rows of a trace from a CSV file.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be read or a row is malformed.
    pub fn read_all(path: &Path) -> anyhow::Result<Vec<Self>> {
        let mut reader = csv::Reader::from_path(path)?;
        let rows: Result<Vec<Self>, csv::Error> = reader.deserialize().collect();
        Ok(rows?)
    }

    /// Writes the rows of a trace to a CSV file.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be written.
    pub fn write_all(path: &Path, rows: &[Self]) -> anyhow::Result<()> {
        let mut writer = csv::Writer::from_path(path)?;
        for row in rows {
            writer.serialize(row)?;
        }
        writer.flush()?;
        Ok(())
    }
}
