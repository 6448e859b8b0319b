use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<Option<File>>>,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).ok())),
        }
    }

    pub fn line(&self, text: &str) {
        let time = self.started.elapsed().as_secs_f64();
        println!("{time:8.3} {text}");
        if let Some(file) = self.file.lock().unwrap().as_mut() {
            let _ = writeln!(file, "{time:8.3} {text}");
        }
    }
}
