//! Reads a file on a separate thread, so that a hanging file system does not block requests.

use std::io::{self, Write as _};
use std::os::unix::net::UnixStream as StdStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

use sailtrack_net::wakeup;

/// The result of reading the file once.
#[derive(Debug)]
pub(super) struct Reading {
    pub(super) text: io::Result<String>,
    /// Whether the reading was requested, rather than due to polling.
    pub(super) is_requested: bool,
}

/// Requests immediate readings of the file.
#[derive(Debug)]
pub(super) struct Trigger(Sender<()>);

impl Trigger {
    /// Requests a reading; returns false if the reader thread has ended.
    pub(super) fn request(&self) -> bool {
        self.0.send(()).is_ok()
    }
}

/// Receives readings from the thread.
#[derive(Debug)]
pub(super) struct Reader {
    readings: Receiver<Reading>,
    /// Receives one byte for each reading, which wakes the waiting task.
    wakes: wakeup::Receiver,
}

impl Reader {
    /// Starts a thread that reads a file at each `interval` and on request.
    pub(super) fn start(file: PathBuf, interval: Duration) -> io::Result<(Self, Trigger)> {
        let (wakes, thread_side) = wakeup::Receiver::pair()?;
        let (trigger, requests) = mpsc::channel();
        let (sender, readings) = mpsc::channel();
        let worker = Worker {
            file,
            interval,
            requests,
            sender,
            waker: thread_side,
        };
        let thread = std::thread::Builder::new().name("settings".to_owned());
        thread.spawn(move || worker.run())?;
        Ok((Self { readings, wakes }, Trigger(trigger)))
    }

    /// Waits for the next reading; returns `None` once the thread has ended.
    pub(super) async fn next(&mut self) -> Option<Reading> {
        let is_woken = matches!(self.wakes.next().await, Ok(true));
        is_woken.then(|| self.readings.try_recv().ok()).flatten()
    }
}

/// The state of the reader thread.
struct Worker {
    file: PathBuf,
    interval: Duration,
    requests: Receiver<()>,
    sender: Sender<Reading>,
    waker: StdStream,
}

impl Worker {
    fn run(mut self) {
        loop {
            let is_requested = match self.requests.recv_timeout(self.interval) {
                Ok(()) => true,
                Err(RecvTimeoutError::Timeout) => false,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if !self.send(read(&self.file, is_requested)) {
                return;
            }
        }
    }

    /// Sends a reading; returns false if the receiver is gone.
    fn send(&mut self, reading: Reading) -> bool {
        self.sender.send(reading).is_ok() && self.waker.write_all(&[0]).is_ok()
    }
}

fn read(file: &Path, is_requested: bool) -> Reading {
    Reading {
        text: std::fs::read_to_string(file),
        is_requested,
    }
}
