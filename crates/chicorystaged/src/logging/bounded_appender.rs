use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

/// Lines that wait to be written; further ones are dropped and counted.
const LINES_MAX: usize = 2_048;
/// Bytes of most lines.
const LINE_BYTES: usize = 256;

/// Writes JSON lines to standard output from a thread of its own.
///
/// A reader of the output that is slow or stuck costs lines, not requests: when
/// the queue is full a line is dropped, and the next one that is written is
/// followed by a line with the number dropped.
#[derive(Debug)]
pub struct BoundedAppender {
    encoder: JsonEncoder,
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl BoundedAppender {
    /// Starts the writing thread, which ends when the appender is dropped.
    ///
    /// # Errors
    ///
    /// Fails where no thread can be started.
    pub fn start() -> std::io::Result<Self> {
        let (lines, written) = sync_channel(LINES_MAX);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&written))?;
        Ok(Self {
            encoder: JsonEncoder::new(),
            lines,
            dropped: AtomicU64::new(0),
        })
    }

    fn send(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_line)) = self.lines.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = Vec::with_capacity(LINE_BYTES);
        self.encoder.encode(&mut SimpleWriter(&mut line), record)?;
        self.send(line);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let note = format!("{{\"event\":\"log_lines_dropped\",\"count\":{dropped}}}\n");
            self.send(note.into_bytes());
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout();
    while let Ok(line) = lines.recv() {
        // Where standard output is closed there is nobody to tell.
        let _written = output.write_all(&line);
    }
}
