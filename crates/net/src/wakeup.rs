//! Wakes a task from a signal or from another thread.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use monoio::io::AsyncReadRent as _;
use monoio::net::UnixStream;

/// The receiving end of a socket pair; each byte that arrives is one wakeup.
#[derive(Debug)]
pub struct Receiver(UnixStream);

impl Receiver {
    /// Returns the receiver, and the sender that wakes it with each byte written.
    pub fn pair() -> io::Result<(Self, StdStream)> {
        let (receiver, sender) = StdStream::pair()?;
        receiver.set_nonblocking(true)?;
        Ok((Self(UnixStream::from_std(receiver)?), sender))
    }

    /// Waits for the next wakeup; returns false if the sender was closed.
    pub async fn next(&mut self) -> io::Result<bool> {
        let (result, _) = self.0.read(vec![0; 1]).await;
        result.map(|count| count > 0)
    }
}
