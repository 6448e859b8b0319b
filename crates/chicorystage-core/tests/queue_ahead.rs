//! The estimated number of attempts ahead agrees with the order in which the queue pops them.

use chicorystage_api::inventory::Class;
use chicorystage_core::queue::{Entry, Queue, attempts_ahead};
use googletest::prelude::*;

fn entry(caller: &str, class: Class, deadline_ms: u64) -> Entry<String> {
    Entry {
        class,
        caller: caller.into(),
        weight: 1,
        deadline_ms,
        queued_ms: 0,
        bytes: 1,
        suspect: false,
        item: caller.to_owned(),
    }
}

#[gtest]
fn a_flood_of_another_caller_does_not_lengthen_the_wait() {
    let mut queue = Queue::new(1_000, 1_000_000);
    for i in 0..200 {
        queue.push(entry("noisy", Class::Standard, i));
    }
    queue.push(entry("first", Class::Interactive, 900));
    queue.push(entry("low", Class::Batch, 0));
    let ahead = attempts_ahead(queue.iter(), Class::Standard, &"quiet".into(), 1);
    queue.push(entry("quiet", Class::Standard, 10_000));
    let mut popped = 0;
    while queue
        .pop(0, |_| true)
        .is_some_and(|entry| entry.item != "quiet")
    {
        popped += 1;
    }
    expect_that!(popped, all![le(ahead + 1), ge(ahead.saturating_sub(1))]);
    expect_that!(ahead, le(8));
}
