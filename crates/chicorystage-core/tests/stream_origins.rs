//! Which software version a stream that is taken up again goes on at.

use std::collections::BTreeSet;

use chicorystage_api::name::{ServiceName, SoftwareVersion, StreamId};
use chicorystage_core::stream_origins::{
    BegunStreams, LINGER_MS, LiveStream, LiveStreams, ResumeTarget, STREAM_LIFE_MS,
    SoftwareHistory, SoftwareSpan,
};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW_UNIX_MS: u64 = 1_000_000;
/// Longest time in which the lease holder writes a history that has changed, in milliseconds.
const WRITTEN_MS: u64 = 1_000;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(27),
        failure_persistence: None,
        ..ProptestConfig::with_cases(500)
    }
}

fn service() -> ServiceName {
    ServiceName::from("llm")
}

fn version(number: usize) -> SoftwareVersion {
    SoftwareVersion::from(format!("v{number}"))
}

fn registered(numbers: &[usize]) -> BTreeSet<SoftwareVersion> {
    numbers.iter().map(|&number| version(number)).collect()
}

#[gtest]
fn unknown_stream_goes_on_only_where_one_version_served_lately() {
    let history = SoftwareHistory::default();
    let target =
        |numbers: &[usize]| history.resume_target(NOW_UNIX_MS, &service(), &registered(numbers));
    expect_that!(target(&[]), eq(&ResumeTarget::Any));
    expect_that!(target(&[1]), eq(&ResumeTarget::Version(version(1))));
    expect_that!(target(&[1, 2]), eq(&ResumeTarget::Unknown));
}

#[gtest]
fn version_that_left_counts_for_as_long_as_its_streams_may_be_taken_up() {
    let mut history = SoftwareHistory::default();
    for numbers in [&[1][..], &[2]] {
        let changed = history.changed(NOW_UNIX_MS, &service(), &registered(numbers));
        history.replace(service(), changed.unwrap_or_default());
    }
    let target =
        |after_ms| history.resume_target(NOW_UNIX_MS + after_ms, &service(), &registered(&[2]));
    let counted_ms = LINGER_MS + STREAM_LIFE_MS;
    expect_that!(target(counted_ms - 1), eq(&ResumeTarget::Unknown));
    expect_that!(target(counted_ms), eq(&ResumeTarget::Version(version(2))));
}

#[gtest]
fn history_is_stored_again_only_when_the_versions_change() {
    let mut history = SoftwareHistory::default();
    let first = history.changed(NOW_UNIX_MS, &service(), &registered(&[1]));
    expect_that!(first, some(anything()));
    history.replace(service(), first.unwrap_or_default());
    let again = history.changed(NOW_UNIX_MS + 1, &service(), &registered(&[1]));
    expect_that!(again, none());
    let gone = history.changed(NOW_UNIX_MS + 2, &service(), &registered(&[]));
    history.replace(service(), gone.unwrap_or_default());
    let still_gone = history.changed(NOW_UNIX_MS + 3, &service(), &registered(&[]));
    expect_that!(still_gone, none());
}

#[gtest]
fn stream_keeps_the_version_that_began_it_until_it_is_forgotten() {
    let mut begun = BegunStreams::default();
    let stream = StreamId::from("a");
    begun.record(0, stream.clone(), version(1));
    begun.record(10, stream.clone(), version(2));
    expect_that!(begun.version(&stream), some(eq(&version(1))));
    begun.record(STREAM_LIFE_MS, StreamId::from("b"), version(2));
    expect_that!(begun.version(&stream), none());
}

#[gtest]
fn streams_that_are_whole_or_over_are_not_stored() {
    let mut live = LiveStreams::default();
    for (id, ends_unix_ms) in [("whole", 300), ("over", 100), ("open", 300)] {
        let stream = LiveStream {
            stream: StreamId::from(id),
            software: version(1),
            ends_unix_ms,
        };
        live.begin(0, stream, id == "open");
    }
    live.end(&StreamId::from("whole"));
    expect_that!(live.is_changed(), is_true());
    let stored = live.take(200);
    let ids: Vec<&str> = stored.iter().map(|live| live.stream.as_str()).collect();
    expect_that!(ids, elements_are![eq(&"open")]);
    expect_that!(live.is_changed(), is_false());
}

