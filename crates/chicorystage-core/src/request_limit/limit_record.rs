use crate::request_limit::{EndpointLimit, KnownLimit, NamedLimit};

/// Time for which a gateway goes on telling the others that a limit has ended, in milliseconds.
const ENDED_TOLD_MS: u64 = 10_000;

/// The newest that is known of an endpoint's limit.
#[derive(Clone, Debug, Default)]
pub struct LimitRecord {
    /// The limit; `None` if the endpoint names none.
    limit: Option<EndpointLimit>,
    /// Time of the newest answer that told it, in milliseconds.
    heard_ms: u64,
    /// Time at which the limit began, changed or ended; `None` if there never was one.
    changed_ms: Option<u64>,
}

impl LimitRecord {
    /// Returns the limit; `None` if the endpoint names none.
    #[must_use]
    pub fn get(&self) -> Option<&EndpointLimit> {
        self.limit.as_ref()
    }

    /// Returns the limit for modification; `None` if the endpoint names none.
    pub fn get_mut(&mut self) -> Option<&mut EndpointLimit> {
        self.limit.as_mut()
    }

    /// Records what an answer that has just arrived names; returns whether the limit has changed.
    ///
    /// A limit that cannot be read changes nothing.
    pub fn named(&mut self, now_ms: u64, named: NamedLimit) -> bool {
        match named {
            NamedLimit::Absent => self.set(now_ms, now_ms, None),
            NamedLimit::PerS(per_s) => self.set(now_ms, now_ms, Some(per_s)),
            NamedLimit::Unreadable => false,
        }
    }

    /// Records what another gateway knows; returns whether the limit has changed.
    ///
    /// An older answer than the newest one that is known changes nothing.
    pub fn told(&mut self, now_ms: u64, known: &KnownLimit) -> bool {
        let heard_ms = now_ms.saturating_sub(known.age_ms);
        known.is_valid() && heard_ms > self.heard_ms && self.set(now_ms, heard_ms, known.per_s)
    }

    /// Returns the limit and its age for other gateways: a limit, or one that ended lately.
    #[must_use]
    pub fn to_tell(&self, now_ms: u64) -> Option<(Option<f64>, u64)> {
        let changed_ms = self.changed_ms?;
        if self.limit.is_none() && now_ms >= changed_ms + ENDED_TOLD_MS {
            return None;
        }
        let per_s = self.limit.as_ref().map(EndpointLimit::per_s);
        Some((per_s, now_ms.saturating_sub(self.heard_ms)))
    }

    /// Returns whether requests must wait for a token.
    #[must_use]
    pub fn is_reached(&self, now_ms: u64) -> bool {
        self.limit
            .as_ref()
            .is_some_and(|limit| !limit.has_token(now_ms))
    }

    /// Uses a token for one request, if there is a limit.
    pub fn use_token(&mut self, now_ms: u64) {
        if let Some(limit) = &mut self.limit {
            limit.use_token(now_ms);
        }
    }

    fn set(&mut self, now_ms: u64, heard_ms: u64, per_s: Option<f64>) -> bool {
        self.heard_ms = heard_ms;
        let known = self.limit.as_ref().map(EndpointLimit::per_s);
        if known == per_s {
            return false;
        }
        self.changed_ms = Some(now_ms);
        match (&mut self.limit, per_s) {
            (Some(limit), Some(per_s)) => limit.set_per_s(per_s),
            (limit, per_s) => *limit = per_s.map(EndpointLimit::new),
        }
        true
    }
}
