use crate::orders::Order;

/// Time after which an order without an answer is assumed not to be carried out, in milliseconds.
pub(super) const LATE_MAX_MS: u64 = 15_000;

/// Orders to load something that were sent without an answer and may still be carried out.
///
/// An engine carries out a late order only if it has accepted as many orders as the order expects.
/// Within one process of the engine this is true once; after a restart it may be true again. Of
/// several copies of an order the engine carries out one at most, so they count once.
#[derive(Clone, Debug, Default)]
pub struct LateOrders {
    /// Orders with the time from which they are not carried out any more, in milliseconds.
    orders: Vec<(Order, u64)>,
}

impl LateOrders {
    /// Records an order that has no answer; one that unloads something is ignored.
    pub fn record(&mut self, now_ms: u64, order: &Order) {
        if order.kind.is_load() {
            self.insert(order.clone(), now_ms + LATE_MAX_MS);
        }
    }

    /// Adds the orders of another list.
    pub fn extend(&mut self, others: Self) {
        for (order, until_ms) in others.orders {
            self.insert(order, until_ms);
        }
    }

    fn insert(&mut self, order: Order, until_ms: u64) {
        let known = self.orders.iter_mut().find(|(known, _)| *known == order);
        match known {
            Some((_, known_until_ms)) => *known_until_ms = until_ms.max(*known_until_ms),
            None => self.orders.push((order, until_ms)),
        }
    }

    /// Returns whether no order may still be carried out.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Forgets the orders that are not carried out any more.
    pub fn expire(&mut self, now_ms: u64) {
        self.orders.retain(|(_, until_ms)| now_ms < *until_ms);
    }

    /// Returns the number of adapters that may still be loaded by an engine that has accepted
    /// `sequence` orders since its start; `None` means that this is not known.
    #[must_use]
    pub fn adapter_count(&self, sequence: Option<u64>) -> usize {
        let possible = self.possible(sequence);
        possible
            .filter(|order| order.kind.adapter().is_some())
            .count()
    }

    /// Returns the orders that may still be carried out; `sequence` is as in [`Self::adapter_count`].
    pub(super) fn possible(&self, sequence: Option<u64>) -> impl Iterator<Item = &Order> {
        let orders = self.orders.iter().map(|(order, _)| order);
        orders.filter(move |order| {
            sequence.is_none_or(|sequence| order.expected_sequence >= sequence)
        })
    }
}
