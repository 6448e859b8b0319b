//! The link from a router to stub agents that answer by script.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use chicorystage_api::name::VmId;
use chicorystage_api::peer::{
    AgentStatus, AttemptRef, ClaimQuery, ClaimState, PlacementAck, PlacementPush, QuarantineEntry,
};
use chicorystage_api::work::{AttemptRequest, EndpointLoad, Frame, HEARTBEAT_INTERVAL_MS, Payload};
use chicorystage_borders::link::{AgentLink, FrameStream};
use chicorystage_borders::{BorderError, BorderErrorKind, BoxFuture};
use tokio::sync::mpsc;

use super::script::{AgentAction, ConnectionFault, Script};

/// Pause before each frame, in milliseconds.
const FRAME_INTERVAL_MS: u64 = 10;

/// Stub agents that answer by script and record the requests that they receive.
pub struct ScriptedAgents {
    vms_by_address: BTreeMap<SocketAddr, VmId>,
    script: Box<dyn Script>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    attempts: HashMap<AttemptRef, (Vec<Payload>, Vec<ConnectionFault>)>,
    started_attempts: Vec<(VmId, AttemptRequest)>,
    resumptions: Vec<(u32, u64)>,
    cancelled_attempts: Vec<AttemptRef>,
    received_quarantine: Vec<QuarantineEntry>,
    reported_load: Option<EndpointLoad>,
}

impl ScriptedAgents {
    pub fn new(vms_by_address: BTreeMap<SocketAddr, VmId>, script: impl Script) -> Self {
        Self {
            vms_by_address,
            script: Box::new(script),
            state: Mutex::default(),
        }
    }

    /// Sets the endpoint load that agents report in the frames of later connections.
    pub fn set_reported_load(&self, load: EndpointLoad) {
        self.lock().reported_load = Some(load);
    }

    /// Returns the attempts that were sent to agents, also those that their script did not deliver.
    pub fn started_attempts(&self) -> Vec<(VmId, AttemptRequest)> {
        self.lock().started_attempts.clone()
    }

    /// Returns the attempt number and the offset of each request to resume a stream.
    pub fn resumptions(&self) -> Vec<(u32, u64)> {
        self.lock().resumptions.clone()
    }

    pub fn cancelled_attempts(&self) -> Vec<AttemptRef> {
        self.lock().cancelled_attempts.clone()
    }

    pub fn received_quarantine(&self) -> Vec<QuarantineEntry> {
        self.lock().received_quarantine.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn connect(&self, attempt: &AttemptRef, offset: u64) -> Option<FrameStream> {
        let mut state = self.lock();
        let load = state.reported_load;
        let (payloads, faults) = state.attempts.get_mut(attempt)?;
        let fault = if faults.is_empty() {
            ConnectionFault::Never
        } else {
            faults.remove(0)
        };
        let frames = payloads.iter().zip(0..).map(|(payload, offset)| Frame {
            attempt: attempt.attempt,
            offset,
            load,
            payload: payload.clone(),
        });
        let frames = frames.skip(usize::try_from(offset).unwrap()).collect();
        let (sender, receiver) = mpsc::channel(64);
        tokio::spawn(send_frames(frames, fault, sender));
        Some(receiver)
    }
}

/// Sends the frames with the connection's fault; ends early if the router closed its side.
async fn send_frames(frames: Vec<Frame>, fault: ConnectionFault, sender: mpsc::Sender<Frame>) {
    let last = frames.last().cloned();
    for (i, frame) in frames.into_iter().enumerate() {
        tokio::time::sleep(Duration::from_millis(FRAME_INTERVAL_MS)).await;
        match fault {
            ConnectionFault::Cut(after) if i == after => return,
            ConnectionFault::Silent(after) if i == after => return sender.closed().await,
            ConnectionFault::Stalls(after) if i == after => {
                return send_heartbeats(frame, &sender).await;
            }
            ConnectionFault::Gap(after) if i == after => continue,
            ConnectionFault::Echo => {
                let stale = Frame {
                    attempt: frame.attempt + 7,
                    payload: Payload::Token("stale".into()),
                    ..frame.clone()
                };
                let _sent = sender.send(stale).await;
                let _sent = sender.send(frame.clone()).await;
            }
            _ => {}
        }
        if sender.send(frame).await.is_err() {
            return;
        }
    }
    // A connection that lost a frame stays open, so that the router can detect the loss only
    // by the missing offset.
    if let (ConnectionFault::Gap(_), Some(last)) = (fault, last) {
        send_heartbeats(last, &sender).await;
    }
}

async fn send_heartbeats(frame: Frame, sender: &mpsc::Sender<Frame>) {
    let heartbeat = Frame {
        payload: Payload::Heartbeat,
        ..frame
    };
    while sender.send(heartbeat.clone()).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
    }
}

