//! Streams that callers take up again at engines of several software versions, after gateways that
//! are processes of their own were killed.

#[expect(dead_code, reason = "each test binary uses a part of the set")]
mod process_set;
mod rejoined_world;

use std::time::Duration;

use chicorystage_testbed::users_platform::run_local;
use googletest::prelude::*;

use crate::rejoined_world::{GATEWAYS, STREAMS, World, broken};

const TWO_VERSIONS: [&str; 4] = ["v1", "v2", "v1", "v2"];

#[gtest]
fn stream_of_a_killed_gateway_goes_on_at_the_version_that_began_it() -> Result<()> {
    run_local(async {
        let mut world = World::start("one-killed", &TWO_VERSIONS).await?;
        let streams = world.begin_streams().await;
        world.gateways.restart(1).await?;
        let streams = broken(streams).await?;
        verify_that!(streams.len(), eq(STREAMS / GATEWAYS))?;
        let taken_up = world.take_up(&streams, 1).await;
        verify_that!(taken_up.other_version, eq(0))?;
        // Half of them must go on.
        verify_that!(taken_up.same_version, ge(streams.len() / 2))?;
        world.gateways.stop().await
    })
}

#[gtest]
fn streams_of_two_versions_are_not_joined_after_all_gateways_were_killed() -> Result<()> {
    run_local(async {
        let mut world = World::start("all-killed", &TWO_VERSIONS).await?;
        let streams = world.begin_streams().await;
        world.gateways.restart(GATEWAYS).await?;
        let streams = broken(streams).await?;
        verify_that!(streams.len(), eq(STREAMS))?;
        let taken_up = world.take_up(&streams, 1).await;
        verify_that!(taken_up.other_version, eq(0))?;
        world.gateways.stop().await
    })
}

#[gtest]
fn streams_of_two_versions_go_on_at_theirs_after_all_gateways_were_killed() -> Result<()> {
    run_local(async {
        let mut world = World::start("all-go-on", &TWO_VERSIONS).await?;
        let streams = world.begin_streams().await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        world.gateways.restart(GATEWAYS).await?;
        let streams = broken(streams).await?;
        let taken_up = world.take_up(&streams, 1).await;
        verify_that!(taken_up.other_version, eq(0))?;
        verify_that!(taken_up.same_version, ge(streams.len() / 2))?;
        // Those that a gateway did not begin itself are known after a second kill as well.
        world.gateways.restart(GATEWAYS).await?;
        let taken_up = world.take_up(&streams, 2).await;
        verify_that!(taken_up.other_version, eq(0))?;
        verify_that!(taken_up.same_version, ge(streams.len() / 2))?;
        world.gateways.stop().await
    })
}

#[gtest]
fn stream_of_a_version_that_has_just_left_is_not_joined_after_all_gateways_were_killed()
-> Result<()> {
    run_local(async {
        let mut world = World::start("left", &TWO_VERSIONS).await?;
        let streams = world.begin_streams().await;
        world.remove_version("v1").await;
        world.gateways.restart(GATEWAYS).await?;
        let streams = broken(streams).await?;
        let taken_up = world.take_up(&streams, 1).await;
        verify_that!(taken_up.other_version, eq(0))?;
        world.gateways.stop().await
    })
}

#[gtest]
fn streams_of_the_only_version_go_on_after_all_gateways_were_killed() -> Result<()> {
    run_local(async {
        let mut world = World::start("one-version", &["v1"; 4]).await?;
        let streams = world.begin_streams().await;
        world.gateways.restart(GATEWAYS).await?;
        let streams = broken(streams).await?;
        verify_that!(streams.len(), eq(STREAMS))?;
        let taken_up = world.take_up(&streams, 1).await;
        verify_that!(taken_up.same_version, ge(streams.len() / 2))?;
        world.gateways.stop().await
    })
}
