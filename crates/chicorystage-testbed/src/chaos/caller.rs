//! A caller of the stress command: sends random requests and checks their answers.

use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::refusal::Outcome;
use http::Method;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep, timeout};

use crate::calls::{CallerAnswer, CallerRequest, SendError};
use crate::chaos::payout_tracker;
use crate::chaos::shared_state::{SharedState, send_to};
use crate::chaos::{CALLER_TOKEN, MODELS};
use crate::fakes::answer_words;

/// Timeout that a caller sends with a request, in milliseconds.
const TIMEOUT_MS: u64 = 10_000;
/// Time after its deadline from which an answer counts as late, in milliseconds.
const GRACE_MS: u64 = 2_000;
/// Time after which a request counts as never answered, in milliseconds.
const ANSWER_WAIT_MAX_MS: u64 = 90_000;
/// Longest pause between two requests, in milliseconds.
const PAUSE_MAX_MS: u64 = 200;
/// Most times that a payout is sent.
const PAYOUT_SENDS_MAX: u32 = 6;
/// One completion in this many has a prompt that may crash engines.
const CRASH_PROMPT_EVERY: u32 = 200;
/// Text in a prompt that crashes engines while [`Fault::EnginePoison`](crate::chaos::fault::Fault::EnginePoison) is active.
pub(super) const CRASH_PROMPT_TEXT: &str = "poison";

