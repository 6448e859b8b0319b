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
    /// What the store had in its earlier eras and does not have again yet.
    lost: HashMap<ServiceName, Vec<SoftwareSpan>>,
}

impl SoftwareHistory {
    /// Replaces the history of a service by what the store has.
    pub fn replace(&mut self, service: ServiceName, spans: Vec<SoftwareSpan>) {
        if let Some(lost) = self.lost.get_mut(&service) {
            lost.retain(|known| !spans.iter().any(|span| span.version == known.version));
        }
        self.services.insert(service, spans);
    }

    /// Records that the store has returned from an older copy, which may lack versions.
    ///
    /// What it had counts on until it has that again, but for [`Self::recorded`].
    pub fn store_restored(&mut self) {
        for (service, spans) in &self.services {
            let lost = self.lost.entry(service.clone()).or_default();
            lost.retain(|known| !spans.iter().any(|span| span.version == known.version));
            lost.extend(spans.iter().cloned());
        }
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
        let known = self.stored(service);
        let mut spans = known.to_vec();
        let lost = self.lost(service).filter(|span| is_kept(now_unix_ms, span));
        spans.extend(lost.cloned());
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
        spans.retain(|span| is_kept(now_unix_ms, span));
        Some(spans)
    }

    /// Returns the versions of a service that the store lists as serving.
    #[must_use]
    pub fn recorded(&self, service: &ServiceName) -> BTreeSet<SoftwareVersion> {
        let spans = self.stored(service).iter();
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
        let spans = self.stored(service).iter().chain(self.lost(service));
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

    /// Returns what the store has of a service.
    fn stored(&self, service: &ServiceName) -> &[SoftwareSpan] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns what the store had of a service in earlier eras and lacks now.
    fn lost(&self, service: &ServiceName) -> impl Iterator<Item = &SoftwareSpan> {
        let stored = self.stored(service);
        let lost = self.lost.get(service).map_or(&[][..], Vec::as_slice);
        let is_stored =
            |version: &SoftwareVersion| stored.iter().any(|span| span.version == *version);
        lost.iter().filter(move |span| !is_stored(&span.version))
    }
}

/// Returns whether a version is in use or has left not long ago.
fn is_kept(now_unix_ms: u64, span: &SoftwareSpan) -> bool {
    span.gone_unix_ms
        .is_none_or(|gone_unix_ms| now_unix_ms < gone_unix_ms + KEPT_MS)
}
