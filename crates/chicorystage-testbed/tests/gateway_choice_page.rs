//! Questions to a gateway about where a request would go now.

use chicorystage_api::choice::{CHOICE_PATH, ChoiceAnswer, ChoiceQuestion};
use chicorystage_api::name::{ModelName, TeamName};
use chicorystage_borders::http::HttpClient;
use chicorystage_testbed::users_platform::{
    EndpointEmulator, EndpointEngine, PlatformFixture, Reply, default_routes, run_local, wait_until,
};
use chicorystaged::gateway::choice_page::{QuestionFault, answer};
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;

/// Timeout of a question, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;
/// Largest question that is read, in bytes.
const QUESTION_BYTES_MAX: usize = 16 * 1024;

fn question(path: &str, model: Option<&str>) -> ChoiceQuestion {
    ChoiceQuestion {
        host: "h.example".to_owned(),
        path: path.to_owned(),
        model: model.map(ModelName::from),
        adapter: None,
        team: None,
        prompt_tokens: 100,
    }
}

#[gtest]
fn a_question_names_the_endpoint_and_sends_nothing() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let events = Reply::Events {
            first: 1,
            last: 2,
            pause_ms: 1,
        };
        let engine = EndpointEngine::new(&["m0"], 60);
        let endpoint = EndpointEmulator::start("e1", events, Some(engine))
            .await
            .or_fail()?;
        let team = json!({"name": "red", "api_keys": ["key-red"], "priority": 0,
            "unit": "requests", "rate_per_s": 1_000, "burst": 1_000});
        world.declare_teams(1, &default_routes(), &json!([team]));
        world.register(&endpoint, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        wait_until("the model is known", || {
            answer(&gateway, &question("/chat/x", Some("m0")))
                .is_ok_and(|answer| answer.services[0].missing.is_none())
        })
        .await;

        let mut asked = question("/chat/x", Some("m0"));
        asked.team = Some(TeamName::from("red"));
        let told = answer(&gateway, &asked).or_fail()?;
        expect_that!(told.route, eq("chat"));
        let service = &told.services[0];
        expect_that!(service.endpoints.len(), eq(1));
        expect_that!(service.endpoints[0].probability, eq(1.0));
        expect_that!(service.endpoints[0].rejected, none());
        let team = told.team.or_fail()?;
        expect_that!(team.level, eq(0));
        expect_that!(team.are_keys_accepted, eq(true));
        expect_that!(team.units_left.is_some(), eq(true));
        expect_that!(endpoint.received_requests().is_empty(), eq(true));
        Ok(())
    })
}

#[gtest]
fn what_the_configuration_does_not_know_is_named() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let gateway = world.start_gateway("g1").await.or_fail()?;
        wait_until("the configuration is read", || {
            gateway.configuration().is_some()
        })
        .await;

        let no_route = answer(&gateway, &question("/none/x", None));
        let expected = QuestionFault::NoRoute("h.example".into(), "/none/x".into());
        expect_that!(no_route, err(eq(&expected)));
        let no_model = answer(&gateway, &question("/chat/x", Some("m99")));
        let expected = QuestionFault::NoModel("m99".into(), "llm".into());
        expect_that!(no_model, err(eq(&expected)));
        let mut asked = question("/app/x", None);
        asked.team = Some(TeamName::from("red"));
        let expected = QuestionFault::NoTeam("red".into());
        expect_that!(answer(&gateway, &asked), err(eq(&expected)));
        Ok(())
    })
}

#[gtest]
fn questions_and_metrics_are_answered_at_the_metrics_address() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        world.declare(1);
        let mut settings = world.settings("g1");
        settings.metrics = Some(([127, 0, 0, 1], 0).into());
        let gateway = chicorystaged::gateway::start(settings).await.or_fail()?;
        wait_until("the configuration is read", || {
            gateway.configuration().is_some()
        })
        .await;
        let client = HttpClient::new(gateway.settings.metrics.or_fail()?, TIMEOUT_MS);
        let ask = async |body: Vec<u8>| {
            let request = client.request(Method::POST, CHOICE_PATH, body.into());
            client.send(request).await.or_fail()
        };

        let asked = serde_json::to_vec(&question("/app/x", None)).or_fail()?;
        let answered = ask(asked).await?;
        expect_that!(answered.status(), eq(StatusCode::OK));
        let told: ChoiceAnswer = serde_json::from_slice(answered.body()).or_fail()?;
        expect_that!(told.route, eq("app"));
        expect_that!(told.services[0].missing.as_deref(), some(eq("NoEndpoint")));

        let unknown = serde_json::to_vec(&question("/none/x", None)).or_fail()?;
        expect_that!(ask(unknown).await?.status(), eq(StatusCode::NOT_FOUND));
        let malformed = b"{\"host\": 1}".to_vec();
        expect_that!(ask(malformed).await?.status(), eq(StatusCode::BAD_REQUEST));
        let long = vec![b' '; QUESTION_BYTES_MAX + 1];
        expect_that!(ask(long).await?.status(), eq(StatusCode::PAYLOAD_TOO_LARGE));

        let request = client.request(Method::GET, "/metrics", Vec::new().into());
        let metrics = client.send(request).await.or_fail()?;
        let text = String::from_utf8_lossy(metrics.body()).into_owned();
        expect_that!(text, contains_substring("divided_endpoints"));
        Ok(())
    })
}
