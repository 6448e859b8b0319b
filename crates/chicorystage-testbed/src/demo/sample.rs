use anyhow::Context;
use chicorystage_api::inventory::{
    ApplicationItem, CallerItem, Change, Class, Item, ItemChange, ModelItem, ModelVersion,
    Operation,
};
use chicorystage_core::token;
use http::Method;

use crate::calls::CallerRequest;
use crate::demo::exchange::{Expected, PlannedRequest};
use crate::deployment::Deployment;

const MODEL_BYTES: u64 = 8 << 30;

/// A user's deployment as the demo shows it, with sample requests.
///
/// The pairs hold the printed name of a request, and its model or path.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) name: &'static str,
    pub(crate) inventory: &'static str,
    pub(crate) zones: [&'static str; 3],
    pub(crate) engine_group: &'static str,
    pub(crate) service_group: &'static str,
    pub(crate) caller_token: &'static str,
    pub(crate) short_completion: (&'static str, &'static str),
    pub(crate) long_completion: (&'static str, &'static str),
    pub(crate) idempotent_call: (&'static str, &'static str),
    pub(crate) keyed_call: (&'static str, &'static str),
}

const ALTIPLANO: Sample = Sample {
    name: "altiplano",
    inventory: include_str!("../../../../docs/samples/altiplano-inventory.ini"),
    zones: ["huehue-a", "xela-b", "toto-c"],
    engine_group: "colmena-llm",
    service_group: "libro-socios",
    caller_token: "demo-caller-token",
    short_completion: ("moisture check", "moisture"),
    long_completion: ("lot dossier", "dossier"),
    idempotent_call: ("balance", "/balances/familia-12"),
    keyed_call: ("payout", "/payouts"),
};

const GUILD: Sample = Sample {
    name: "guild",
    inventory: include_str!("../../../../docs/samples/guild-inventory.ini"),
    zones: ["cleveland-a", "buffalo-b", "erie-c"],
    engine_group: "cuewriter",
    service_group: "cleardesk",
    caller_token: "demo-caller-token",
    short_completion: ("rights lookup", "lookup"),
    long_completion: ("brief screening", "screening"),
    idempotent_call: ("quote", "/quotes/cue-7"),
    keyed_call: ("clearance request", "/clearances"),
};

impl Sample {
    pub(crate) fn by_name(name: &str) -> Option<Self> {
        [ALTIPLANO, GUILD]
            .into_iter()
            .find(|sample| sample.name == name)
    }

    /// Applies the user's inventory with the operators' tool.
    pub(crate) async fn apply(&self, deployment: &Deployment) -> anyhow::Result<()> {
        let path = deployment.write_file("inventory.ini", self.inventory)?;
        let path = path
            .to_str()
            .context("the path of the temporary directory is not UTF-8")?;
        deployment.tool(&["apply", path, "--yes"]).await
    }

    /// Returns the requests in the order in which the demo sends them.
    ///
    /// The last one repeats the payment with its idempotency key, so it must not
    /// run again.
    pub(crate) fn requests(&self) -> Vec<PlannedRequest> {
        let token = self.caller_token;
        let service = |method, path: &str, body: &str| {
            let path = format!("/v1/services/{}{path}", self.service_group);
            CallerRequest::new(method, &path, token, body)
        };
        let short =
            CallerRequest::completion(token, self.short_completion.1, "is lot 12 dry enough", 5);
        let long = CallerRequest::streamed(
            token,
            self.long_completion.1,
            "lot 12 of the cooperative",
            200,
        );
        let read = service(Method::GET, self.idempotent_call.1, "");
        let post = service(
            Method::POST,
            self.keyed_call.1,
            r#"{"to":"familia-12","amount":40}"#,
        )
        .key("demo-key-1");
        let plan = |name: &str, request: &CallerRequest, expected| PlannedRequest {
            name: name.to_owned(),
            request: request.clone(),
            expected,
        };
        vec![
            plan(
                &format!("cold {}", self.short_completion.0),
                &short,
                Expected::Cold,
            ),
            plan(
                &format!("warm {}", self.short_completion.0),
                &short,
                Expected::Warm,
            ),
            plan(
                &format!("streamed {}", self.long_completion.0),
                &long,
                Expected::Served,
            ),
            plan(self.idempotent_call.0, &read, Expected::Served),
            plan(self.keyed_call.0, &post, Expected::RunOnce),
            plan(
                &format!("{} again", self.keyed_call.0),
                &post,
                Expected::RunOnce,
            ),
        ]
    }
}

/// Returns a small inventory of models, one application and one caller with
/// access to all of them.
#[must_use]
pub fn inventory(
    engine_group: &str,
    application: &str,
    models: &[&str],
    caller_token: &str,
) -> Change {
    let mut items: Vec<Item> = models
        .iter()
        .map(|name| model(name, engine_group))
        .collect();
    let operation = |method: &str, prefix: &str, idempotent| Operation {
        method: method.into(),
        path_prefix: prefix.into(),
        idempotent,
    };
    items.push(Item::Application(ApplicationItem {
        name: application.into(),
        owner: "testbed".into(),
        group: application.into(),
        operations: vec![operation("GET", "/", true), operation("POST", "/", false)],
    }));
    items.push(Item::Caller(CallerItem {
        name: "testbed".into(),
        owner: "testbed".into(),
        token_sha256: token::sha256(caller_token.as_bytes()),
        class: Class::Interactive,
        models: vec!["*".into()],
        applications: vec!["*".into()],
        rate_per_s: 10_000,
        burst: 10_000,
        concurrent_max: 10_000,
        body_bytes_max: 1 << 20,
        weight: 1,
    }));
    let items = items.into_iter().map(|item| ItemChange {
        key: item.key(),
        expected_revision: None,
        item: Some(item),
    });
    Change {
        change_id: "testbed-inventory".into(),
        items: items.collect(),
        reason: "test bed".to_owned(),
    }
}

fn model(name: &str, group: &str) -> Item {
    Item::Model(ModelItem {
        name: name.into(),
        owner: "testbed".into(),
        group: group.into(),
        default_version: "v1".into(),
        versions: vec![ModelVersion {
            version: "v1".into(),
            memory_bytes: MODEL_BYTES,
        }],
    })
}
