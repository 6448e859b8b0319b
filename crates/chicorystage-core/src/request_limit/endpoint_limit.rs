use std::collections::VecDeque;

use crate::request_limit::{RequestGrant, TokenWish, time_ms};

/// Time within which a token must be used, in milliseconds.
const TOKEN_VALID_MS: u64 = 1_000;
/// Time after which a gateway repeats that it wants tokens, in milliseconds.
const WISH_PERIOD_MS: u64 = 100;
/// Time before the end of a wait from which a token would come too late, in milliseconds.
const GRANT_DELAY_MS: u64 = 30;
/// Time without any answer after which a lease holder counts as not hearing this gateway, in
/// milliseconds.
const ANSWER_MAX_MS: u64 = 600;
/// Time between two requests that go elsewhere up to which a token for the next one is likely to be
/// used, in milliseconds.
const ELSEWHERE_GAP_MS: u64 = 500;
/// Part of a limit that all gateways together use while they hear no lease holder.
///
/// Another part of the gateways may still hear one, which divides the whole limit among them.
const OWN_PART: f64 = 0.2;
/// Largest number of requests at one gateway that wait for tokens of an endpoint.
const WANTED_MAX: usize = 64;

/// A limit that an endpoint has named, and what this gateway may send under it.
#[derive(Clone, Debug)]
pub struct EndpointLimit {
    per_s: f64,
    /// Times until which tokens may be used, earliest first.
    tokens: VecDeque<u64>,
    /// Times until which requests want a token, in the order in which they came.
    wanted: VecDeque<u64>,
    /// Time at which the next token is expected; `None` if that is not known.
    next_ms: Option<u64>,
    /// Time between two tokens after that.
    interval_ms: u64,
    /// Time at which the gateway last told that it wants tokens.
    asked_ms: Option<u64>,
    /// Time of the first question since the last answer.
    unanswered_since_ms: Option<u64>,
    /// Time of the next token that the gateway grants itself; `None` while it hears a lease holder.
    own_ms: Option<u64>,
    /// Time of the last request that went elsewhere for lack of a token.
    elsewhere_ms: Option<u64>,
}

impl EndpointLimit {
    /// Creates the state for a limit in requests a second, without tokens.
    #[must_use]
    pub fn new(per_s: f64) -> Self {
        Self {
            per_s,
            tokens: VecDeque::new(),
            wanted: VecDeque::new(),
            next_ms: None,
            interval_ms: 0,
            asked_ms: None,
            unanswered_since_ms: None,
            own_ms: None,
            elsewhere_ms: None,
        }
    }

