//! Agents that are killed during a load or after a payout ran.

use chicorystage_testbed::audit::EndpointAudit;
use chicorystage_testbed::fakes::ServiceFault;
use googletest::prelude::*;

use crate::bed::{
    MODEL, agent_with_load, completion, expected_text, payout, start_deployment, until_served,
    wait_until,
};

#[gtest]
#[tokio::test]
async fn agent_killed_during_a_load_restarts_without_a_double_load() {
    let mut deployment = start_deployment().await;
    let slow = "/control/weights/slowdown";
    let platform = deployment.platform;
    deployment
        .post_control(platform, slow, &500)
        .await
        .expect("sets");
    let request = completion(5);
    let first = deployment.send(0, &request);
    let loading = wait_until("a load began", || async {
        agent_with_load(&deployment).await.is_some()
    });
    let first = tokio::select! {
        first = first => Some(first),
        () = loading => None,
    };
    expect_that!(first.is_none(), is_true(), "answered before a load began");
    let i = agent_with_load(&deployment).await.expect("a load began");
    deployment.agents[i]
        .process
        .kill()
        .await
        .expect("is killed");
    deployment.agents[i].restart().expect("starts");
    deployment.agents[i]
        .wait_until_ready()
        .await
        .expect("is ready");
    let answer = until_served(&deployment, 1, &request).await;
    expect_that!(answer.text(), eq(&expected_text(5)));
    let audit = EndpointAudit::read(&deployment).await.expect("reads");
    expect_that!(audit.replicas_highest.get(MODEL), some(le(&2)));
    expect_that!(audit.overcommits, eq(0));
    expect_that!(audit.double_loads, eq(0));
    deployment.stop().await.expect("stops");
}

#[gtest]
#[tokio::test]
async fn payout_whose_agent_is_killed_after_it_ran_never_runs_again() {
    let mut deployment = start_deployment().await;
    let i = deployment.config.engines;
    let service = deployment.agents[i].endpoint().expect("has one");
    let fault = ServiceFault::LostAnswer;
    let path = "/control/faults";
    deployment
        .post_control(service, path, &fault)
        .await
        .expect("sets");
    let request = payout("killed").timeout_ms(20_000);
    let deployment_ref = &deployment;
    let ran = wait_until("the payout ran", || async move {
        let audit = EndpointAudit::read(deployment_ref).await;
        audit.is_ok_and(|audit| audit.runs_containing("payout killed") == 1)
    });
    let answered = tokio::select! {
        answer = deployment.send(0, &request) => Some(answer),
        () = ran => None,
    };
    expect_that!(
        answered.is_none(),
        is_true(),
        "answered before the agent was killed"
    );
    deployment.agents[i]
        .process
        .kill()
        .await
        .expect("is killed");
    deployment.agents[i].restart().expect("starts");
    deployment.agents[i]
        .wait_until_ready()
        .await
        .expect("is ready");
    for router in [0, 1, 0] {
        let resent = deployment.send(router, &request).await.expect("answers");
        expect_that!(
            resent.outcome(),
            not(some(eq(chicorystage_api::refusal::Outcome::NotRun)))
        );
    }
    let audit = EndpointAudit::read(&deployment).await.expect("reads");
    expect_that!(audit.runs_containing("payout killed"), eq(1));
    deployment.stop().await.expect("stops");
}
