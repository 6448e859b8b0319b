//! Routers and agents that are terminated while they stream answers.

use std::time::Duration;

use chicorystage_testbed::deployment::Signal;
use googletest::prelude::*;
use tokio::time::sleep;

use crate::bed::{
    agent_with_load, completion, expected_text, start_deployment, streamed, until_served,
};

#[gtest]
#[tokio::test]
async fn terminated_router_finishes_accepted_requests_and_exits_successfully() {
    let mut deployment = start_deployment().await;
    until_served(&deployment, 0, &completion(5)).await;
    let request = streamed(400);
    let sends = (0..6).map(|_| deployment.send(0, &request));
    let terminate = async {
        sleep(Duration::from_millis(200)).await;
        let router = &deployment.routers[0].process;
        router
            .signal(Signal::Terminate)
            .await
            .expect("is signalled");
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(sends), terminate);
    for answer in answers {
        let answer = answer.expect("answers");
        expect_that!(answer.is_served(), is_true(), "{}", answer.body);
        expect_that!(answer.text(), eq(&expected_text(400)));
    }
    let status = deployment.routers[0].process.wait().await.expect("ends");
    expect_that!(status.success(), is_true());
    until_served(&deployment, 1, &completion(5)).await;
    deployment.routers.remove(0);
    deployment.stop().await.expect("stops");
}

#[gtest]
#[tokio::test]
async fn terminated_agent_finishes_running_requests_and_exits_successfully() {
    let mut deployment = start_deployment().await;
    until_served(&deployment, 0, &completion(5)).await;
    let i = agent_with_load(&deployment).await.expect("has loaded");
    let request = streamed(400);
    let sends = (0..6).map(|i| deployment.send(i % 2, &request));
    let terminate = async {
        sleep(Duration::from_millis(200)).await;
        let agent = &deployment.agents[i].process;
        agent.signal(Signal::Terminate).await.expect("is signalled");
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(sends), terminate);
    for answer in answers {
        let answer = answer.expect("answers");
        expect_that!(answer.is_served(), is_true(), "{}", answer.body);
        expect_that!(answer.text(), eq(&expected_text(400)));
    }
    let status = deployment.agents[i].process.wait().await.expect("ends");
    expect_that!(status.success(), is_true());
    let answer = until_served(&deployment, 1, &completion(5)).await;
    expect_that!(answer.text(), eq(&expected_text(5)));
    deployment.agents.remove(i);
    deployment.stop().await.expect("stops");
}
