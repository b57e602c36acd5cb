//! Reads a file on a thread of its own: a file system that does not answer holds up no request.

use std::io::{self, Write as _};
use std::os::unix::net::UnixStream as StdStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

use sailtrack_net::wakeup;

/// What one look at the file found.
#[derive(Debug)]
pub(super) struct Reading {
    pub(super) text: io::Result<String>,
    /// Somebody asked for it.
    pub(super) is_asked: bool,
}

/// Asks for a look at once.
#[derive(Debug)]
pub(super) struct Asker(Sender<()>);

impl Asker {
    /// Asks for a look; returns false if the file is not read any more.
    pub(super) fn ask(&self) -> bool {
        self.0.send(()).is_ok()
    }
}

/// Gives out what was read.
#[derive(Debug)]
pub(super) struct Reader {
    readings: Receiver<Reading>,
    /// Brings one byte for each reading, which wakes the task that waits for it.
    wakes: wakeup::Receiver,
}

impl Reader {
    /// Begins to read a file each time that `pause` is over, and when it is asked for.
    pub(super) fn start(file: PathBuf, pause: Duration) -> io::Result<(Self, Asker)> {
        let (wakes, thread_side) = wakeup::Receiver::pair()?;
        let (asks, asked) = mpsc::channel();
        let (sender, readings) = mpsc::channel();
        let looks = Looks {
            file,
            pause,
            asked,
            sender,
            waker: thread_side,
        };
        let thread = std::thread::Builder::new().name("settings".to_owned());
        thread.spawn(move || looks.run())?;
        Ok((Self { readings, wakes }, Asker(asks)))
    }

    /// Waits for the next reading; there is none any more once the thread has ended.
    pub(super) async fn next(&mut self) -> Option<Reading> {
        let is_woken = matches!(self.wakes.next().await, Ok(true));
        is_woken.then(|| self.readings.try_recv().ok()).flatten()
    }
}

/// What the thread works with.
struct Looks {
    file: PathBuf,
    pause: Duration,
    asked: Receiver<()>,
    sender: Sender<Reading>,
    waker: StdStream,
}

impl Looks {
    fn run(mut self) {
        loop {
            let is_asked = match self.asked.recv_timeout(self.pause) {
                Ok(()) => true,
                Err(RecvTimeoutError::Timeout) => false,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if !self.tell(read(&self.file, is_asked)) {
                return;
            }
        }
    }

    /// Hands a reading over; returns false if nobody waits for it any more.
    fn tell(&mut self, reading: Reading) -> bool {
        self.sender.send(reading).is_ok() && self.waker.write_all(&[0]).is_ok()
    }
}

fn read(file: &Path, is_asked: bool) -> Reading {
    Reading {
        text: std::fs::read_to_string(file),
        is_asked,
    }
}
