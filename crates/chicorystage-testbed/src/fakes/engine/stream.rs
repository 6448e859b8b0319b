use std::sync::Arc;

use chicorystage_borders::engine::{EngineEvent, EngineStream};
use tokio::sync::{mpsc, oneshot, watch};

/// Events that a reader may leave unread before its stream waits for it.
const EVENTS_BUFFERED: usize = 64;

/// A running or finished stream; dropping it stops the generation.
#[derive(Debug)]
pub(super) struct StreamEntry {
    log: watch::Receiver<Vec<EngineEvent>>,
    _cancel: oneshot::Sender<()>,
    cut: watch::Sender<()>,
}

/// The generating end of a stream.
#[derive(Debug)]
pub(super) struct StreamWriter {
    pub(super) log: StreamLog,
    pub(super) cancelled: oneshot::Receiver<()>,
}

/// Where a stream's events are written.
#[derive(Debug)]
pub(super) struct StreamLog {
    events: watch::Sender<Vec<EngineEvent>>,
}

/// Opens a stream without events.
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
    /// Opens a reader at a token offset.
    pub(super) fn read(&self, offset_tokens: u64) -> EngineStream {
        let (sender, receiver) = mpsc::channel(EVENTS_BUFFERED);
        let first = usize::try_from(offset_tokens).unwrap_or(usize::MAX);
        let log = self.log.clone();
        let cut = self.cut.subscribe();
        tokio::spawn(forward(first, log, cut, sender));
        receiver
    }

    /// Ends all readers and leaves the generation running.
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
