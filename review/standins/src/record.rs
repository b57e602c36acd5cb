//! The record of a run: one line an event, with the seconds since the start.

use std::fmt::Display;
use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes `record.txt`.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file in the folder of the case.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Returns the seconds from the start of the run to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    /// Writes an event of this moment.
    pub fn note(&self, event: impl Display) {
        self.note_at(Instant::now(), event);
    }

    /// Writes an event of an earlier moment.
    pub fn note_at(&self, at: Instant, event: impl Display) {
        let line = format!("{:8.3} {event}\n", self.seconds(at));
        let mut file = self.file.lock().expect("no thread panicked");
        // Without a record the run still has its exit code.
        let _ = file.write_all(line.as_bytes());
    }
}
