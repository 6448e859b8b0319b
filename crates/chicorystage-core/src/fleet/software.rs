//! Software versions of endpoints: which ones serve, and which ones may be used.
//!
//! A stream that may be taken up again begins only at an endpoint whose version is recorded, so that the
//! record names each version that can have begun a stream.

use std::collections::{BTreeSet, HashMap};

use chicorystage_api::name::{ServiceName, SoftwareVersion};

use crate::fleet::{EndpointEntry, FleetView};

impl FleetView {
    /// Returns whether a ready endpoint of a service runs this software version.
    #[must_use]
    pub fn has_software(&self, service: &ServiceName, software: &SoftwareVersion) -> bool {
        self.endpoints.values().any(|endpoint| {
            endpoint.accepts_requests()
                && endpoint.entry.service == *service
                && endpoint.entry.software.as_ref() == Some(software)
        })
    }

    /// Returns the software versions that registered endpoints of a service state.
    #[must_use]
    pub fn software_versions(&self, service: &ServiceName) -> BTreeSet<SoftwareVersion> {
        let endpoints = self.endpoints.values();
        let of_service = endpoints.filter(|endpoint| endpoint.entry.service == *service);
        of_service
            .filter_map(|endpoint| endpoint.entry.software.clone())
            .collect()
    }

    /// Lets streams that may be resumed begin only at the endpoints of a service that state one of these
    /// software versions, or none.
    pub fn record_software(&mut self, service: ServiceName, versions: BTreeSet<SoftwareVersion>) {
        if self.recorded_software.get(&service) == Some(&versions) {
            return;
        }
        self.recorded_software.insert(service, versions);
        let recorded = &self.recorded_software;
        for endpoint in self.endpoints.values_mut() {
            let is_recorded = is_software_recorded(recorded, &endpoint.entry);
            endpoint.set_software_recorded(is_recorded);
        }
    }

    pub(super) fn is_software_recorded(&self, entry: &EndpointEntry) -> bool {
        is_software_recorded(&self.recorded_software, entry)
    }
}

/// Returns whether the software version of an entry is among those recorded for its service; a service
/// without a record needs none.
fn is_software_recorded(
    recorded: &HashMap<ServiceName, BTreeSet<SoftwareVersion>>,
    entry: &EndpointEntry,
) -> bool {
    let (Some(versions), Some(software)) = (recorded.get(&entry.service), &entry.software) else {
        return true;
    };
    versions.contains(software)
}
