use chicorystage_api::inventory::Class;
use chicorystage_api::name::CallerName;

use crate::queue::shares::{Shares, attempt_units};
use crate::queue::{Entry, PushOutcome};

/// Bounded wait queue of one endpoint.
///
/// Each call takes time linear in the length of the queue, which the bounds keep to a few hundred
/// attempts.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    entries: Vec<Entry<T>>,
    shares: Shares,
    count_max: usize,
    bytes_max: u64,
    bytes: u64,
}

impl<T> Queue<T> {
    /// Creates an empty queue with its bounds on the number and the bytes of attempts.
    #[must_use]
    pub fn new(count_max: u32, bytes_max: u64) -> Self {
        Self {
            entries: Vec::new(),
            shares: Shares::default(),
            count_max: usize::try_from(count_max).unwrap_or(usize::MAX),
            bytes_max,
            bytes: 0,
        }
    }

    /// Returns the number of attempts in the queue.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the attempts in the queue, in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = &Entry<T>> {
        self.entries.iter()
    }

    /// Adds an attempt, displacing others of lower priority if the queue is full.
    ///
    /// If the attempt does not fit even then, nothing is displaced.
    pub fn push(&mut self, entry: Entry<T>) -> PushOutcome<T> {
        if entry.bytes > self.bytes_max {
            return PushOutcome::Full(Box::new(entry));
        }
        let mut displaced = Vec::new();
        while self.is_full_for(entry.bytes) {
            let Some(i) = self.displaceable_index(&entry) else {
                // Attempts displaced so far return to the queue, since the new attempt is
                // refused.
                return self.restore_and_refuse(entry, displaced);
            };
            displaced.push(self.remove(i));
        }
        let waiting = self.entries.iter().map(|waiting| &waiting.caller);
        self.shares.join(&entry.caller, waiting);
        self.bytes += entry.bytes;
        self.entries.push(entry);
        if displaced.is_empty() {
            PushOutcome::Queued
        } else {
            PushOutcome::Displaced(displaced)
        }
    }

    /// Removes and returns the attempt to run next among those for which `runnable` holds.
    ///
    /// `running` is the number of attempts in progress. Returns `None` if no attempt is runnable,
    /// or if the next one is a suspect while others are in progress.
    pub fn pop(&mut self, running: u32, runnable: impl Fn(&T) -> bool) -> Option<Entry<T>> {
        let i = self.next_index(&runnable)?;
        if self.entries[i].suspect && running > 0 {
            return None;
        }
        let entry = self.remove(i);
        self.shares.count(&entry.caller, entry.weight);
        if self.entries.is_empty() {
            self.shares.clear();
        }
        Some(entry)
    }

    /// Removes and returns every attempt for which the predicate holds.
    pub fn remove_where(&mut self, is_removed: impl Fn(&Entry<T>) -> bool) -> Vec<Entry<T>> {
        let (removed, kept) = std::mem::take(&mut self.entries)
            .into_iter()
            .partition(is_removed);
        self.entries = kept;
        self.bytes = self.entries.iter().map(|entry| entry.bytes).sum();
        removed
    }

    fn is_full_for(&self, more_bytes: u64) -> bool {
        self.entries.len() >= self.count_max || self.bytes + more_bytes > self.bytes_max
    }

    fn restore_and_refuse(&mut self, entry: Entry<T>, displaced: Vec<Entry<T>>) -> PushOutcome<T> {
        for entry in displaced {
            self.bytes += entry.bytes;
            self.entries.push(entry);
        }
        PushOutcome::Full(Box::new(entry))
    }

    fn remove(&mut self, i: usize) -> Entry<T> {
        let entry = self.entries.remove(i);
        self.bytes -= entry.bytes;
        entry
    }

    fn next_index(&self, runnable: &impl Fn(&T) -> bool) -> Option<usize> {
        let candidates = || self.entries.iter().filter(|entry| runnable(&entry.item));
        let class = candidates().map(|entry| entry.class).min()?;
        let of_class = || candidates().filter(move |entry| entry.class == class);
        let limit = self.shares.limit(of_class().map(|entry| &entry.caller));
        let indexed = self.entries.iter().enumerate();
        indexed
            .filter(|(_, entry)| entry.class == class && runnable(&entry.item))
            .filter(|(_, entry)| self.shares.share_of(&entry.caller) <= limit)
            .min_by_key(|(_, entry)| entry.deadline_ms)
            .map(|(i, _)| i)
    }

    /// Returns the index of the attempt that a new one may displace; `None` if there is none.
    ///
    /// The candidate is in the lowest class, from the caller with the most queued attempts by
    /// weight, and has the latest deadline.
    fn displaceable_index(&self, entry: &Entry<T>) -> Option<usize> {
        let class = self.entries.iter().map(|waiting| waiting.class).max()?;
        let indexed = self.entries.iter().enumerate();
        let (i, waiting) = indexed
            .filter(|(_, waiting)| waiting.class == class)
            .max_by_key(|(_, waiting)| {
                let units = self.weighted_units(class, &waiting.caller, waiting.weight);
                (units, waiting.deadline_ms)
            })?;
        let goes_before = class > entry.class
            || (class == entry.class
                && waiting.caller != entry.caller
                && self.weighted_units(class, &waiting.caller, waiting.weight)
                    > self.weighted_units(class, &entry.caller, entry.weight)
                        + attempt_units(entry.weight));
        goes_before.then_some(i)
    }

    /// Returns the queued attempts of a caller in a class, divided by its weight.
    fn weighted_units(&self, class: Class, caller: &CallerName, weight: u32) -> u64 {
        let waiting = self.entries.iter();
        let count = waiting
            .filter(|waiting| waiting.class == class && waiting.caller == *caller)
            .count();
        u64::try_from(count)
            .unwrap_or(u64::MAX)
            .saturating_mul(attempt_units(weight))
    }
}
