use chicorystage_api::inventory::Class;
use chicorystage_api::name::CallerName;

use crate::queue::shares::{Shares, share_of_one};
use crate::queue::{Entry, Pushed};

/// Attempts that wait at one endpoint.
///
/// Each call costs time in proportion to the attempts that wait, which the
/// bounds keep to a few hundred.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    entries: Vec<Entry<T>>,
    shares: Shares,
    count_max: usize,
    bytes_max: u64,
    bytes: u64,
}

impl<T> Queue<T> {
    /// Creates an empty queue with its bounds.
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

    /// Returns the attempts that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the attempts that wait, in the order of their arrival.
    pub fn iter(&self) -> impl Iterator<Item = &Entry<T>> {
        self.entries.iter()
    }

    /// Lets an attempt wait, making room where it goes before others.
    pub fn push(&mut self, entry: Entry<T>) -> Pushed<T> {
        if entry.bytes > self.bytes_max {
            return Pushed::Full(Box::new(entry));
        }
        let mut displaced = Vec::new();
        while self.is_full_for(entry.bytes) {
            let Some(i) = self.displaceable(&entry) else {
                // What was given up stays given up; it was the lowest anyhow.
                return self.give_up(entry, displaced);
            };
            displaced.push(self.remove(i));
        }
        let waiting = self.entries.iter().map(|waiting| &waiting.caller);
        self.shares.enter(&entry.caller, waiting);
        self.bytes += entry.bytes;
        self.entries.push(entry);
        if displaced.is_empty() {
            Pushed::Queued
        } else {
            Pushed::Displaced(displaced)
        }
    }

    /// Takes the attempt that runs next among those that `runnable` lets through.
    ///
    /// `running` attempts are in progress; a suspect waits until there are none.
    pub fn pop(&mut self, running: u32, runnable: impl Fn(&T) -> bool) -> Option<Entry<T>> {
        let i = self.next(&runnable)?;
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

    /// Takes every attempt for which `given_up` holds.
    pub fn take_where(&mut self, given_up: impl Fn(&Entry<T>) -> bool) -> Vec<Entry<T>> {
        let (taken, kept) = std::mem::take(&mut self.entries)
            .into_iter()
            .partition(given_up);
        self.entries = kept;
        self.bytes = self.entries.iter().map(|entry| entry.bytes).sum();
        taken
    }

    fn is_full_for(&self, more_bytes: u64) -> bool {
        self.entries.len() >= self.count_max || self.bytes + more_bytes > self.bytes_max
    }

    fn give_up(&mut self, entry: Entry<T>, displaced: Vec<Entry<T>>) -> Pushed<T> {
        for entry in displaced {
            self.bytes += entry.bytes;
            self.entries.push(entry);
        }
        Pushed::Full(Box::new(entry))
    }

    fn remove(&mut self, i: usize) -> Entry<T> {
        let entry = self.entries.remove(i);
        self.bytes -= entry.bytes;
        entry
    }

    fn next(&self, runnable: &impl Fn(&T) -> bool) -> Option<usize> {
        let candidates = || self.entries.iter().filter(|entry| runnable(&entry.item));
        let class = candidates().map(|entry| entry.class).min()?;
        let of_class = || candidates().filter(move |entry| entry.class == class);
        let limit = self.shares.limit(of_class().map(|entry| &entry.caller));
        let indexed = self.entries.iter().enumerate();
        indexed
            .filter(|(_, entry)| entry.class == class && runnable(&entry.item))
            .filter(|(_, entry)| self.shares.of(&entry.caller) <= limit)
            .min_by_key(|(_, entry)| entry.deadline_ms)
            .map(|(i, _)| i)
    }

    /// Finds the attempt that makes room for another: the latest of the
    /// caller with most waiting in the lowest class.
    fn displaceable(&self, entry: &Entry<T>) -> Option<usize> {
        let class = self.entries.iter().map(|waiting| waiting.class).max()?;
        let indexed = self.entries.iter().enumerate();
        let (i, waiting) = indexed
            .filter(|(_, waiting)| waiting.class == class)
            .max_by_key(|(_, waiting)| {
                let held = self.held(class, &waiting.caller, waiting.weight);
                (held, waiting.deadline_ms)
            })?;
        let goes_before = class > entry.class
            || (class == entry.class
                && waiting.caller != entry.caller
                && self.held(class, &waiting.caller, waiting.weight)
                    > self.held(class, &entry.caller, entry.weight) + share_of_one(entry.weight));
        goes_before.then_some(i)
    }

    /// Returns what a caller has waiting in a class, by weight.
    fn held(&self, class: Class, caller: &CallerName, weight: u32) -> u64 {
        let waiting = self.entries.iter();
        let count = waiting
            .filter(|waiting| waiting.class == class && waiting.caller == *caller)
            .count();
        u64::try_from(count)
            .unwrap_or(u64::MAX)
            .saturating_mul(share_of_one(weight))
    }
}
