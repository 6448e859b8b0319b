//! Random schedules of gateways that see registry and store late: no stream goes on at another version.

use std::collections::{BTreeSet, HashMap};

use chicorystage_api::name::{ServiceName, SoftwareVersion};
use chicorystage_core::stream_origins::{
    LINGER_MS, ResumeTarget, STREAM_LIFE_MS, SoftwareHistory, SoftwareSpan,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const GATEWAYS: usize = 2;
const VERSIONS: usize = 2;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(54),
        failure_persistence: None,
        ..ProptestConfig::with_cases(1_500)
    }
}

/// One step of a schedule; gateways and versions are named by number.
#[derive(Clone, Debug)]
enum Step {
    /// The registered versions change.
    Register(BTreeSet<usize>),
    /// A gateway reads the registry.
    SeeRegistry(usize),
    /// A gateway reads the row of versions, as its feed does.
    SeeRow(usize),
    /// A gateway adds versions that the row lacks.
    Extend(usize),
    /// The lease holder writes what has changed.
    Update(usize),
    /// A stream begins through a gateway at a version that its view has.
    Begin(usize, usize),
    /// A gateway that knows no stream takes one up, after it has read the row.
    TakeUp(usize),
    /// All gateways are killed and start again with what the store has.
    KillAll,
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let gateway = || 0..GATEWAYS;
    prop_oneof![
        prop::collection::btree_set(0..VERSIONS, 0..3).prop_map(Step::Register),
        gateway().prop_map(Step::SeeRegistry),
        gateway().prop_map(Step::SeeRow),
        gateway().prop_map(Step::Extend),
        gateway().prop_map(Step::Update),
        (gateway(), 0..VERSIONS).prop_map(|(gateway, version)| Step::Begin(gateway, version)),
        gateway().prop_map(Step::TakeUp),
        Just(Step::KillAll),
        (1..STREAM_LIFE_MS / 2).prop_map(Step::Wait),
    ]
}

fn service() -> ServiceName {
    ServiceName::from("llm")
}

fn name(version: usize) -> SoftwareVersion {
    SoftwareVersion::from(format!("v{version}"))
}

/// What one gateway has seen of the registry and of the row.
#[derive(Clone, Debug, Default)]
struct Gateway {
    registered: BTreeSet<SoftwareVersion>,
    history: SoftwareHistory,
    /// Version of the row as last seen.
    row_version: u64,
}

#[derive(Debug, Default)]
struct World {
    now_ms: u64,
    registered: BTreeSet<SoftwareVersion>,
    row: Vec<SoftwareSpan>,
    row_version: u64,
    gateways: Vec<Gateway>,
    /// Streams with the version and the time at which they began.
    begun: HashMap<u64, (SoftwareVersion, u64)>,
}

impl World {
    fn new() -> Self {
        Self {
            now_ms: 1_000_000,
            gateways: vec![Gateway::default(); GATEWAYS],
            ..Self::default()
        }
    }

    fn see_row(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        gateway.history.replace(service(), self.row.clone());
        gateway.row_version = self.row_version;
    }

    /// Writes the row if the gateway has seen its latest version; else it sees that.
    fn write(&mut self, number: usize, spans: Option<Vec<SoftwareSpan>>) {
        let Some(spans) = spans else {
            return;
        };
        if self.gateways[number].row_version == self.row_version {
            self.row = spans;
            self.row_version += 1;
        }
        self.see_row(number);
    }

    /// Plays a step; returns the versions of streams that would be joined with others.
    fn play(&mut self, step: Step) -> Vec<SoftwareVersion> {
        match step {
            Step::Register(versions) => self.registered = versions.into_iter().map(name).collect(),
            Step::SeeRegistry(number) => {
                let seen = &mut self.gateways[number].registered;
                seen.clone_from(&self.registered);
            }
            Step::SeeRow(number) => self.see_row(number),
            Step::Extend(number) => {
                let Gateway {
                    registered,
                    history,
                    ..
                } = &self.gateways[number];
                let spans = history.extended(self.now_ms, &service(), registered);
                self.write(number, spans);
            }
            Step::Update(number) => {
                let Gateway {
                    registered,
                    history,
                    ..
                } = &self.gateways[number];
                let spans = history.changed(self.now_ms, &service(), registered);
                self.write(number, spans);
            }
            Step::Begin(number, version) => self.begin(number, name(version)),
            Step::TakeUp(number) => return self.joined_by(number),
            Step::KillAll => self.gateways = vec![Gateway::default(); GATEWAYS],
            Step::Wait(time_ms) => self.now_ms += time_ms,
        }
        Vec::new()
    }

    /// Begins a stream where the gateway knows an endpoint of a version that is recorded.
    fn begin(&mut self, number: usize, version: SoftwareVersion) {
        let gateway = &self.gateways[number];
        let is_recorded = gateway.history.recorded(&service()).contains(&version);
        // The gateway's view may be older; the endpoint itself ends some time after its entry.
        let serves = self.row.iter().any(|span| {
            let is_there = |gone_ms| self.now_ms < gone_ms + LINGER_MS;
            span.version == version && span.gone_unix_ms.is_none_or(is_there)
        });
        if gateway.registered.contains(&version) && is_recorded && serves {
            let id = self.begun.len() as u64;
            self.begun.insert(id, (version, self.now_ms));
        }
    }

    /// Returns the versions of live streams that this gateway would let go on at another one.
    fn joined_by(&mut self, number: usize) -> Vec<SoftwareVersion> {
        self.see_row(number);
        let gateway = &self.gateways[number];
        let target = gateway
            .history
            .resume_target(self.now_ms, &service(), &gateway.registered);
        let live = self
            .begun
            .values()
            .filter(|(_, began_ms)| self.now_ms < began_ms + STREAM_LIFE_MS);
        let joined = live.filter(|(version, _)| {
            target != ResumeTarget::Unknown && target != ResumeTarget::Version(version.clone())
        });
        joined.map(|(version, _)| version.clone()).collect()
    }
}

proptest! {
    #![proptest_config(config())]

    // Streams begin at recorded versions only, and the row is read after one is taken up.
    #[test]
    fn stream_that_no_gateway_knows_never_goes_on_at_another_version(
        steps in prop::collection::vec(step(), 1..100),
    ) {
        let mut world = World::new();
        for step in steps {
            let joined = world.play(step.clone());
            prop_assert!(joined.is_empty(), "{step:?} joins streams of {joined:?}");
        }
    }
}

// A gateway out of touch with the store begins streams at an endpoint that has lost its entry and serves on.
#[test]
fn stream_that_began_after_its_version_was_taken_for_gone_is_not_joined() {
    let mut world = World::new();
    let steps = [
        Step::Register([0, 1].into()),
        Step::SeeRegistry(0),
        Step::Extend(0),
        Step::SeeRow(1),
        Step::Register([1].into()),
        Step::SeeRegistry(1),
        Step::Update(1),
        Step::Wait(LINGER_MS - 1_000),
        Step::Begin(0, 0),
        Step::Wait(STREAM_LIFE_MS / 2 + 2_000),
        Step::TakeUp(1),
    ];
    for step in steps {
        assert!(world.play(step).is_empty());
    }
    assert_eq!(world.begun.len(), 1);
}
