use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use chicorystage_api::work::ServiceCall;
use chicorystage_borders::service::{Service, ServiceReply};
use chicorystage_borders::{BorderError, BorderErrorKind, BoxFuture};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

/// Fault of one call to a [`FakeService`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ServiceFault {
    /// The call takes this much longer.
    Slow {
        /// Delay, in milliseconds.
        delay_ms: u64,
    },
    /// The service dies before it runs the call.
    DiesBefore,
    /// The service dies after it ran the call.
    DiesAfter,
    /// The call runs and its answer is lost.
    LostAnswer,
}

/// A plain service in memory that counts what it ran.
///
/// It answers with the method, the path, the body that it was given and how
/// often it has run that very body. A call runs on where its client goes away.
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
    /// Creates a service whose calls take `delay_ms`.
    #[must_use]
    pub fn new(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            state: Arc::default(),
        }
    }

    /// Makes one further call fail; faults apply in the order given.
    pub fn inject(&self, fault: ServiceFault) {
        self.lock().faults.push_back(fault);
    }

    /// Returns how often each method, path and body was run.
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
            return Err(lost());
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
            return Err(lost());
        }
        let answer =
            json!({ "method": call.method, "path": call.path, "body": body, "runs": runs });
        Ok(ServiceReply {
            status: 200,
            content_type: Arc::from("application/json"),
            body: Bytes::from(answer.to_string()),
        })
    }
}

impl Service for FakeService {
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceReply, BorderError>> {
        let running = tokio::spawn(self.clone().run(call));
        Box::pin(async move { running.await.unwrap_or_else(|_| Err(lost())) })
    }

    fn probe(&self) -> BoxFuture<'_, Result<(), BorderError>> {
        Box::pin(async { Ok(()) })
    }
}

fn lost() -> BorderError {
    BorderError::new(BorderErrorKind::Unknown, "no answer from the service")
}
