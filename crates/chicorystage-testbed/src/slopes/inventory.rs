use anyhow::ensure;
use chicorystage_api::inventory::{AdapterItem, Change, Item, ItemChange, ModelItem, ModelVersion};
use http::Method;

use crate::calls::CallerRequest;
use crate::demo::sample_inventory;
use crate::deployment::Deployment;

pub(super) const CALLER_TOKEN: &str = "slopes-caller-token";
/// Most items that one change declares.
const ITEMS_PER_CHANGE_MAX: usize = 500;
const MODEL_BYTES: u64 = 64 << 20;
const ADAPTER_BYTES: u64 = 1 << 20;

/// Declares models, and adapters that are spread evenly over them.
pub(super) async fn declare_inventory(
    deployment: &Deployment,
    models: u32,
    adapters: u32,
) -> anyhow::Result<()> {
    let config = &deployment.config;
    let first = sample_inventory(
        &config.engine_group,
        &config.service_group,
        &[],
        CALLER_TOKEN,
    );
    submit_change(deployment, &first).await?;
    let models_declared = (0..models).map(|i| model(i, &config.engine_group));
    let adapters_declared = (0..adapters).map(|i| adapter(i, models));
    let items: Vec<Item> = models_declared.chain(adapters_declared).collect();
    for (i, chunk) in items.chunks(ITEMS_PER_CHANGE_MAX).enumerate() {
        let items = chunk.iter().map(|item| ItemChange {
            key: item.key(),
            expected_revision: None,
            item: Some(item.clone()),
        });
        let change = Change {
            change_id: format!("slopes-{i}").into(),
            items: items.collect(),
            reason: "slopes".to_owned(),
        };
        submit_change(deployment, &change).await?;
    }
    Ok(())
}

/// Returns the name of the model with an index.
pub(super) fn model_name(i: u32) -> String {
    format!("model-{i}")
}

pub(super) async fn submit_change(deployment: &Deployment, change: &Change) -> anyhow::Result<()> {
    let body = serde_json::to_string(change)?;
    let token = &deployment.config.root_token;
    let request = CallerRequest::new(Method::POST, "/admin/v1/changes", token, body);
    let answer = deployment.send_admin(0, &request).await?;
    ensure!(answer.status.is_success(), "change: {}", answer.body);
    Ok(())
}

fn model(i: u32, group: &str) -> Item {
    Item::Model(ModelItem {
        name: model_name(i).into(),
        owner: "testbed".into(),
        group: group.into(),
        default_version: "v1".into(),
        versions: vec![ModelVersion {
            version: "v1".into(),
            memory_bytes: MODEL_BYTES,
        }],
    })
}

fn adapter(i: u32, models: u32) -> Item {
    Item::Adapter(AdapterItem {
        model: model_name(i % models.max(1)).into(),
        name: format!("adapter-{i}").into(),
        owner: "testbed".into(),
        memory_bytes: ADAPTER_BYTES,
    })
}