/// Sends requests until the run ends.
pub(super) async fn run(shared: Arc<SharedState>, number: u64) {
    let mut caller = Caller {
        rng: shared.rng(number),
        shared,
        number,
        count: 0,
    };
    while !caller.shared.is_stopped() {
        caller.send_random_request().await;
        let pause_ms = caller.rng.random_range(0..PAUSE_MAX_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

struct Caller {
    shared: Arc<SharedState>,
    rng: StdRng,
    number: u64,
    count: u64,
}

impl Caller {
    async fn send_random_request(&mut self) {
        self.count += 1;
        match self.rng.random_range(0..10) {
            0..4 => self.complete(false).await,
            4..7 => self.complete(true).await,
            7 => self.read_balance().await,
            _ => self.pay_out().await,
        }
    }

    async fn complete(&mut self, stream: bool) {
        let model = MODELS[self.rng.random_range(0..MODELS.len())];
        let tokens = self.rng.random_range(1..300);
        let crash_prompt = self.rng.random_range(0..CRASH_PROMPT_EVERY) == 0;
        let tail = if crash_prompt {
            CRASH_PROMPT_TEXT
        } else {
            "lot"
        };
        let prompt = format!("caller {} request {} {tail}", self.number, self.count);
        let request = if stream {
            CallerRequest::streamed(CALLER_TOKEN, model, &prompt, tokens)
        } else {
            CallerRequest::completion(CALLER_TOKEN, model, &prompt, tokens)
        };
        let Some(answer) = self.send(&request.timeout_ms(TIMEOUT_MS)).await else {
            return;
        };
        let expected = answer_words(&prompt, tokens).concat();
        let text = answer.text();
        let is_correct = if answer.is_served() {
            text == expected
        } else {
            expected.starts_with(&text)
        };
        self.record(&answer, is_correct, &request_name(model, &prompt));
    }

    async fn read_balance(&mut self) {
        let path = format!(
            "/v1/services/{}/balances/{}-{}",
            self.shared.application, self.number, self.count
        );
        let request = CallerRequest::new(Method::GET, &path, CALLER_TOKEN, "");
        let Some(answer) = self.send(&request.timeout_ms(TIMEOUT_MS)).await else {
            return;
        };
        let own = format!("/balances/{}-{}\"", self.number, self.count);
        let is_correct = !answer.is_served() || answer.body.contains(&own);
        self.record(&answer, is_correct, &path);
    }

    /// Sends a payout with one idempotency key, several times.
    ///
    /// The number of sends is random. A caller sometimes sends again after the
    /// payout was served, which must not run it again.
    async fn pay_out(&mut self) {
        let key = format!("key-{}-{}", self.number, self.count);
        let path = format!("/v1/services/{}/payouts", self.shared.application);
        let body = payout_tracker::body(&key);
        let request = CallerRequest::new(Method::POST, &path, CALLER_TOKEN, body.clone())
            .key(&key)
            .timeout_ms(TIMEOUT_MS);
        for _ in 0..self.rng.random_range(1..=PAYOUT_SENDS_MAX) {
            let Some(answer) = self.send(&request).await else {
                self.shared
                    .payouts()
                    .record_refused(&key, Some(Outcome::MayHaveRun));
                continue;
            };
            let is_correct = !answer.is_served() || answer.body.contains(&body);
            self.record(&answer, is_correct, &key);
            if answer.is_served() {
                self.shared.payouts().record_served(&key);
                if self.rng.random_range(0..2) == 0 {
                    return;
                }
            } else {
                self.shared.payouts().record_refused(&key, answer.outcome());
                sleep(Duration::from_millis(self.rng.random_range(0..1_000))).await;
            }
        }
    }

    /// Sends a request through a random router that accepts connections.
    ///
    /// A failed connection is retried and does not count as a request. Returns
    /// `None` where no usable answer came, and counts the request as cut or
    /// unanswered.
    async fn send(&mut self, request: &CallerRequest) -> Option<CallerAnswer> {
        loop {
            let i = self.rng.random_range(0..self.shared.routers.len());
            let router = &self.shared.routers[i];
            let (kills, stops) = (router.kills(), router.stops());
            let start = Instant::now();
            let limit = Duration::from_millis(ANSWER_WAIT_MAX_MS);
            let sent = timeout(limit, send_to(router.caller_api, request)).await;
            let killed = router.kills() != kills;
            let stopped = router.stops() != stops;
            if let Ok(Err(SendError::NotConnected(_))) = sent {
                sleep(Duration::from_millis(PAUSE_MAX_MS)).await;
                continue;
            }
            let mut tally = self.shared.tally();
            tally.sent += 1;
            let answer = match sent {
                Ok(Ok(answer)) => answer,
                _ if killed => {
                    tally.cut_by_kill += 1;
                    return None;
                }
                Ok(Err(error)) => {
                    tally.cut += 1;
                    tally.add_note(format!("{}: {error}", request.path));
                    return None;
                }
                Err(_elapsed) => {
                    tally.unanswered += 1;
                    tally.add_note(format!("{}: no answer from router {i}", request.path));
                    return None;
                }
            };
            let is_complete = answer.is_served() || answer.outcome().is_some();
            if !is_complete && killed {
                tally.cut_by_kill += 1;
                return None;
            }
            let late = start.elapsed() > Duration::from_millis(TIMEOUT_MS + GRACE_MS);
            if late && !stopped && !killed {
                tally.late += 1;
                let outcome = answer.code().unwrap_or_else(|| "served".to_owned());
                let elapsed_ms = start.elapsed().as_millis();
                tally.add_note(format!("{}: {outcome} after {elapsed_ms} ms", request.path));
            }
            return Some(answer);
        }
    }

    fn record(&self, answer: &CallerAnswer, is_correct: bool, name: &str) {
        let mut tally = self.shared.tally();
        if !is_correct {
            tally.wrong += 1;
            tally.add_note(format!("{name}: wrong answer {}", last_chars(&answer.body)));
        } else if answer.is_served() {
            tally.served += 1;
        } else if let (Some(code), Some(_)) = (answer.code(), answer.outcome()) {
            *tally.refused.entry(code).or_default() += 1;
        } else {
            tally.cut += 1;
            let status = answer.status;
            tally.add_note(format!(
                "{name}: cut, {status} {}",
                last_chars(&answer.body)
            ));
        }
    }
}

fn request_name(model: &str, prompt: &str) -> String {
    format!("{model}: {prompt}")
}

fn last_chars(text: &str) -> String {
    text.chars()
        .rev()
        .take(300)
        .collect::<Vec<_>>()
        .into_iter()
        .rev()
        .collect()
}
