use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

use crate::logging::LineEncoder;

/// Largest number of lines in the queue; further lines are dropped and counted.
const LINES_MAX: usize = 2_048;
/// Initial capacity of a line's buffer, in bytes; most lines fit.
const LINE_BYTES: usize = 256;

/// Log appender that writes JSON lines to standard output from a dedicated thread.
///
/// A slow or blocked reader of the output loses lines but doesn't delay
/// requests. When the queue is full a line is dropped, and the next line that
/// is queued is followed by one with the event `log_lines_dropped` and the
/// number of lines dropped.
#[derive(Debug)]
pub struct BoundedAppender {
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl BoundedAppender {
    /// Starts the writer thread, which ends when the appender is dropped.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread can't be started.
    pub fn start() -> std::io::Result<Self> {
        let (lines, written) = sync_channel(LINES_MAX);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&written))?;
        Ok(Self {
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
        LineEncoder.encode(&mut SimpleWriter(&mut line), record)?;
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
        // A failed write can't be reported, as standard output is the log's only target.
        let _written = output.write_all(&line);
    }
}
