//! Order, fairness between callers and bounds of an agent's queue of attempts.

use chicorystage_api::inventory::Class;
use chicorystage_core::queue::{Entry, LEAD_MAX, PushOutcome, Queue};
use googletest::prelude::*;

fn entry(class: Class, caller: &str, deadline_ms: u64) -> Entry<u64> {
    Entry {
        class,
        caller: caller.into(),
        weight: 1,
        deadline_ms,
        queued_ms: 0,
        bytes: 10,
        suspect: false,
        item: deadline_ms,
    }
}

fn standard(caller: &str, deadline_ms: u64) -> Entry<u64> {
    entry(Class::Standard, caller, deadline_ms)
}

fn pop_all(mut queue: Queue<u64>) -> Vec<(String, u64)> {
    let popped = std::iter::from_fn(|| queue.pop(0, |_| true));
    popped
        .map(|entry| (entry.caller.to_string(), entry.item))
        .collect()
}

#[gtest]
fn a_higher_class_goes_first_and_then_the_earlier_deadline() {
    let mut queue = Queue::new(10, 1_000);
    queue.push(standard("x", 30));
    queue.push(entry(Class::Batch, "x", 1));
    queue.push(standard("x", 20));
    queue.push(entry(Class::Interactive, "x", 40));
    let order: Vec<u64> = pop_all(queue).into_iter().map(|(_, item)| item).collect();
    expect_that!(order, eq(&vec![40, 20, 30, 1]));
}

#[gtest]
fn a_caller_with_early_deadlines_does_not_starve_another() {
    let mut queue = Queue::new(100, 10_000);
    for i in 0..40 {
        queue.push(standard("greedy", i));
    }
    queue.push(standard("modest", 1_000));
    let order = pop_all(queue);
    let position = order.iter().position(|(caller, _)| caller == "modest");
    expect_that!(position.map(|i| i as u64), some(le(LEAD_MAX + 1)));
}

#[gtest]
fn weights_divide_service_between_callers() {
    let mut queue = Queue::new(1_000, 100_000);
    for i in 0..200 {
        let mut heavy = standard("heavy", i);
        heavy.weight = 3;
        queue.push(heavy);
        queue.push(standard("light", i));
    }
    let order = pop_all(queue);
    let heavy = order[..100].iter().filter(|(caller, _)| caller == "heavy");
    expect_that!(heavy.count(), all!(ge(65), le(85)));
}

#[gtest]
fn caller_that_joins_later_has_no_accumulated_credit() {
    let mut queue = Queue::new(1_000, 100_000);
    for i in 0..100 {
        queue.push(standard("steady", i));
    }
    for _ in 0..50 {
        queue.pop(0, |_| true);
    }
    for i in 0..50 {
        queue.push(standard("back", i));
    }
    let order = pop_all(queue);
    let back = order[..40].iter().filter(|(caller, _)| caller == "back");
    expect_that!(back.count(), le(25));
}

#[gtest]
fn suspect_waits_for_an_idle_engine_and_blocks_later_entries() {
    let mut queue = Queue::new(10, 1_000);
    let mut suspect = standard("x", 1);
    suspect.suspect = true;
    queue.push(suspect);
    queue.push(standard("x", 2));
    expect_that!(queue.pop(1, |_| true), none());
    expect_that!(queue.pop(0, |_| true).map(|entry| entry.item), some(eq(1)));
}

#[gtest]
fn full_queue_displaces_the_latest_entry_of_the_lowest_class() {
    let mut queue = Queue::new(2, 1_000);
    queue.push(entry(Class::Batch, "x", 5));
    queue.push(entry(Class::Batch, "x", 9));
    let PushOutcome::Displaced(displaced) = queue.push(standard("x", 7)) else {
        panic!("a higher class displaces a lower one");
    };
    expect_that!(displaced[0].item, eq(9));
    let pushed = queue.push(entry(Class::Batch, "x", 1));
    expect_that!(matches!(pushed, PushOutcome::Full(_)), is_true());
}

#[gtest]
fn a_caller_below_its_share_displaces_one_above() {
    let mut queue = Queue::new(4, 1_000);
    for i in 0..4 {
        queue.push(standard("greedy", i));
    }
    let pushed = queue.push(standard("modest", 50));
    expect_that!(matches!(pushed, PushOutcome::Displaced(_)), is_true());
    let pushed = queue.push(standard("greedy", 60));
    expect_that!(matches!(pushed, PushOutcome::Full(_)), is_true());
}

#[gtest]
fn bytes_are_bounded_and_nothing_is_lost() {
    let mut queue = Queue::new(100, 25);
    expect_that!(queue.push(standard("x", 1)), eq(&PushOutcome::Queued));
    expect_that!(queue.push(standard("x", 2)), eq(&PushOutcome::Queued));
    let pushed = queue.push(standard("x", 3));
    expect_that!(matches!(pushed, PushOutcome::Full(_)), is_true());
    let mut large = entry(Class::Interactive, "y", 4);
    large.bytes = 26;
    expect_that!(matches!(queue.push(large), PushOutcome::Full(_)), is_true());
    expect_that!(queue.len(), eq(2));
}

#[gtest]
fn blocked_entry_does_not_delay_a_runnable_one() {
    let mut queue = Queue::new(10, 1_000);
    queue.push(standard("x", 1));
    queue.push(standard("x", 2));
    let popped = queue.pop(0, |item| *item == 2);
    expect_that!(popped.map(|entry| entry.item), some(eq(2)));
}