#[gtest]
fn streams_that_are_never_whole_nor_stored_are_forgotten() {
    let mut live = LiveStreams::default();
    for number in 0..20_000 {
        let stream = LiveStream {
            stream: StreamId::from(format!("s{number}")),
            software: version(1),
            ends_unix_ms: number + 100,
        };
        live.begin(number, stream, false);
    }
    expect_that!(live.len(), le(2_000));
}

proptest! {
    #![proptest_config(config())]

    // Gateways that have all just started know nothing but the registry and the stored history.
    #[test]
    fn unknown_stream_never_goes_on_at_another_version(
        steps in prop::collection::vec(
            (0_u64..20_000, prop::collection::btree_set(0_usize..3, 0..3), any::<bool>()),
            1..20,
        ),
        age_ms in 0..STREAM_LIFE_MS, after_ms in 0_u64..30_000,
    ) {
        let mut history = SoftwareHistory::default();
        let mut now_ms = NOW_UNIX_MS;
        // Times in which versions were registered, with the version.
        let mut spans: Vec<(u64, u64, usize)> = Vec::new();
        let mut numbers: Vec<usize> = Vec::new();
        for (length_ms, next, is_written_late) in steps {
            numbers = next.into_iter().collect();
            let written_ms = if is_written_late { WRITTEN_MS } else { 0 };
            let changed =
                history.changed(now_ms + written_ms, &service(), &registered(&numbers));
            if let Some(changed) = changed {
                history.replace(service(), changed);
            }
            let end_ms = now_ms + WRITTEN_MS + length_ms;
            spans.extend(numbers.iter().map(|&number| (now_ms, end_ms, number)));
            now_ms = end_ms;
        }
        let taken_up_ms = now_ms + after_ms;
        let target = history.resume_target(taken_up_ms, &service(), &registered(&numbers));
        let began_ms = taken_up_ms - age_ms.min(taken_up_ms);
        let began = spans.iter().filter(|(from_ms, end_ms, _)| (*from_ms..*end_ms).contains(&began_ms));
        for (_, _, number) in began {
            let is_other = target != ResumeTarget::Unknown
                && target != ResumeTarget::Version(version(*number));
            prop_assert!(!is_other, "begun at v{number} at {began_ms}, now {target:?}");
        }
    }
}

fn span(number: usize, gone_unix_ms: Option<u64>) -> SoftwareSpan {
    SoftwareSpan {
        version: version(number),
        gone_unix_ms,
    }
}

// A version that came after the copy was taken and has left since began streams that callers still hold.
#[gtest]
fn version_that_a_restored_copy_lacks_is_remembered_and_stored_again() {
    let mut history = SoftwareHistory::default();
    history.replace(service(), vec![span(1, None), span(2, None)]);
    history.store_restored();
    history.replace(service(), vec![span(1, None)]);
    let target = history.resume_target(NOW_UNIX_MS, &service(), &registered(&[1]));
    expect_that!(target, eq(&ResumeTarget::Unknown));
    // No stream begins at a version that is not in the store.
    expect_that!(history.recorded(&service()), eq(&registered(&[1])));
    let stored = vec![span(1, None), span(2, Some(NOW_UNIX_MS))];
    let changed = history.changed(NOW_UNIX_MS, &service(), &registered(&[1]));
    expect_that!(changed, some(eq(&stored)));
    history.replace(service(), stored);
    let changed = history.changed(NOW_UNIX_MS, &service(), &registered(&[1]));
    expect_that!(changed, none());
}

#[gtest]
fn version_that_left_long_before_a_copy_was_restored_is_not_stored_again() {
    let mut history = SoftwareHistory::default();
    let gone_unix_ms = NOW_UNIX_MS - 15 * STREAM_LIFE_MS;
    history.replace(service(), vec![span(1, Some(gone_unix_ms))]);
    history.store_restored();
    history.replace(service(), Vec::new());
    let changed = history.changed(NOW_UNIX_MS, &service(), &registered(&[]));
    expect_that!(changed, none());
}
