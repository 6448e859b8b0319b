//! Processes that are suspended by a signal, and connections that go silent.

use std::time::Duration;

use chicorystage_testbed::audit::TcpRelay;
use chicorystage_testbed::deployment::Signal;
use googletest::prelude::*;
use serde_json::json;
use tokio::time::sleep;

use crate::bed::{balance, completion, expected_text, start_deployment, streamed, until_served};

/// Longer than any silence that a router tolerates, in milliseconds.
const PAUSE_MS: u64 = 4_000;

#[gtest]
#[tokio::test]
async fn suspended_router_serves_again_and_the_other_serves_meanwhile() {
    let deployment = start_deployment().await;
    until_served(&deployment, 0, &completion(5)).await;
    let router = &deployment.routers[0].process;
    router.signal(Signal::Stop).await.expect("is suspended");
    let read = balance();
    let waiting = deployment.send(0, &read);
    let other = async {
        until_served(&deployment, 1, &completion(5)).await;
        sleep(Duration::from_millis(PAUSE_MS)).await;
        router.signal(Signal::Continue).await.expect("is resumed");
    };
    let (waited, ()) = tokio::join!(waiting, other);
    expect_that!(waited.is_ok(), is_true());
    let answer = until_served(&deployment, 0, &completion(5)).await;
    expect_that!(answer.text(), eq(&expected_text(5)));
    deployment.stop().await.expect("stops");
}

#[gtest]
#[tokio::test]
async fn stream_of_a_suspended_agent_completes_or_ends_with_a_refusal() {
    let deployment = start_deployment().await;
    until_served(&deployment, 0, &completion(5)).await;
    let request = streamed(800);
    let stream = deployment.send(0, &request);
    let pause = async {
        sleep(Duration::from_millis(300)).await;
        for agent in &deployment.agents[..deployment.config.engines] {
            agent
                .process
                .signal(Signal::Stop)
                .await
                .expect("is suspended");
        }
        sleep(Duration::from_millis(PAUSE_MS)).await;
        for agent in &deployment.agents[..deployment.config.engines] {
            agent
                .process
                .signal(Signal::Continue)
                .await
                .expect("is resumed");
        }
    };
    let (answer, ()) = tokio::join!(stream, pause);
    let answer = answer.expect("answers");
    if answer.is_served() {
        expect_that!(answer.text(), eq(&expected_text(800)));
    } else {
        expect_that!(answer.code(), some(anything()), "{}", answer.body);
        expect_that!(expected_text(800), starts_with(answer.text()));
    }
    let answer = until_served(&deployment, 1, &completion(5)).await;
    expect_that!(answer.text(), eq(&expected_text(5)));
    deployment.stop().await.expect("stops");
}

#[gtest]
#[tokio::test]
async fn connection_that_goes_silent_during_an_answer_is_replaced() {
    let deployment = start_deployment().await;
    let mut relays = Vec::new();
    for agent in &deployment.agents[..deployment.config.engines] {
        let relay = TcpRelay::start(agent.settings.internal)
            .await
            .expect("listens");
        let entry = json!({
            "id": agent.settings.vm, "address": relay.address, "zone": agent.settings.zone,
            "group": agent.settings.group, "state": "live",
        });
        let platform = deployment.platform;
        deployment
            .post_control(platform, "/control/vms", &entry)
            .await
            .expect("is listed");
        relays.push(relay);
    }
    // Routers read the list once a second.
    sleep(Duration::from_millis(PAUSE_MS)).await;
    until_served(&deployment, 0, &completion(5)).await;
    let request = streamed(600);
    let silence = async {
        for _ in 0..2 {
            sleep(Duration::from_millis(300)).await;
            relays.iter().for_each(TcpRelay::silence_open_connections);
        }
    };
    let (answer, ()) = tokio::join!(deployment.send(0, &request), silence);
    let answer = answer.expect("answers");
    expect_that!(answer.is_served(), is_true(), "{}", answer.body);
    expect_that!(answer.text(), eq(&expected_text(600)));
    deployment.stop().await.expect("stops");
}