    /// Returns the limit in requests a second from all gateways together.
    #[must_use]
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Sets the limit that the endpoint names now; tokens stay.
    pub fn set_per_s(&mut self, per_s: f64) {
        self.per_s = per_s;
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn has_token(&self, now_ms: u64) -> bool {
        self.tokens.iter().any(|until_ms| now_ms < *until_ms)
    }

    /// Uses a token for one request.
    pub fn use_token(&mut self, now_ms: u64) {
        self.forget_outdated(now_ms);
        self.tokens.pop_front();
        self.wanted.pop_front();
    }

    /// Records that a request wants a token until a time in milliseconds.
    pub fn want(&mut self, now_ms: u64, until_ms: u64) {
        self.forget_outdated(now_ms);
        if self.wanted.len() < WANTED_MAX {
            self.wanted.push_back(until_ms);
            self.asked_ms = None;
        }
    }

    /// Records that a request went elsewhere which a token would have brought here, and wants a token
    /// until a time in milliseconds if the next such request should come before.
    ///
    /// Returns whether a token is wanted.
    pub fn want_later(&mut self, now_ms: u64, until_ms: u64) -> bool {
        let last_ms = self.elsewhere_ms.replace(now_ms);
        let is_next_soon = last_ms.is_some_and(|last_ms| now_ms < last_ms + ELSEWHERE_GAP_MS);
        let is_in_time = self
            .next_for_new_ms(now_ms)
            .is_none_or(|next_ms| next_ms < until_ms);
        let is_wanted = is_next_soon && is_in_time && self.lacking(now_ms) == 0;
        if is_wanted {
            self.want(now_ms, until_ms);
        }
        is_wanted
    }

    /// Returns the number of tokens that requests want beyond those that there are.
    #[must_use]
    pub fn lacking(&mut self, now_ms: u64) -> u32 {
        self.forget_outdated(now_ms);
        let lacking = self.wanted.len().saturating_sub(self.tokens.len());
        u32::try_from(lacking).unwrap_or(u32::MAX)
    }

    /// Returns what to ask the lease holder for now, if it has to be asked.
    ///
    /// The holder is asked at once for a request that has just come, and again after a while.
    pub fn take_wish(&mut self, now_ms: u64) -> Option<TokenWish> {
        if !self.is_unanswered(now_ms) && self.own_ms.take().is_some() {
            // The holder has more to give than this gateway's own part.
            self.next_ms = None;
        }
        let lacking = self.lacking(now_ms);
        if lacking == 0 {
            self.asked_ms = None;
            return None;
        }
        let is_asked = self
            .asked_ms
            .is_some_and(|asked_ms| now_ms < asked_ms + WISH_PERIOD_MS);
        if is_asked {
            return None;
        }
        self.asked_ms = Some(now_ms);
        self.unanswered_since_ms.get_or_insert(now_ms);
        let until_ms = self.wanted.iter().max().copied().unwrap_or(now_ms);
        Some(TokenWish {
            tokens: lacking,
            valid_ms: until_ms.saturating_sub(now_ms + GRANT_DELAY_MS),
        })
    }

    /// Records a grant of the lease holder.
    pub fn granted(&mut self, now_ms: u64, grant: RequestGrant) {
        self.forget_outdated(now_ms);
        let tokens = usize::try_from(grant.tokens).unwrap_or(usize::MAX);
        for _ in 0..tokens.min(WANTED_MAX) {
            self.tokens.push_back(now_ms + TOKEN_VALID_MS);
        }
        self.next_ms = Some(now_ms.saturating_add(grant.next_in_ms));
        self.interval_ms = grant.interval_ms;
        self.own_ms = None;
        self.unanswered_since_ms = None;
        self.forget_hopeless();
    }

    /// Forgets requests whose wait ends before the next token, beyond those that have one.
    fn forget_hopeless(&mut self) {
        let Some(next_ms) = self.next_ms else {
            return;
        };
        let mut left = self.tokens.len();
        self.wanted.retain(|until_ms| {
            let has_token = left > 0;
            left = left.saturating_sub(1);
            has_token || *until_ms >= next_ms
        });
    }

    /// Grants tokens without a lease holder: the equal part of one gateway of `gateways`.
    ///
    /// `random` is a number from 0 up to 1. It delays the first token after the holder fell silent, so
    /// that gateways that lost it together do not all send at once. Returns whether a token came.
    pub fn grant_own(&mut self, now_ms: u64, gateways: usize, random: f64) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "there are few gateways")]
        let share = gateways.max(1) as f64 / OWN_PART;
        let interval_ms = time_ms(share, self.per_s);
        self.interval_ms = interval_ms;
        let own_ms = *self
            .own_ms
            .get_or_insert_with(|| now_ms + time_ms(share * random, self.per_s));
        self.next_ms = Some(own_ms.max(now_ms));
        if now_ms < own_ms || self.lacking(now_ms) == 0 {
            return false;
        }
        self.tokens.push_back(now_ms + TOKEN_VALID_MS);
        self.own_ms = Some(now_ms + interval_ms);
        self.next_ms = self.own_ms;
        true
    }

    /// Returns whether the lease holder has answered no question for a while, although it is heard.
    #[must_use]
    pub fn is_unanswered(&self, now_ms: u64) -> bool {
        self.unanswered_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + ANSWER_MAX_MS)
    }

    /// Returns the time at which a token is expected for a request that comes now, in milliseconds.
    ///
    /// Returns `None` where that is not known.
    #[must_use]
    pub fn next_for_new_ms(&self, now_ms: u64) -> Option<u64> {
        let open = self.wanted.iter().filter(|until_ms| now_ms < **until_ms);
        let before = u64::try_from(open.count()).unwrap_or(u64::MAX);
        let next_ms = self.next_for_waiting_ms(now_ms)?;
        Some(next_ms.saturating_add(before.saturating_mul(self.interval_ms)))
    }

    /// Returns the time at which the next token is expected, in milliseconds.
    ///
    /// Returns `None` where that is not known.
    #[must_use]
    pub fn next_for_waiting_ms(&self, now_ms: u64) -> Option<u64> {
        self.next_ms.map(|next_ms| next_ms.max(now_ms))
    }

    fn forget_outdated(&mut self, now_ms: u64) {
        self.tokens.retain(|until_ms| now_ms < *until_ms);
        self.wanted.retain(|until_ms| now_ms < *until_ms);
    }
}
