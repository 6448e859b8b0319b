//! The order lease has one holder at a time under process pauses, outages and lost answers.

use chicorystage_api::name::VmId;
use chicorystage_core::lease::{LeaseAction, LeaseRow, OrderLease, StoreReply};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LEASE_MS: u64 = 3_000;
const TICK_MS: u64 = 100;

fn lease(vm: &str, endpoints_check_epoch: bool) -> OrderLease {
    OrderLease::new(VmId::from(vm), 1, LEASE_MS, endpoints_check_epoch)
}

/// A store with the lease row, written by compare-and-set on its version.
#[derive(Debug, Default)]
struct Store {
    row: Option<(LeaseRow, u64)>,
    counter: u64,
}

impl Store {
    fn write(&mut self, action: &LeaseAction) -> StoreReply {
        let version = self.row.as_ref().map_or(0, |(_, version)| *version);
        if version != action.expected_version {
            return StoreReply::Conflict(self.row.clone());
        }
        self.counter += 1;
        self.row = Some((action.row.clone(), self.counter));
        StoreReply::Written(self.counter)
    }
}

/// Ticks a lease every 100 ms and answers its writes at once.
fn run(lease: &mut OrderLease, store: &mut Store, from_ms: u64, until_ms: u64) {
    for now_ms in (from_ms..until_ms).step_by(100) {
        if let Some(action) = lease.tick(now_ms) {
            let reply = store.write(&action);
            lease.apply_reply(now_ms, now_ms, action, reply);
        }
    }
}

#[test]
fn first_gateway_acquires_an_absent_lease() {
    let (mut store, mut lease) = (Store::default(), lease("a", true));
    lease.apply_row(0, None);
    run(&mut lease, &mut store, 0, 500);
    assert_that!(lease.epoch(500), some(eq(1)));
}

#[test]
fn nothing_is_written_before_the_row_is_read() {
    let mut lease = lease("a", true);
    assert_that!(lease.tick(0), none());
}

#[test]
fn renewed_lease_is_not_acquired_by_another_gateway() {
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a", true), lease("b", true));
    a.apply_row(0, None);
    run(&mut a, &mut store, 0, 200);
    for now_ms in (200..20_000).step_by(100) {
        b.apply_row(now_ms, store.row.clone());
        run(&mut a, &mut store, now_ms, now_ms + 100);
        assert_that!(b.tick(now_ms), none(), "at {now_ms} ms");
    }
}

#[test]
fn unrenewed_lease_is_acquired_with_a_higher_epoch() {
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a", true), lease("b", true));
    a.apply_row(0, None);
    run(&mut a, &mut store, 0, 200);
    b.apply_row(200, store.row.clone());
    run(&mut b, &mut store, 200, 200 + LEASE_MS);
    assert_that!(b.epoch(200 + LEASE_MS), none());
    run(&mut b, &mut store, 200 + LEASE_MS, 4_200);
    assert_that!(b.epoch(4_200), some(eq(2)));
}

#[test]
fn paused_holder_has_no_epoch_before_a_renewal() {
    let mut store = Store::default();
    let mut a = lease("a", true);
    a.apply_row(0, None);
    run(&mut a, &mut store, 0, 1_000);
    assert_that!(a.epoch(1_000), some(eq(1)));
    // The VM was paused from 1,000 to 6,000 ms, without a tick.
    assert_that!(a.epoch(6_000), none());
    let renewal = a.tick(6_000).expect("a renewal is due");
    assert_that!(a.epoch(6_000), none());
    let reply = store.write(&renewal);
    a.apply_reply(6_010, 6_000, renewal, reply);
    assert_that!(a.epoch(6_010), some(eq(1)));
}

#[test]
fn holder_loses_the_lease_to_a_higher_epoch() {
    let mut store = Store::default();
    let mut a = lease("a", true);
    a.apply_row(0, None);
    run(&mut a, &mut store, 0, 1_000);
    a.observe_epoch(2);
    assert_that!(a.epoch(1_000), none());
    assert_that!(a.tick(1_100).map(|action| action.row.epoch), none());
}

#[test]
fn lease_expires_only_where_endpoints_do_not_check_epochs() {
    let mut store = Store::default();
    let (mut checked, mut unchecked) = (lease("a", true), lease("a", false));
    checked.apply_row(0, None);
    run(&mut checked, &mut store, 0, 1_000);
    store = Store::default();
    unchecked.apply_row(0, None);
    run(&mut unchecked, &mut store, 0, 1_000);
    // The store is unreachable: the outcome of each write is unknown.
    for now_ms in (1_000..9_000).step_by(100) {
        for lease in [&mut checked, &mut unchecked] {
            if let Some(action) = lease.tick(now_ms) {
                lease.apply_reply(now_ms, now_ms, action, StoreReply::Unknown);
            }
        }
    }
    assert_that!(checked.epoch(9_000), some(eq(1)));
    assert_that!(unchecked.epoch(9_000), none());
}

