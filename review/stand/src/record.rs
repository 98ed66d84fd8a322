//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines to `record.txt`; cheap to clone.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {text}", self.now().as_secs_f64());
        let _ = file.flush();
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:9.4} {text}", self.now().as_secs_f64());
        self.line(text);
    }
}
