use std::sync::Arc;

use chicorystage_borders::engine::{EngineEvent, EngineStream};
use tokio::sync::{mpsc, oneshot, watch};

/// Events buffered for a slow reader before its stream applies backpressure.
const EVENTS_BUFFERED: usize = 64;

/// A running or finished stream; dropping it cancels the generation.
#[derive(Debug)]
pub(super) struct StreamEntry {
    log: watch::Receiver<Vec<EngineEvent>>,
    _cancel: oneshot::Sender<()>,
    cut: watch::Sender<()>,
}

/// Write half of a stream, which the generating task owns.
#[derive(Debug)]
pub(super) struct StreamWriter {
    pub(super) log: StreamLog,
    pub(super) cancelled: oneshot::Receiver<()>,
}

/// All events of a stream so far, for readers at any offset.
#[derive(Debug)]
pub(super) struct StreamLog {
    events: watch::Sender<Vec<EngineEvent>>,
}

/// Creates a stream without events.
pub(super) fn open() -> (StreamEntry, StreamWriter) {
    let (log, log_receiver) = watch::channel(Vec::new());
    let (cancel, cancelled) = oneshot::channel();
    let entry = StreamEntry {
        log: log_receiver,
        _cancel: cancel,
        cut: watch::Sender::new(()),
    };
    let log = StreamLog { events: log };
    (entry, StreamWriter { log, cancelled })
}

impl StreamEntry {
    /// Opens a reader that starts at a token offset.
    pub(super) fn read(&self, offset_tokens: u64) -> EngineStream {
        let (sender, receiver) = mpsc::channel(EVENTS_BUFFERED);
        let first = usize::try_from(offset_tokens).unwrap_or(usize::MAX);
        let log = self.log.clone();
        let cut = self.cut.subscribe();
        tokio::spawn(forward(first, log, cut, sender));
        receiver
    }

    /// Closes all readers; the generation continues.
    pub(super) fn cut_readers(&self) {
        self.cut.send_replace(());
    }
}

impl StreamLog {
    pub(super) fn push(&self, event: EngineEvent) {
        self.events.send_modify(|events| events.push(event));
    }

    pub(super) fn token(&self, offset_tokens: u64, text: String) {
        self.push(EngineEvent::Token {
            offset_tokens,
            text: Arc::from(text),
        });
    }
}

/// Sends events from index `first` on until the stream ends or is cut, or the reader disconnects.
async fn forward(
    first: usize,
    mut log: watch::Receiver<Vec<EngineEvent>>,
    mut cut: watch::Receiver<()>,
    sender: mpsc::Sender<EngineEvent>,
) {
    let mut next = first;
    let mut open = true;
    loop {
        let events: Vec<EngineEvent> = log
            .borrow_and_update()
            .get(next..)
            .unwrap_or_default()
            .to_vec();
        for event in events {
            next += 1;
            if sender.send(event).await.is_err() {
                return;
            }
        }
        if !open {
            return;
        }
        tokio::select! {
            changed = log.changed() => open = changed.is_ok(),
            _changed = cut.changed() => return,
            () = sender.closed() => return,
        }
    }
}
