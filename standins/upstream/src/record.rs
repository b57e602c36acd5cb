//! Writes down every execution, so that a test can count them after a kill.

use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::io::{self, Write as _};
use std::path::Path;

/// The record of executions.
pub(crate) struct Record {
    file: Option<RefCell<File>>,
    started: Cell<u64>,
    finished: Cell<u64>,
}

impl Record {
    /// Opens the record at `path`, or one that only counts.
    pub(crate) fn open(path: Option<&Path>) -> io::Result<Self> {
        let file = match path {
            None => None,
            Some(path) => {
                let file = OpenOptions::new().create(true).append(true).open(path)?;
                Some(RefCell::new(file))
            }
        };
        Ok(Self {
            file,
            started: Cell::new(0),
            finished: Cell::new(0),
        })
    }

    /// Writes down that an execution begins.
    pub(crate) fn start(&self, request: &str, path: &str, key: &str) {
        self.started.set(self.started.get() + 1);
        self.write(&format!("start {request} {path} {key}\n"));
    }

    /// Writes down that an execution has ended.
    pub(crate) fn finish(&self, request: &str, path: &str, key: &str) {
        self.finished.set(self.finished.get() + 1);
        self.write(&format!("finish {request} {path} {key}\n"));
    }

    /// Returns how many executions began and ended.
    pub(crate) fn counts(&self) -> (u64, u64) {
        (self.started.get(), self.finished.get())
    }

    fn write(&self, line: &str) {
        if let Some(file) = &self.file {
            let written = file.borrow_mut().write_all(line.as_bytes());
            written.expect("the record of executions can be written");
        }
    }
}
