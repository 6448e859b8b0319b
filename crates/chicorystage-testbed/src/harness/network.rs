use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use chicorystage_api::name::VmId;
use chicorystage_api::peer::RPC_PATH;
use chicorystage_api::work::FRAME_BYTES_MAX;
use chicorystage_borders::http::{Handler, JsonLines};
use chicorystage_borders::link::FrameStream;
use chicorystage_borders::{BorderError, BorderErrorKind};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::harness::exchange::exchange;
use crate::harness::gate::VmGate;
use crate::harness::link_bytes::LinkBytes;
use crate::harness::link_faults::LinkFaults;

const PERCENT: u32 = 100;
/// Exclusive upper bound of the number of frames that a faulty stream delivers.
const FRAMES_BEFORE_FAULT_MAX: u32 = 8;
/// Frames buffered for a slow reader before the stream stops reading.
const FRAMES_BUFFERED: usize = 64;

/// Simulates the links between all processes of a harness.
pub struct Network {
    state: Mutex<State>,
}

struct State {
    rng: StdRng,
    processes: HashMap<SocketAddr, Peer>,
    faults: HashMap<(VmId, SocketAddr), LinkFaults>,
    faults_default: LinkFaults,
    bytes: LinkBytes,
}

#[derive(Clone)]
struct Peer {
    handler: Arc<dyn Handler>,
    gate: VmGate,
}

/// Sender and destination of a message.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub(super) from: VmId,
    pub(super) gate: VmGate,
    pub(super) to: SocketAddr,
}

/// Fault that a stream suffers before it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamFault {
    None,
    Cut { after_frames: u32 },
    Silent { after_frames: u32 },
}

