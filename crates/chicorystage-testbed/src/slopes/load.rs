//! The load of a measurement: a number of events per second, evenly spaced.

use std::time::Duration;

use anyhow::Context;
use chicorystage_api::inventory::{Change, Item, ItemChange, RuleItem};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::Method;
use tokio::time::{MissedTickBehavior, interval};

use crate::calls::CallerRequest;
use crate::deployment::Deployment;
use crate::slopes::inventory::{CALLER_TOKEN, model_name, submit_change};

/// Kind of event that a load generates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Load {
    /// No events.
    Idle,
    /// Completions by one model that is loaded.
    Requests,
    /// Completions, each by a model that is not loaded yet.
    ColdStarts,
    /// Calls of a service that are not idempotent, each of which takes a claim.
    Claims,
    /// Inventory changes that declare one rule each.
    Changes,
}

impl Load {
    /// Runs the load for a number of seconds and returns how many events succeeded.
    ///
    /// Events start at their scheduled times even while earlier ones run.
    pub(super) async fn run(
        self,
        deployment: &Deployment,
        per_s: u32,
        seconds: u64,
    ) -> anyhow::Result<u64> {
        if self == Self::Idle || per_s == 0 {
            tokio::time::sleep(Duration::from_secs(seconds)).await;
            return Ok(0);
        }
        let mut ticks = interval(Duration::from_secs(1) / per_s);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut running = FuturesUnordered::new();
        let mut succeeded = 0;
        for i in 0..u64::from(per_s) * seconds {
            ticks.tick().await;
            running.push(self.send_event(deployment, i));
            while let Some(Some(ended)) = futures_util::FutureExt::now_or_never(running.next()) {
                succeeded += u64::from(ended.is_ok());
            }
        }
        while let Some(ended) = running.next().await {
            succeeded += u64::from(ended.is_ok());
        }
        Ok(succeeded)
    }

    async fn send_event(self, deployment: &Deployment, i: u64) -> anyhow::Result<()> {
        let request = match self {
            Self::Idle => return Ok(()),
            Self::Changes => return declare_rule(deployment, i).await,
            Self::Requests => completion(0),
            Self::ColdStarts => completion(u32::try_from(i)?),
            Self::Claims => {
                let path = format!("/v1/services/{}/payouts", deployment.config.service_group);
                let key = format!("slopes-{i}");
                CallerRequest::new(Method::POST, &path, CALLER_TOKEN, key.clone()).key(&key)
            }
        };
        let router = usize::try_from(i)? % deployment.routers.len();
        let answer = deployment.send(router, &request).await?;
        answer.is_served().then_some(()).context("refused")
    }
}

/// Loads the model that [`Load::Requests`] uses.
pub(super) async fn load_first_model(deployment: &Deployment) -> anyhow::Result<()> {
    let answer = deployment.send(0, &completion(0)).await?;
    answer.is_served().then_some(()).context(answer.body)
}

fn completion(model: u32) -> CallerRequest {
    CallerRequest::completion(CALLER_TOKEN, &model_name(model), "is lot 12 dry enough", 5)
}

/// Declares a rule for the model with an index.
async fn declare_rule(deployment: &Deployment, i: u64) -> anyhow::Result<()> {
    let item = Item::Rule(RuleItem {
        model: model_name(u32::try_from(i)?).into(),
        owner: "testbed".into(),
        replicas_max: 1,
        keep_alive_min_ms: 1_000,
        keep_alive_max_ms: 600_000,
    });
    let change = Change {
        change_id: format!("slopes-rule-{i}").into(),
        items: vec![ItemChange {
            key: item.key(),
            expected_revision: None,
            item: Some(item),
        }],
        reason: "slopes".to_owned(),
    };
    submit_change(deployment, &change).await
}
