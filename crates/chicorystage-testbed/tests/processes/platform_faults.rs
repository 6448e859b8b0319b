//! Table outages, delays and lost commits under payouts and warm completions.

use chicorystage_api::refusal::Outcome;
use chicorystage_testbed::audit::EndpointAudit;
use chicorystage_testbed::fakes::TableFault;
use googletest::prelude::*;

use crate::bed::{balance, completion, expected_text, payout, start_deployment, until_served};

const FAULT_PATH: &str = "/control/table/fault";

#[gtest]
#[tokio::test]
async fn table_outage_stops_no_warm_work_and_runs_no_payout() {
    let deployment = start_deployment().await;
    until_served(&deployment, 0, &completion(5)).await;
    let platform = deployment.platform;
    let down = TableFault::Down;
    deployment
        .post_control(platform, FAULT_PATH, &down)
        .await
        .expect("sets");
    let answer = until_served(&deployment, 0, &completion(5)).await;
    expect_that!(answer.text(), eq(&expected_text(5)));
    until_served(&deployment, 0, &balance()).await;
    let refused = deployment.send(0, &payout("down")).await.expect("answers");
    // An earlier call with this key may have run: only the claim row shows whether it did.
    expect_that!(refused.code(), some(eq("claim_unavailable")));
    expect_that!(refused.outcome(), some(eq(Outcome::MayHaveRun)));
    expect_that!(refused.headers.contains_key("retry-after"), is_true());
    let audit = EndpointAudit::read(&deployment).await.expect("reads");
    expect_that!(audit.runs_containing("payout down"), eq(0));
    let up = TableFault::None;
    deployment
        .post_control(platform, FAULT_PATH, &up)
        .await
        .expect("sets");
    until_served(&deployment, 1, &payout("down")).await;
    let audit = EndpointAudit::read(&deployment).await.expect("reads");
    expect_that!(audit.runs_containing("payout down"), eq(1));
    deployment.stop().await.expect("stops");
}

#[gtest]
#[tokio::test]
async fn payouts_run_once_when_commits_are_slow_unanswered_or_lost() {
    let deployment = start_deployment().await;
    let platform = deployment.platform;
    let faults = [
        TableFault::Slow { delay_ms: 300 },
        TableFault::Unanswered,
        TableFault::UnansweredNext { commits: 2 },
        TableFault::LostNext { commits: 2 },
    ];
    for (i, fault) in faults.iter().enumerate() {
        deployment
            .post_control(platform, FAULT_PATH, fault)
            .await
            .expect("sets");
        let key = format!("faulty-{i}");
        let request = payout(&key);
        let first = deployment.send(0, &request).await.expect("answers");
        let runs = || async {
            let audit = EndpointAudit::read(&deployment).await.expect("reads");
            audit.runs_containing(&format!("payout {key}"))
        };
        if first.outcome() == Some(Outcome::NotRun) {
            expect_that!(runs().await, eq(0), "{fault:?}: {}", first.body);
        }
        let up = TableFault::None;
        deployment
            .post_control(platform, FAULT_PATH, &up)
            .await
            .expect("sets");
        until_served(&deployment, 1, &request).await;
        expect_that!(runs().await, eq(1), "{fault:?}");
    }
    deployment.stop().await.expect("stops");
}
