//! Requests that share a part of their prompt on which endpoints crash, at several gateways that are
//! processes of their own.

#[expect(dead_code, reason = "each test binary uses a part of the set")]
mod process_set;
mod prompt_parts_world;

use std::time::Duration;

use chicorystage_testbed::users_platform::{BeforeCrash, run_local};
use googletest::prelude::*;

use crate::prompt_parts_world::{GATEWAYS, World};

/// Time without requests after which no part is known to be sound, in milliseconds.
const IDLE_MS: u64 = 11_000;
/// Crashes after which a part must be known as their cause at every gateway in touch.
const CRASHES: usize = 5;
/// Time in which the gateways may learn of it, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Requests with the part that may still reach endpoints after that.
const REACH_MAX: usize = 3;
/// Pause between two sound requests that wait for a trial, in milliseconds.
const TRIAL_PAUSE_MS: u64 = 200;
/// Sound requests after which one must have been let through.
const TRIAL_CALLS_MAX: usize = 60;
/// Number of requests with the part, new ones each, that come after that.
const LATER_REQUESTS: usize = 24;
/// Requests with the part after which five endpoints must have crashed.
const REQUESTS_MAX: usize = 40;

/// Sends requests with the part through all gateways, one after the other, until five endpoints have
/// crashed or they are refused.
async fn send_until_five_crashes(world: &World) -> Result<()> {
    for number in 0..REQUESTS_MAX {
        if world.crashes() >= CRASHES {
            return Ok(());
        }
        world.send_crashing(number % GATEWAYS).await?;
    }
    Ok(())
}

/// Sends later requests with the part; returns how many reach endpoints.
async fn reached_by_later_requests(world: &World) -> Result<usize> {
    tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
    let before = world.received_with_crashing_part();
    for number in 0..LATER_REQUESTS {
        world.send_crashing(number % GATEWAYS).await?;
    }
    Ok(world.received_with_crashing_part() - before)
}

#[gtest]
fn requests_that_share_a_prompt_part_that_crashes_endpoints_are_stopped_at_every_gateway()
-> Result<()> {
    run_local(async {
        let world = World::start("shared").await?;
        let load = world.start_sound_load();
        send_until_five_crashes(&world).await?;
        verify_that!(reached_by_later_requests(&world).await?, le(REACH_MAX))?;
        // Sound requests share the first part with those that are refused.
        for gateway in 0..GATEWAYS {
            verify_that!(world.send_sound(gateway, "s1").await?, is_true())?;
        }
        load.abort();
        world.stop().await
    })
}

#[gtest]
fn prompt_part_that_crashes_endpoints_is_told_from_the_parts_before_it_without_sound_requests()
-> Result<()> {
    run_local(async {
        let world = World::start("alone").await?;
        send_until_five_crashes(&world).await?;
        verify_that!(reached_by_later_requests(&world).await?, le(REACH_MAX))?;
        for gateway in 0..GATEWAYS {
            verify_that!(world.send_sound(gateway, "s1").await?, is_true())?;
        }
        world.stop().await
    })
}

// After an idle time no part is known to be sound, and sound requests share one that is deeper in the prompt
// than the crashing part.
#[gtest]
fn prompt_part_that_crashes_endpoints_is_told_from_the_parts_around_it_after_an_idle_time()
-> Result<()> {
    run_local(async {
        let mut world = World::start("idle").await?;
        world.has_tail = true;
        verify_that!(world.send_sound(0, "s1").await?, is_true())?;
        tokio::time::sleep(Duration::from_millis(IDLE_MS)).await;
        send_until_five_crashes(&world).await?;
        verify_that!(reached_by_later_requests(&world).await?, le(REACH_MAX))?;
        for gateway in 0..GATEWAYS {
            verify_that!(world.send_sound(gateway, "s2").await?, is_true())?;
        }
        world.stop().await
    })
}

// Gateways that have just started remember no answer, and take the deepest part for the cause.
#[gtest]
fn sound_prompt_part_that_was_quarantined_is_served_again_and_the_crashing_one_is_not() -> Result<()>
{
    run_local(async {
        let mut world = World::start("trial").await?;
        world.has_tail = true;
        send_until_five_crashes(&world).await?;
        tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
        let before = world.received_with_crashing_part();
        let mut number = 0;
        while !world.send_sound(number % GATEWAYS, "s1").await? {
            number += 1;
            verify_that!(number, lt(TRIAL_CALLS_MAX))?;
            tokio::time::sleep(Duration::from_millis(TRIAL_PAUSE_MS)).await;
        }
        tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
        for gateway in 0..GATEWAYS {
            verify_that!(world.send_sound(gateway, "s2").await?, is_true())?;
        }
        for number in 0..LATER_REQUESTS {
            world.send_crashing(number % GATEWAYS).await?;
        }
        let reached = world.received_with_crashing_part() - before;
        verify_that!(reached, le(REACH_MAX))?;
        world.stop().await
    })
}

// The crash takes the head of the answer with it, while answers beside it have begun.
#[gtest]
fn prompt_part_whose_answers_never_begin_is_not_hidden_by_parts_of_answers_beside_it() -> Result<()>
{
    run_local(async {
        let world = World::start("hidden").await?;
        world.write_before_crashes(BeforeCrash::Nothing);
        world.begin_streams().await;
        let load = world.start_sound_load();
        send_until_five_crashes(&world).await?;
        verify_that!(reached_by_later_requests(&world).await?, le(REACH_MAX))?;
        for gateway in 0..GATEWAYS {
            verify_that!(world.send_sound(gateway, "s1").await?, is_true())?;
        }
        load.abort();
        world.stop().await
    })
}

// An answer that ends with its connection after an event looks whole.
#[gtest]
fn answer_that_ends_with_its_endpoint_does_not_prove_its_prompt_parts_sound() -> Result<()> {
    run_local(async {
        let world = World::start("ended").await?;
        world.write_before_crashes(BeforeCrash::FirstEvent);
        let load = world.start_sound_load();
        send_until_five_crashes(&world).await?;
        verify_that!(reached_by_later_requests(&world).await?, le(REACH_MAX))?;
        for gateway in 0..GATEWAYS {
            verify_that!(world.send_sound(gateway, "s1").await?, is_true())?;
        }
        load.abort();
        world.stop().await
    })
}

#[gtest]
fn prompt_part_that_crashes_endpoints_is_refused_after_all_gateways_were_killed() -> Result<()> {
    run_local(async {
        let mut world = World::start("killed").await?;
        send_until_five_crashes(&world).await?;
        tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
        world.restart_gateways().await?;
        verify_that!(reached_by_later_requests(&world).await?, le(REACH_MAX))?;
        world.stop().await
    })
}
