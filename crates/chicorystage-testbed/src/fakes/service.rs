use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use chicorystage_api::work::ServiceCall;
use chicorystage_platform::service::{Service, ServiceReply};
use chicorystage_platform::{BorderError, BoxFuture};
use serde_json::json;

/// A plain service in memory that counts what it ran.
///
/// It answers with the method, the path, the body that it was given and how
/// often it has run that very body.
#[derive(Debug, Default)]
pub struct FakeService {
    delay_ms: u64,
    runs: Mutex<HashMap<String, u32>>,
}

impl FakeService {
    /// Creates a service whose calls take `delay_ms`.
    #[must_use]
    pub fn new(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            runs: Mutex::default(),
        }
    }

    /// Returns how often each method, path and body was run.
    #[must_use]
    pub fn runs(&self) -> HashMap<String, u32> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, u32>> {
        self.runs.lock().expect("no holder of the lock panics")
    }
}

impl Service for FakeService {
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceReply, BorderError>> {
        Box::pin(async move {
            let body = STANDARD
                .decode(call.body_base64.as_bytes())
                .unwrap_or_default();
            let body = String::from_utf8_lossy(&body).into_owned();
            let name = format!("{} {} {body}", call.method, call.path);
            let runs = {
                let mut runs = self.lock();
                let count = runs.entry(name).or_default();
                *count += 1;
                *count
            };
            tokio::time::sleep(Duration::from_millis(self.delay_ms)).await;
            let answer =
                json!({ "method": call.method, "path": call.path, "body": body, "runs": runs });
            Ok(ServiceReply {
                status: 200,
                content_type: Arc::from("application/json"),
                body: Bytes::from(answer.to_string()),
            })
        })
    }

    fn probe(&self) -> BoxFuture<'_, Result<(), BorderError>> {
        Box::pin(async { Ok(()) })
    }
}
