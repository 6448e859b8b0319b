//! Routers never serve on replaced rules beyond the staleness bound.
//!
//! A router admits requests while its revision was confirmed recently enough: by the inventory
//! head, by a peer that read the head, or by a majority of the routers. An outage of the table
//! alone does not stop admission.

use std::collections::BTreeSet;

use chicorystage_api::name::VmId;
use chicorystage_core::freshness::{Freshness, PeerAnswer, Probe};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const BOUND_MS: u64 = 3_000;
const CASES: u32 = 600;
const STEPS_MAX: usize = 160;

/// One step of a random schedule.
#[derive(Clone, Debug)]
enum Step {
    Wait { ms: u64 },
    Commit,
    Deliver { router: Index },
    QueryHead { router: Index },
    QueryPeer { router: Index, peer: Index },
    Answer { pending: Index, catches_up: bool },
    Restart { router: Index, snapshot: Index },
}

/// A query whose answer is in flight.
///
/// The content of the answer is fixed when the query is sent: the worst case, since the answer
/// is then as old as it can be.
#[derive(Clone, Debug)]
struct PendingQuery {
    router: usize,
    started_ms: u64,
    asked_ms: u64,
    revision: u64,
    peer: Option<(VmId, u64)>,
}

struct Router {
    freshness: Freshness,
    started_ms: u64,
    revision: u64,
}

struct World {
    now_ms: u64,
    head: u64,
    routers: Vec<Router>,
    acks: Vec<BTreeSet<usize>>,
    accepted_ms: Vec<Option<u64>>,
    pending: Vec<PendingQuery>,
}

fn vm(i: usize) -> VmId {
    VmId::from(format!("entry-{i}"))
}

fn listed(count: usize) -> BTreeSet<VmId> {
    (0..count).map(vm).collect()
}

fn new_freshness(i: usize, count: usize) -> Freshness {
    let mut freshness = Freshness::new(vm(i), BOUND_MS);
    freshness.set_listed(listed(count));
    freshness
}

impl World {
    fn new(count: usize) -> Self {
        let router = |i| Router {
            freshness: new_freshness(i, count),
            started_ms: 0,
            revision: 0,
        };
        let mut world = Self {
            now_ms: 0,
            head: 1,
            routers: (0..count).map(router).collect(),
            acks: vec![BTreeSet::new(), (0..count).collect()],
            accepted_ms: vec![None, Some(0)],
            pending: Vec::new(),
        };
        for i in 0..count {
            world.apply_revision(i, 1);
            world.routers[i].freshness.record_head(1, 0);
        }
        world
    }

    fn local_ms(&self, i: usize) -> u64 {
        self.now_ms - self.routers[i].started_ms
    }

    fn apply_revision(&mut self, i: usize, revision: u64) {
        let router = &mut self.routers[i];
        router.revision = router.revision.max(revision);
        router.freshness.set_in_force(router.revision);
    }

    fn step(&mut self, step: &Step) {
        let count = self.routers.len();
        match step {
            Step::Wait { ms } => self.now_ms += ms,
            Step::Commit => {
                self.head += 1;
                self.acks.push(BTreeSet::new());
                self.accepted_ms.push(None);
            }
            Step::Deliver { router } => self.deliver(router.index(count)),
            Step::QueryHead { router } => {
                let i = router.index(count);
                self.send_query(i, self.head, None);
            }
            Step::QueryPeer { router, peer } => {
                let (i, peer) = (router.index(count), peer.index(count));
                let answering = &self.routers[peer];
                let age_ms = answering.freshness.confirmed_age_ms(self.local_ms(peer));
                self.send_query(i, answering.revision, Some((vm(peer), age_ms)));
            }
            Step::Answer {
                pending,
                catches_up,
            } => {
                if !self.pending.is_empty() {
                    let answer = self.pending.swap_remove(pending.index(self.pending.len()));
                    self.apply_answer(answer, *catches_up);
                }
            }
            Step::Restart { router, snapshot } => {
                let i = router.index(count);
                let revision = snapshot.index(usize::try_from(self.head).unwrap() + 1);
                self.routers[i] = Router {
                    freshness: new_freshness(i, count),
                    started_ms: self.now_ms,
                    revision: 0,
                };
                self.apply_revision(i, revision as u64);
            }
        }
    }

    /// Delivers the newest record; a router that missed an earlier record doesn't acknowledge it.
    fn deliver(&mut self, i: usize) {
        if self.routers[i].revision + 1 >= self.head {
            self.apply_revision(i, self.head);
            let revision = usize::try_from(self.head).unwrap();
            self.acks[revision].insert(i);
            if self.acks[revision].len() * 2 > self.routers.len() {
                self.accepted_ms[revision].get_or_insert(self.now_ms);
            }
        }
    }

    fn send_query(&mut self, router: usize, revision: u64, peer: Option<(VmId, u64)>) {
        self.pending.push(PendingQuery {
            router,
            started_ms: self.routers[router].started_ms,
            asked_ms: self.local_ms(router),
            revision,
            peer,
        });
    }

