//! Finds the software version that began a stream which a caller takes up again.
//!
//! The gateway that relays the first event of a stream tells the two gateways that rank first for the
//! stream. A gateway that does not know a stream asks those, so that a stream survives the end of the
//! gateway that began it, and reads the rows that gateways write ([`stream_rows`]), so that it survives
//! the end of all. A stream that is found nowhere goes on only if a single version can have begun it by
//! what the store tells then ([`software_rows`]). A store that has returned from an older copy may lack a
//! version, in its rows and its registry, until the endpoints have registered again; so such a stream
//! waits for that.

use std::rc::Rc;
use std::time::Duration;

use chicorystage_api::name::{ServiceName, SoftwareVersion, StreamId, VmId};
use chicorystage_core::rendezvous;
use chicorystage_core::stream_origins::ResumeTarget;

use crate::gateway::origin_evidence::OriginEvidence;
use crate::gateway::peer_message::PeerContent;
use crate::gateway::peers;
use crate::gateway::shared::Gateway;
use crate::gateway::software_rows;
use crate::gateway::stream_rows;
use crate::timer::unix_ms;

/// Number of gateways that are told of a stream.
const TOLD_GATEWAYS: usize = 2;
/// Number of gateways that are asked for a stream: one of those that were told may be the asking one,
/// and the gateway that began the stream may rank before them.
const ASKED_GATEWAYS: usize = 3;
/// Number of times that gateways are asked again, as datagrams may be lost.
const FURTHER_QUESTIONS: u32 = 3;
/// Longest wait for an answer, in milliseconds.
const ANSWER_MS: u64 = 60;

/// Records that a stream has begun at an endpoint of this version, and tells other gateways.
pub(super) fn record_begun(gateway: &Rc<Gateway>, stream: StreamId, software: SoftwareVersion) {
    let now_ms = gateway.now_ms();
    gateway.with(|view| {
        let begun = &mut view.begun_streams;
        begun.record(now_ms, stream.clone(), software.clone());
    });
    let told = ranked(gateway, &stream, TOLD_GATEWAYS);
    if told.is_empty() {
        return;
    }
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let content = PeerContent::Stream { stream, software };
        peers::send_to(&gateway, &told, content).await;
    });
}

/// Records the version of a stream that another gateway has told.
pub(super) fn merge(gateway: &Gateway, stream: StreamId, software: SoftwareVersion) {
    let now_ms = gateway.now_ms();
    gateway.with(|view| view.begun_streams.record(now_ms, stream, software));
    gateway.stream_told.notify_waiters();
}

/// Answers another gateway that asks for the version of a stream, if it is known.
pub(super) fn answer(gateway: &Rc<Gateway>, from: VmId, stream: StreamId) {
    let Some(software) = known(gateway, &stream) else {
        return;
    };
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let content = PeerContent::Stream { stream, software };
        peers::send_to(&gateway, &[from], content).await;
    });
}

/// Returns where a stream that a caller takes up again may go on, and by what evidence; `stream` is
/// `None` if the caller does not name it.
///
/// A gateway that knows the stream decides. Otherwise the stream goes on only if the store shows that a
/// single version can have begun it; what this gateway knows of the store may be old.
pub(super) async fn find(
    gateway: &Rc<Gateway>,
    service: &ServiceName,
    stream: Option<&StreamId>,
) -> (ResumeTarget, OriginEvidence) {
    let since_ms = gateway.now_ms();
    if let Some(stream) = stream
        && let Some(software) = ask_once(gateway, stream).await
    {
        return (ResumeTarget::Version(software), OriginEvidence::Stream);
    }
    let is_read = software_rows::read(gateway, since_ms).await.is_ok();
    let (target, evidence) = if !is_read {
        (ResumeTarget::Unknown, OriginEvidence::StoreAway)
    } else if gateway.knows_live_endpoints() {
        (by_versions(gateway, service), OriginEvidence::Versions)
    } else {
        (ResumeTarget::Unknown, OriginEvidence::StoreRestored)
    };
    let (ResumeTarget::Unknown, Some(stream)) = (&target, stream) else {
        return (target, evidence);
    };
    if is_read {
        let reading = Rc::clone(gateway);
        tokio::task::spawn_local(async move { stream_rows::read(&reading).await });
    }
    for _ in 0..FURTHER_QUESTIONS {
        if let Some(software) = ask_once(gateway, stream).await {
            return (ResumeTarget::Version(software), OriginEvidence::Stream);
        }
    }
    (ResumeTarget::Unknown, evidence)
}

/// Returns where a stream that nobody knows may go on by the versions that served lately, which must
/// have been read from the store since the stream began.
fn by_versions(gateway: &Gateway, service: &ServiceName) -> ResumeTarget {
    gateway.with(|view| {
        let registered = view.fleet.software_versions(service);
        view.software.resume_target(unix_ms(), service, &registered)
    })
}

fn known(gateway: &Gateway, stream: &StreamId) -> Option<SoftwareVersion> {
    gateway.with(|view| view.begun_streams.version(stream).cloned())
}

/// Asks other gateways for the version of a stream unless it is known; returns `None` if none tells it
/// in time.
async fn ask_once(gateway: &Rc<Gateway>, stream: &StreamId) -> Option<SoftwareVersion> {
    if let Some(software) = known(gateway, stream) {
        return Some(software);
    }
    let asked = ranked(gateway, stream, ASKED_GATEWAYS);
    let content = PeerContent::StreamWanted(stream.clone());
    let told = async {
        loop {
            let told = gateway.stream_told.notified();
            if let Some(software) = known(gateway, stream) {
                return software;
            }
            told.await;
        }
    };
    peers::send_to(gateway, &asked, content).await;
    let limit = Duration::from_millis(ANSWER_MS);
    tokio::time::timeout(limit, told).await.ok()
}

/// Returns the other gateways that rank first for a stream.
fn ranked(gateway: &Gateway, stream: &StreamId, count: usize) -> Vec<VmId> {
    let mut vms: Vec<VmId> = gateway.with(|view| view.peers.keys().cloned().collect());
    rendezvous::rank(stream.as_str(), &mut vms, VmId::as_str);
    vms.truncate(count);
    vms
}
