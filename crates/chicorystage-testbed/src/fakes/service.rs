use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use chicorystage_api::work::ServiceCall;
use chicorystage_borders::http::BodyFraming;
use chicorystage_borders::service::{Service, ServiceReply};
use chicorystage_borders::{BorderError, BorderErrorKind, BoxFuture};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

/// Fault of a single call to a [`FakeService`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ServiceFault {
    /// The call takes additional time.
    Slow {
        /// Additional time, in milliseconds.
        delay_ms: u64,
    },
    /// The service crashes before it executes the call.
    DiesBefore,
    /// The service crashes after it has executed the call.
    DiesAfter,
    /// The service executes the call and its response is lost.
    LostAnswer,
}

/// An in-memory service without a model engine that counts the calls it executes.
///
/// It responds with the method, the path and the body of the request, and with
/// the number of times that it has executed this combination of the three. A call
/// continues if its client disconnects. Clones share one service.
#[derive(Clone, Debug, Default)]
pub struct FakeService {
    delay_ms: u64,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    runs: HashMap<String, u32>,
    faults: VecDeque<ServiceFault>,
}

impl FakeService {
    /// Creates a service whose calls take `delay_ms` each.
    #[must_use]
    pub fn new(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            state: Arc::default(),
        }
    }

    /// Queues a fault; each call uses up the oldest queued fault.
    pub fn inject(&self, fault: ServiceFault) {
        self.lock().faults.push_back(fault);
    }

    /// Returns the number of executions by method, path and body, separated by spaces.
    #[must_use]
    pub fn runs(&self) -> HashMap<String, u32> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    async fn run(self, call: ServiceCall) -> Result<ServiceReply, BorderError> {
        let fault = self.lock().faults.pop_front();
        if fault == Some(ServiceFault::DiesBefore) {
            return Err(no_response());
        }
        let slow_ms = match fault {
            Some(ServiceFault::Slow { delay_ms }) => delay_ms,
            _ => 0,
        };
        sleep(Duration::from_millis(self.delay_ms + slow_ms)).await;
        let body = STANDARD
            .decode(call.body_base64.as_bytes())
            .unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        let name = format!("{} {} {body}", call.method, call.path);
        let runs = {
            let mut state = self.lock();
            let count = state.runs.entry(name).or_default();
            *count += 1;
            *count
        };
        if matches!(
            fault,
            Some(ServiceFault::DiesAfter | ServiceFault::LostAnswer)
        ) {
            return Err(no_response());
        }
        let answer =
            json!({ "method": call.method, "path": call.path, "body": body, "runs": runs });
        Ok(ServiceReply {
            status: 200,
            content_type: Arc::from("application/json"),
            body: Bytes::from(answer.to_string()),
            framing: BodyFraming::Length,
        })
    }
}

impl Service for FakeService {
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceReply, BorderError>> {
        let running = tokio::spawn(self.clone().run(call));
        Box::pin(async move { running.await.unwrap_or_else(|_| Err(no_response())) })
    }

    fn probe(&self) -> BoxFuture<'_, Result<(), BorderError>> {
        Box::pin(async { Ok(()) })
    }
}

fn no_response() -> BorderError {
    BorderError::new(BorderErrorKind::Unknown, "no answer from the service")
}