#[test]
fn released_lease_is_acquired_at_once_and_its_former_holder_has_no_epoch() {
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a", true), lease("b", true));
    a.apply_row(0, None);
    run(&mut a, &mut store, 0, 1_000);
    b.apply_row(1_000, store.row.clone());
    run(&mut a, &mut store, 1_000, 5_000);
    let release = a.release().expect("the holder releases");
    assert_that!(a.epoch(5_000), none());
    let reply = store.write(&release);
    a.apply_reply(5_000, 5_000, release, reply);
    assert_that!(a.epoch(5_000), none());
    b.apply_row(5_000, store.row.clone());
    run(&mut b, &mut store, 5_000, 5_200);
    assert_that!(b.epoch(5_200), some(eq(2)));
}

/// Returns when this gateway acquires the lease that another one has released, as it sees at `from_ms`.
fn acquired_ms(lease: &mut OrderLease, store: &mut Store, from_ms: u64) -> Option<u64> {
    lease.apply_row(from_ms, store.row.clone());
    let mut ticks = (from_ms..from_ms + 3 * LEASE_MS).step_by(100);
    ticks.find(|now_ms| {
        run(lease, store, *now_ms, now_ms + 100);
        lease.epoch(now_ms + 99).is_some()
    })
}

/// Has `b` hold the lease from 5,000 ms, after `a`, and release it.
fn pass_through(b: &mut OrderLease, store: &mut Store) {
    run(b, store, 5_000, 5_500);
    assert_that!(b.epoch(5_400), some(eq(2)));
    let release = b.release().expect("the holder releases");
    let reply = store.write(&release);
    b.apply_reply(5_500, 5_500, release, reply);
}

// Rule ONE: holders must not take turns within the duration of the lease.
#[test]
fn former_holder_does_not_take_turns_with_one_that_releases_the_lease_soon() {
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a", false), lease("b", false));
    a.apply_row(0, None);
    run(&mut a, &mut store, 0, 1_000);
    b.apply_row(1_000, store.row.clone());
    run(&mut b, &mut store, 1_000, 1_100);
    // The store is away for the holder, whose lease expires.
    let mut last_order_ms = 0;
    for now_ms in (1_000..5_000).step_by(100) {
        if let Some(action) = a.tick(now_ms) {
            a.apply_reply(now_ms, now_ms, action, StoreReply::Unknown);
        }
        if a.epoch(now_ms).is_some() {
            last_order_ms = now_ms;
        }
    }
    assert_that!(last_order_ms, all!(gt(2_800), lt(5_000)));
    pass_through(&mut b, &mut store);
    let again_ms = acquired_ms(&mut a, &mut store, 5_500).expect("the lease is free in the end");
    assert_that!(again_ms, gt(last_order_ms + LEASE_MS));
}

// An earlier process of the VM may have held the lease until just before.
#[test]
fn process_that_starts_takes_no_turns_with_one_that_has_released_the_lease() {
    let mut store = Store::default();
    let (mut a, mut b) = (lease("a", false), lease("b", false));
    a.apply_row(0, None);
    run(&mut a, &mut store, 0, 4_900);
    b.apply_row(1_000, store.row.clone());
    let release = a.release().expect("the holder releases");
    store.write(&release);
    b.apply_row(5_000, store.row.clone());
    pass_through(&mut b, &mut store);
    let mut again = OrderLease::new(VmId::from("a"), 2, LEASE_MS, false);
    let again_ms =
        acquired_ms(&mut again, &mut store, 5_500).expect("the lease is free in the end");
    assert_that!(again_ms, gt(4_900 + LEASE_MS));
}

// A renewal in flight changed the version that the release expected.
#[test]
fn release_that_conflicts_with_an_own_renewal_is_retried() {
    let mut store = Store::default();
    let mut a = lease("a", true);
    a.apply_row(0, None);
    run(&mut a, &mut store, 0, 1_000);
    let renewal = a.tick(1_100).expect("a renewal is due");
    let release = a.release().expect("the holder releases");
    store.write(&renewal);
    let reply = store.write(&release);
    a.apply_reply(1_110, 1_100, release, reply);
    let release = a.release().expect("the holder releases again");
    assert_that!(
        store.write(&release),
        eq(&StoreReply::Written(store.counter))
    );
    assert_that!(
        store.row.as_ref().is_some_and(|(row, _)| row.released),
        eq(true)
    );
}

