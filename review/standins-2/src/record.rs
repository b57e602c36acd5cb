//! The record of a run: one line for each thing that was sent, answered, run or done.

use std::fs::File;
use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    path: Arc<str>,
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            path: Arc::from(path),
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.seconds());
        let mut file = self.file.lock().expect("no writer panicked");
        let _ = file.write_all(line.as_bytes());
    }

    /// Returns how many lines from a time on begin with this text.
    pub fn count(&self, text: &str, from: f64) -> std::io::Result<usize> {
        let lines = std::fs::read_to_string(&*self.path)?;
        let lines = lines.lines().filter_map(|line| line.split_once(" s  "));
        let is_later = |time: &str| time.trim().parse().is_ok_and(|time: f64| time >= from);
        let counted = lines.filter(|(time, rest)| is_later(time) && rest.starts_with(text));
        Ok(counted.count())
    }
}
