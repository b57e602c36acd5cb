//! Wakes a task from a signal or from another thread.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use monoio::io::AsyncReadRent as _;
use monoio::net::UnixStream;

/// Receives what wakes a task: one byte each time.
#[derive(Debug)]
pub struct Receiver(UnixStream);

impl Receiver {
    /// Returns the side that waits, and the one that wakes it.
    pub fn pair() -> io::Result<(Self, StdStream)> {
        let (receiver, sender) = StdStream::pair()?;
        receiver.set_nonblocking(true)?;
        Ok((Self(UnixStream::from_std(receiver)?), sender))
    }

    /// Waits until it is woken; returns false if the other side is gone.
    pub async fn next(&mut self) -> io::Result<bool> {
        let (result, _) = self.0.read(vec![0; 1]).await;
        result.map(|count| count > 0)
    }
}