    fn apply_answer(&mut self, answer: PendingQuery, catches_up: bool) {
        let i = answer.router;
        if self.routers[i].started_ms != answer.started_ms {
            return;
        }
        if catches_up {
            self.apply_revision(i, answer.revision);
        }
        let freshness = &mut self.routers[i].freshness;
        match answer.peer {
            None => freshness.record_head(answer.revision, answer.asked_ms),
            Some((vm, confirmed_age_ms)) => freshness.record_peer_answer(PeerAnswer {
                vm,
                query_sent_ms: answer.asked_ms,
                revision: answer.revision,
                confirmed_age_ms,
            }),
        }
    }

    fn check(&self) -> std::result::Result<(), TestCaseError> {
        for (i, router) in self.routers.iter().enumerate() {
            if !router.freshness.admits(self.local_ms(i)) {
                continue;
            }
            let first_unapplied = usize::try_from(router.revision).unwrap() + 1;
            for (revision, accepted_ms) in self.accepted_ms.iter().enumerate().skip(first_unapplied)
            {
                let Some(accepted_ms) = accepted_ms else {
                    continue;
                };
                prop_assert!(
                    self.now_ms <= accepted_ms + BOUND_MS,
                    "router {i} serves revision {} at {} ms; {revision} was accepted at {accepted_ms} ms",
                    router.revision,
                    self.now_ms
                );
            }
        }
        Ok(())
    }
}

fn any_step() -> impl Strategy<Value = Step> {
    let index = any::<Index>;
    prop_oneof![
        4 => (1_u64..1_500).prop_map(|ms| Step::Wait { ms }),
        1 => Just(Step::Commit),
        3 => index().prop_map(|router| Step::Deliver { router }),
        1 => index().prop_map(|router| Step::QueryHead { router }),
        5 => (index(), index()).prop_map(|(router, peer)| Step::QueryPeer { router, peer }),
        6 => (index(), any::<bool>())
            .prop_map(|(pending, catches_up)| Step::Answer { pending, catches_up }),
        1 => (index(), index()).prop_map(|(router, snapshot)| Step::Restart { router, snapshot }),
    ]
}

#[gtest]
fn no_router_serves_replaced_rules_after_the_bound() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedules = (
        prop_oneof![Just(3_usize), Just(4), Just(5)],
        prop::collection::vec(any_step(), 1..STEPS_MAX),
    );
    let outcome = runner.run(&schedules, |(count, steps)| {
        let mut world = World::new(count);
        for step in &steps {
            world.step(step);
            world.check()?;
        }
        Ok(())
    });
    verify_that!(outcome.map_err(|error| error.to_string()), ok(eq(&()))).and_log_failure();
}

fn peer(i: usize, asked_ms: u64, confirmed_age_ms: u64) -> PeerAnswer {
    PeerAnswer {
        vm: vm(i),
        query_sent_ms: asked_ms,
        revision: 1,
        confirmed_age_ms,
    }
}

fn confirmed_at_start() -> Freshness {
    let mut freshness = new_freshness(0, 3);
    freshness.set_in_force(1);
    freshness.record_head(1, 0);
    freshness
}

#[gtest]
fn majority_keeps_a_router_fresh_during_a_long_table_outage() {
    let mut freshness = confirmed_at_start();
    expect_that!(freshness.admits(BOUND_MS), is_true());
    expect_that!(freshness.admits(BOUND_MS + 1), is_false());
    freshness.record_peer_answer(peer(1, 600_000, 600_000));
    expect_that!(freshness.admits(600_000 + BOUND_MS), is_true());
    expect_that!(freshness.admits(600_001 + BOUND_MS), is_false());
}

#[gtest]
fn peer_that_read_the_head_recently_confirms_freshness() {
    let mut freshness = new_freshness(0, 7);
    freshness.set_in_force(1);
    freshness.record_peer_answer(peer(1, 10_000, 400));
    expect_that!(freshness.confirmed_age_ms(10_000), eq(400));
    expect_that!(freshness.admits(9_600 + BOUND_MS), is_true());
    expect_that!(freshness.admits(9_601 + BOUND_MS), is_false());
}

#[gtest]
fn router_started_during_an_outage_needs_a_majority_without_itself() {
    let mut freshness = new_freshness(0, 3);
    freshness.set_in_force(1);
    freshness.record_peer_answer(peer(1, 5_000, 90_000));
    expect_that!(freshness.admits(5_000), is_false());
    freshness.record_peer_answer(peer(2, 5_000, 90_000));
    expect_that!(freshness.admits(5_000), is_true());
}

#[gtest]
fn peers_are_queried_only_when_the_head_is_overdue() {
    let freshness = confirmed_at_start();
    expect_that!(freshness.probe(1_000), eq(Probe::None));
    expect_that!(freshness.probe(1_300), eq(Probe::Few));
    expect_that!(freshness.probe(1_900), eq(Probe::All));
}