fn scripted_error(kind: BorderErrorKind) -> BorderError {
    BorderError::new(kind, "scripted")
}

impl AgentLink for ScriptedAgents {
    fn start(
        &self,
        agent: SocketAddr,
        request: AttemptRequest,
    ) -> BoxFuture<'_, Result<FrameStream, BorderError>> {
        Box::pin(async move {
            let vm = self.vms_by_address[&agent].clone();
            let attempt = AttemptRef {
                request_id: request.request_id.clone(),
                attempt: request.attempt,
            };
            let action = (self.script)(&request, &vm);
            self.lock().started_attempts.push((vm, request));
            match action {
                AgentAction::NotDelivered => Err(scripted_error(BorderErrorKind::NotDelivered)),
                AgentAction::Unknown => Err(scripted_error(BorderErrorKind::Unknown)),
                AgentAction::Answer(payloads, faults) => {
                    let frames_and_faults = (payloads, faults);
                    self.lock()
                        .attempts
                        .insert(attempt.clone(), frames_and_faults);
                    Ok(self.connect(&attempt, 0).unwrap())
                }
            }
        })
    }

    fn resume(
        &self,
        _agent: SocketAddr,
        attempt: AttemptRef,
        offset: u64,
    ) -> BoxFuture<'_, Result<FrameStream, BorderError>> {
        Box::pin(async move {
            self.lock().resumptions.push((attempt.attempt, offset));
            let stream = self.connect(&attempt, offset);
            stream.ok_or_else(|| scripted_error(BorderErrorKind::Rejected))
        })
    }

    fn cancel(
        &self,
        _agent: SocketAddr,
        attempt: AttemptRef,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        self.lock().cancelled_attempts.push(attempt);
        Box::pin(async { Ok(()) })
    }

    fn query_claim(
        &self,
        _agent: SocketAddr,
        _query: ClaimQuery,
    ) -> BoxFuture<'_, Result<ClaimState, BorderError>> {
        Box::pin(async { Ok(ClaimState::Unknown) })
    }

    fn push_placements(
        &self,
        _agent: SocketAddr,
        _pushes: Vec<PlacementPush>,
    ) -> BoxFuture<'_, Result<Vec<PlacementAck>, BorderError>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn push_quarantine(
        &self,
        _agent: SocketAddr,
        entries: Vec<QuarantineEntry>,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        self.lock().received_quarantine.extend(entries);
        Box::pin(async { Ok(()) })
    }

    fn status(&self, agent: SocketAddr) -> BoxFuture<'_, Result<AgentStatus, BorderError>> {
        let status = AgentStatus {
            vm: self.vms_by_address[&agent].clone(),
            zone: "huehue-a".into(),
            group: "colmena-llm".into(),
            incarnation: 1,
            revision: 1,
            leaving: false,
            endpoint_up: true,
            memory_total_bytes: 0,
            memory_reserved_bytes: 0,
            replicas: Vec::new(),
            cached_memory: Vec::new(),
            cached_disk: Vec::new(),
            slots: Vec::new(),
            load: EndpointLoad::default(),
        };
        Box::pin(async { Ok(status) })
    }

    fn drain(&self, _agent: SocketAddr) -> BoxFuture<'_, Result<(), BorderError>> {
        Box::pin(async { Ok(()) })
    }
}