#[test]
fn restarted_vm_reacquires_its_own_lease_at_once() {
    let mut store = Store::default();
    let mut before = lease("a", true);
    before.apply_row(0, None);
    run(&mut before, &mut store, 0, 1_000);
    let mut after =
        OrderLease::new(VmId::from("a"), 2, LEASE_MS, true).with_acquisition_delay_ms(900);
    after.apply_row(1_500, store.row.clone());
    run(&mut after, &mut store, 1_500, 1_700);
    assert_that!(after.epoch(1_700), some(eq(2)));
}

#[test]
fn vm_with_acquisition_delay_acquires_a_free_lease_only_after_it() {
    let mut store = Store::default();
    let mut delayed = lease("a", true).with_acquisition_delay_ms(900);
    delayed.apply_row(0, None);
    run(&mut delayed, &mut store, 0, 900);
    assert_that!(delayed.epoch(900), none());
    run(&mut delayed, &mut store, 900, 1_100);
    assert_that!(delayed.epoch(1_100), some(eq(1)));
}

/// One order that a gateway sent, with the epoch of its lease.
#[derive(Clone, Copy, Debug)]
struct SentOrder {
    at_ms: u64,
    holder: usize,
    epoch: u64,
}

/// Simulates three gateways with pauses, lost answers, late writes and partial store outages.
fn simulate_orders(seed: u64, endpoints_check_epoch: bool) -> Vec<SentOrder> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut store = Store::default();
    let names = ["a", "b", "c"];
    let mut leases: Vec<OrderLease> = names
        .iter()
        .map(|name| lease(name, endpoints_check_epoch))
        .collect();
    let mut paused_until = [0_u64; 3];
    let mut disconnected_until = [0_u64; 3];
    let mut late_writes: Vec<(u64, LeaseAction)> = Vec::new();
    let mut sent_orders = Vec::new();
    for now_ms in (0..60_000).step_by(usize::try_from(TICK_MS).expect("a small number")) {
        let due: Vec<_> = late_writes
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .collect();
        for (_, action) in due {
            store.write(&action);
        }
        for i in 0..leases.len() {
            if now_ms < paused_until[i] {
                continue;
            }
            match random.random_range(0..400) {
                0 => paused_until[i] = now_ms + random.random_range(500..8_000),
                1 => disconnected_until[i] = now_ms + random.random_range(500..9_000),
                _ => {}
            }
            let is_disconnected = now_ms < disconnected_until[i];
            if !is_disconnected {
                leases[i].apply_row(now_ms, store.row.clone());
            }
            if let Some(action) = leases[i].tick(now_ms) {
                let reply = match random.random_range(0..10) {
                    _ if is_disconnected => StoreReply::Unknown,
                    0 => {
                        store.write(&action);
                        StoreReply::Unknown
                    }
                    1 => {
                        late_writes
                            .push((now_ms + random.random_range(500..6_000), action.clone()));
                        StoreReply::Unknown
                    }
                    2 => StoreReply::Refused,
                    _ => store.write(&action),
                };
                leases[i].apply_reply(now_ms, now_ms, action, reply);
            }
            if let Some(epoch) = leases[i].epoch(now_ms) {
                sent_orders.push(SentOrder {
                    at_ms: now_ms,
                    holder: i,
                    epoch,
                });
            }
        }
    }
    sent_orders
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    })]

    #[test]
    fn no_two_holders_share_an_epoch(seed in any::<u64>(), endpoints_check_epoch in any::<bool>()) {
        let sent_orders = simulate_orders(seed, endpoints_check_epoch);
        for order in &sent_orders {
            let other = sent_orders.iter().find(|other| other.epoch == order.epoch && other.holder != order.holder);
            prop_assert!(other.is_none(), "{order:?} and {other:?}");
        }
    }

    #[test]
    fn without_epoch_checks_each_new_holder_sends_later_with_a_higher_epoch(seed in any::<u64>()) {
        let sent_orders = simulate_orders(seed, false);
        for pair in sent_orders.windows(2) {
            let [before, after] = pair else { continue };
            if before.holder != after.holder {
                prop_assert!(before.epoch < after.epoch, "{before:?} then {after:?}");
                prop_assert!(after.at_ms - before.at_ms >= TICK_MS, "{before:?} then {after:?}");
            }
        }
    }

    #[test]
    fn lease_holders_send_over_150_orders_in_600_ticks(seed in any::<u64>()) {
        let sent_orders = simulate_orders(seed, true);
        prop_assert!(sent_orders.len() > 150, "{} orders in 600 ticks", sent_orders.len());
    }
}
