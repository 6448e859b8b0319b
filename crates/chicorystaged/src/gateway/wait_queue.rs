//! Reserves endpoints for requests, at once or through the wait queue.
//!
//! A request that finds no endpoint waits in the queue until it is granted a reservation or its
//! time is over. It is refused early where what it is missing, such as a model that is being
//! loaded, is expected only after that time.

use std::rc::Rc;
use std::time::Duration;

use chicorystage_core::fleet::{Choice, Requirements, StaleLoad, Standing, load_age_ms};
use chicorystage_core::teams::Rank;
use tokio::sync::oneshot;

use crate::gateway::reservation::Reservation;
use crate::gateway::shared::Gateway;
use crate::gateway::waiter::Waiter;

impl Gateway {
    /// Reserves an endpoint for a request, if one has capacity now.
    ///
    /// # Errors
    ///
    /// Returns why no endpoint can be reserved.
    pub fn reserve(self: &Rc<Self>, requirements: &Requirements) -> Result<Reservation, Choice> {
        let now_ms = self.now_ms();
        let chosen = self.with(|view| {
            let stale_load = StaleLoad {
                age_ms: load_age_ms(view.gateways()),
                random: rand::random(),
            };
            let zone = &self.settings.zone;
            let choice = view
                .fleet
                .choose_spread(now_ms, zone, requirements, stale_load);
            let Choice::Endpoint(id) = choice else {
                return Err(choice);
            };
            if let Some(limited) = view.fleet.limited_before(now_ms, zone, requirements, &id) {
                self.want_later(now_ms, &mut view.fleet, &limited);
            }
            let sharing = view.fleet.sharing_routers(&id, view.gateways());
            let Some(endpoint) = view.fleet.get_mut(&id) else {
                return Err(Choice::NoEndpoint);
            };
            endpoint.started(now_ms, requirements.model.as_ref());
            if requirements.model.is_some() {
                endpoint
                    .pace
                    .sent(now_ms, requirements.prompt.tokens, sharing);
            }
            Ok(endpoint.entry.clone())
        });
        let entry = chosen?;
        let model = requirements.model.clone();
        Ok(Reservation::new(Rc::clone(self), &entry, model))
    }

    /// Reserves an endpoint, waiting for one until `until_ms`.
    ///
    /// Returns `None` when that time is over, or early once no endpoint is expected before it.
    pub async fn reserve_or_wait(
        self: &Rc<Self>,
        requirements: &Requirements,
        rank: Rank,
        until_ms: u64,
    ) -> Option<Reservation> {
        match self.reserve(requirements) {
            Ok(reservation) => Some(reservation),
            Err(missing) => {
                self.wait_for_endpoint(requirements, &missing, rank, until_ms)
                    .await
            }
        }
    }

    /// Waits for an endpoint until `until_ms` and reserves it; `missing` is why none can be reserved
    /// now.
    ///
    /// Returns `None` when that time is over, or early once no endpoint is expected before it.
    pub async fn wait_for_endpoint(
        self: &Rc<Self>,
        requirements: &Requirements,
        missing: &Choice,
        rank: Rank,
        until_ms: u64,
    ) -> Option<Reservation> {
        let ready_ms = self.ready_ms(requirements, missing, Standing::New);
        if is_too_late(ready_ms, until_ms) {
            return None;
        }
        let granted = self.enqueue(requirements.clone(), rank, until_ms);
        self.want_limited(requirements, until_ms);
        if *missing != Choice::Reading {
            self.demand_changed.notify_one();
        }
        let limit = Duration::from_millis(until_ms.saturating_sub(self.now_ms()));
        tokio::time::timeout(limit, granted).await.ok()?.ok()
    }

    /// Returns the time at which what a request is missing should be available, in milliseconds.
    ///
    /// Returns `None` where that is not known.
    fn ready_ms(
        &self,
        requirements: &Requirements,
        missing: &Choice,
        standing: Standing,
    ) -> Option<u64> {
        let now_ms = self.now_ms();
        self.with(|view| {
            view.fleet
                .ready_for_ms(now_ms, requirements, missing, standing)
        })
    }

    /// Returns the time until what a request is missing should be available, in milliseconds.
    ///
    /// Returns `None` where that is not known.
    #[must_use]
    pub fn ready_in_ms(&self, requirements: &Requirements, missing: &Choice) -> Option<u64> {
        let ready_ms = self.ready_ms(requirements, missing, Standing::New)?;
        Some(ready_ms.saturating_sub(self.now_ms()))
    }

    /// Adds a request to the wait queue; the receiver gets the reservation.
    fn enqueue(
        &self,
        requirements: Requirements,
        rank: Rank,
        until_ms: u64,
    ) -> oneshot::Receiver<Reservation> {
        let (grant, granted) = oneshot::channel();
        self.with(|view| {
            let number = view.next_number;
            view.next_number += 1;
            view.waiters.push(Waiter {
                requirements,
                rank,
                number,
                until_ms,
                grant,
            });
        });
        granted
    }

    /// Grants reservations to waiting requests by rank and arrival, and removes those that would
    /// wait too long.
    ///
    /// Returns whether some requests wait only because endpoints still process earlier prompts.
    pub fn grant_waiters(self: &Rc<Self>) -> bool {
        let mut waiters = self.with(|view| std::mem::take(&mut view.waiters));
        waiters.retain(|waiter| !waiter.grant.is_closed());
        waiters.sort_by_key(|waiter| (waiter.rank, waiter.number));
        // Requirements that no endpoint meets now, with the time at which that should change.
        let mut unserved: Vec<(Requirements, Option<u64>)> = Vec::new();
        let mut has_deferred = false;
        let mut remaining = Vec::new();
        for waiter in waiters {
            let known = unserved
                .iter()
                .find(|(requirements, _)| requirements.accepts_same(&waiter.requirements));
            let ready_ms = match known {
                Some((_, ready_ms)) => *ready_ms,
                None => match self.reserve(&waiter.requirements) {
                    Ok(reservation) => {
                        // If the request has just ended, dropping the reservation releases it.
                        let _granted = waiter.grant.send(reservation);
                        continue;
                    }
                    Err(Choice::Reading) => {
                        has_deferred = true;
                        remaining.push(waiter);
                        continue;
                    }
                    Err(missing) => {
                        let ready_ms =
                            self.ready_ms(&waiter.requirements, &missing, Standing::Waiting);
                        unserved.push((waiter.requirements.clone(), ready_ms));
                        ready_ms
                    }
                },
            };
            // Dropping the waiter ends its wait without a reservation.
            if !is_too_late(ready_ms, waiter.until_ms) {
                remaining.push(waiter);
            }
        }
        self.with(|view| view.waiters.append(&mut remaining));
        has_deferred
    }
}

/// Returns whether a wait ends before what the request is missing should be available.
fn is_too_late(ready_ms: Option<u64>, until_ms: u64) -> bool {
    ready_ms.is_some_and(|ready_ms| ready_ms > until_ms)
}