impl Network {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                rng: StdRng::seed_from_u64(seed),
                processes: HashMap::new(),
                faults: HashMap::new(),
                faults_default: LinkFaults::default(),
                bytes: LinkBytes::default(),
            }),
        }
    }

    /// Sets the faults of every link that has no faults of its own.
    pub fn set_faults_default(&self, faults: LinkFaults) {
        self.lock().faults_default = faults;
    }

    /// Sets the faults of the link from one VM to an address.
    pub fn set_faults(&self, from: &VmId, to: SocketAddr, faults: LinkFaults) {
        self.lock().faults.insert((from.clone(), to), faults);
    }

    /// Returns the counters of the control traffic so far.
    #[must_use]
    pub fn bytes(&self) -> LinkBytes {
        self.lock().bytes.clone()
    }

    pub(super) fn register(&self, address: SocketAddr, handler: Arc<dyn Handler>, gate: VmGate) {
        self.lock()
            .processes
            .insert(address, Peer { handler, gate });
    }

    pub(super) fn unregister(&self, address: SocketAddr) {
        self.lock().processes.remove(&address);
    }

    /// Sends one request and returns once the response head arrives.
    ///
    /// # Errors
    ///
    /// Fails as not delivered if nothing listens at the destination or the
    /// connection is refused, and as unknown if the response is lost or late.
    pub(super) async fn request(
        &self,
        link: &Link,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Response<Incoming>, BorderError> {
        link.gate.pass().await;
        let faults = self.link_faults(link);
        let Some(peer) = self.lock().processes.get(&link.to).cloned() else {
            return Err(not_delivered(link.to, "nothing listens"));
        };
        if faults.cut_off || self.draw_percent(faults.refused_percent) {
            return Err(not_delivered(link.to, "connection refused"));
        }
        self.delay(faults).await;
        // A separate task, because a sent request is delivered even if the sender abandons it.
        let delivery = tokio::spawn(exchange(peer.handler, peer.gate, request));
        let limit = Duration::from_millis(timeout_ms);
        if self.draw_percent(faults.answer_lost_percent) {
            sleep(limit).await;
            return Err(outcome_unknown(link.to, "no response in time"));
        }
        let response = match timeout(limit, delivery).await {
            Ok(Ok(Ok(response))) => response,
            Ok(Ok(Err(error))) => return Err(outcome_unknown(link.to, &error.to_string())),
            Ok(Err(error)) => return Err(outcome_unknown(link.to, &error.to_string())),
            Err(_elapsed) => return Err(outcome_unknown(link.to, "no response in time")),
        };
        self.delay(faults).await;
        link.gate.pass().await;
        Ok(response)
    }

    /// Calls a control method by JSON-RPC and returns its result.
    ///
    /// # Errors
    ///
    /// Fails like [`request`](Self::request), as rejected if the method returns
    /// an error, and as unknown if the response can't be read.
    pub(super) async fn call<T: DeserializeOwned>(
        &self,
        link: &Link,
        method: &str,
        params: Value,
        timeout_ms: u64,
    ) -> Result<T, BorderError> {
        let body = json!({ "jsonrpc": "2.0", "id": 1, "method": method, "params": params });
        let request = http_request(Method::POST, RPC_PATH, &body);
        self.count_call(method, request.body().size_hint().lower());
        let response = self.request(link, request, timeout_ms).await?;
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| outcome_unknown(link.to, &error.to_string()))?;
        let body = body.to_bytes();
        self.lock().bytes.control_bytes += body.len() as u64;
        let mut answer: Value = serde_json::from_slice(&body)
            .map_err(|error| outcome_unknown(link.to, &error.to_string()))?;
        if let Some(error) = answer.get("error") {
            let detail = format!("{}: {error}", link.to);
            return Err(BorderError::new(BorderErrorKind::Rejected, detail));
        }
        serde_json::from_value(answer["result"].take())
            .map_err(|error| outcome_unknown(link.to, &error.to_string()))
    }

    /// Sends a request and returns the stream of frames in its response.
    ///
    /// # Errors
    ///
    /// Fails like [`request`](Self::request), and as rejected if the status isn't 200.
    pub(super) async fn open_stream(
        self: &Arc<Self>,
        link: Link,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<FrameStream, BorderError> {
        let response = self.request(&link, request, timeout_ms).await?;
        if response.status() != StatusCode::OK {
            let detail = format!("{}: status {}", link.to, response.status());
            return Err(BorderError::new(BorderErrorKind::Rejected, detail));
        }
        let (sender, receiver) = mpsc::channel(FRAMES_BUFFERED);
        let lines = JsonLines::new(response.into_body(), FRAME_BYTES_MAX);
        let network = Arc::clone(self);
        tokio::spawn(async move {
            tokio::select! {
                () = network.forward(&link, lines, &sender) => {}
                () = sender.closed() => {}
            }
        });
        Ok(receiver)
    }

    async fn forward(
        &self,
        link: &Link,
        mut lines: JsonLines,
        sender: &mpsc::Sender<chicorystage_api::work::Frame>,
    ) {
        let faults = self.link_faults(link);
        let fault = self.draw_stream_fault(faults);
        let mut frames = 0;
        while let Ok(Some(frame)) = lines.next().await {
            match fault {
                StreamFault::Cut { after_frames } if frames >= after_frames => return,
                StreamFault::Silent { after_frames } if frames >= after_frames => {
                    std::future::pending::<()>().await;
                }
                _ => {}
            }
            self.delay(faults).await;
            link.gate.pass().await;
            if sender.send(frame).await.is_err() {
                return;
            }
            frames += 1;
        }
    }

    fn count_call(&self, method: &str, request_bytes: u64) {
        let bytes = &mut self.lock().bytes;
        *bytes.calls_by_method.entry(method.to_owned()).or_default() += 1;
        bytes.control_bytes += request_bytes;
    }

    fn draw_stream_fault(&self, faults: LinkFaults) -> StreamFault {
        let after_frames = self.lock().rng.random_range(0..FRAMES_BEFORE_FAULT_MAX);
        if self.draw_percent(faults.stream_cut_percent) {
            return StreamFault::Cut { after_frames };
        }
        if self.draw_percent(faults.stream_silent_percent) {
            return StreamFault::Silent { after_frames };
        }
        StreamFault::None
    }

    fn link_faults(&self, link: &Link) -> LinkFaults {
        let state = self.lock();
        let own = state.faults.get(&(link.from.clone(), link.to));
        own.copied().unwrap_or(state.faults_default)
    }

    fn draw_percent(&self, percent: u32) -> bool {
        percent > 0 && self.lock().rng.random_range(0..PERCENT) < percent
    }

    async fn delay(&self, faults: LinkFaults) {
        if faults.delay_max_ms > 0 {
            let delay_ms = self.lock().rng.random_range(0..=faults.delay_max_ms);
            sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl fmt::Debug for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Network").finish_non_exhaustive()
    }
}

pub(super) fn http_request<B: Serialize>(
    method: Method,
    path: &str,
    body: &B,
) -> Request<Full<Bytes>> {
    let body = serde_json::to_vec(body).expect("message types serialise to JSON");
    Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, "localhost")
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("an encoded path is a URI")
}

fn not_delivered(to: SocketAddr, detail: &str) -> BorderError {
    BorderError::new(BorderErrorKind::NotDelivered, format!("{to}: {detail}"))
}

fn outcome_unknown(to: SocketAddr, detail: &str) -> BorderError {
    BorderError::new(BorderErrorKind::Unknown, format!("{to}: {detail}"))
}
