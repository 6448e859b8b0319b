use std::collections::{BTreeSet, HashMap};

use chicorystage_api::name::{ServiceName, SoftwareVersion};

use crate::stream_origins::{LINGER_MS, ResumeTarget, STREAM_LIFE_MS, SoftwareSpan};

/// Time for which a version that is gone stays in the history, in milliseconds; longer than any
/// stream, as the clocks of VMs differ and jump.
const KEPT_MS: u64 = 10 * STREAM_LIFE_MS;

/// Software versions that served lately, by service, as kept in the store.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    services: HashMap<ServiceName, Vec<SoftwareSpan>>,
}

impl SoftwareHistory {
    /// Replaces the history of a service by what the store has.
    pub fn replace(&mut self, service: ServiceName, spans: Vec<SoftwareSpan>) {
        self.services.insert(service, spans);
    }

    /// Forgets the histories of all services but these, as the store has none of the others.
    pub fn retain(&mut self, services: &[ServiceName]) {
        self.services
            .retain(|service, _| services.contains(service));
    }

    /// Returns the history of a service that is to be stored, given the versions that are registered
    /// now; `None` if it has not changed.
    #[must_use]
    pub fn changed(
        &self,
        now_unix_ms: u64,
        service: &ServiceName,
        registered: &BTreeSet<SoftwareVersion>,
    ) -> Option<Vec<SoftwareSpan>> {
        let known = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let mut spans: Vec<SoftwareSpan> = known.to_vec();
        for span in &mut spans {
            span.gone_unix_ms = if registered.contains(&span.version) {
                None
            } else {
                span.gone_unix_ms.or(Some(now_unix_ms))
            };
        }
        for version in registered {
            if !spans.iter().any(|span| span.version == *version) {
                spans.push(SoftwareSpan {
                    version: version.clone(),
                    gone_unix_ms: None,
                });
            }
        }
        if spans == known {
            return None;
        }
        // Old versions leave the history with the next change of it.
        spans.retain(|span| {
            span.gone_unix_ms
                .is_none_or(|gone_unix_ms| now_unix_ms < gone_unix_ms + KEPT_MS)
        });
        Some(spans)
    }

    /// Returns the versions of a service that the store lists as serving.
    #[must_use]
    pub fn recorded(&self, service: &ServiceName) -> BTreeSet<SoftwareVersion> {
        let spans = self.services.get(service).into_iter().flatten();
        spans
            .filter(|span| span.gone_unix_ms.is_none())
            .map(|span| span.version.clone())
            .collect()
    }

    /// Returns the history of a service with the registered versions that it lacks, which is to be
    /// stored; `None` if it lacks none.
    ///
    /// Unlike [`Self::changed`] it takes no version for gone, as the registry may be out of date here.
    #[must_use]
    pub fn extended(
        &self,
        now_unix_ms: u64,
        service: &ServiceName,
        registered: &BTreeSet<SoftwareVersion>,
    ) -> Option<Vec<SoftwareSpan>> {
        let recorded = self.recorded(service);
        if registered.is_subset(&recorded) {
            return None;
        }
        let serving = recorded.union(registered).cloned().collect();
        self.changed(now_unix_ms, service, &serving)
    }

    /// Returns where a stream that no process knows may go on, given the versions that are registered
    /// now.
    ///
    /// The result holds for streams that began before the history was read from the store.
    #[must_use]
    pub fn resume_target(
        &self,
        now_unix_ms: u64,
        service: &ServiceName,
        registered: &BTreeSet<SoftwareVersion>,
    ) -> ResumeTarget {
        let mut versions = registered.clone();
        let spans = self.services.get(service).into_iter().flatten();
        let recent = spans.filter(|span| {
            span.gone_unix_ms
                .is_none_or(|gone_unix_ms| now_unix_ms < gone_unix_ms + LINGER_MS + STREAM_LIFE_MS)
        });
        versions.extend(recent.map(|span| span.version.clone()));
        let is_single = versions.len() <= 1;
        match versions.pop_first() {
            None => ResumeTarget::Any,
            Some(version) if is_single => ResumeTarget::Version(version),
            Some(_) => ResumeTarget::Unknown,
        }
    }
}
