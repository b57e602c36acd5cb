//! Signals as something that a task can wait for.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use futures::future::{Either, select};
use monoio::io::AsyncReadRent as _;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::low_level::pipe;

/// Receives the SIGTERM signals of this process.
#[derive(Debug)]
pub struct Terminate {
    stream: UnixStream,
}

impl Terminate {
    /// Takes over SIGTERM from its default, which would end the process.
    pub fn install() -> io::Result<Self> {
        let stream = take_over(SIGTERM)?;
        Ok(Self { stream })
    }

    /// Waits for the next signal.
    pub async fn wait(&mut self) -> io::Result<()> {
        receive(&mut self.stream).await
    }
}

/// A signal that a process acts on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// It is to finish its work and end.
    Terminate,
    /// Its settings have changed.
    Reload,
}

/// Receives the signals of this process.
#[derive(Debug)]
pub struct Signals {
    terminate: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Takes over SIGTERM and SIGHUP from their defaults, which would end the process.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: take_over(SIGTERM)?,
            reload: take_over(SIGHUP)?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> io::Result<Signal> {
        let terminate = std::pin::pin!(receive(&mut self.terminate));
        let reload = std::pin::pin!(receive(&mut self.reload));
        match select(terminate, reload).await {
            Either::Left((result, _)) => result.map(|()| Signal::Terminate),
            Either::Right((result, _)) => result.map(|()| Signal::Reload),
        }
    }
}

fn take_over(signal: i32) -> io::Result<UnixStream> {
    let (receiver, sender) = StdStream::pair()?;
    receiver.set_nonblocking(true)?;
    pipe::register(signal, sender)?;
    UnixStream::from_std(receiver)
}

async fn receive(stream: &mut UnixStream) -> io::Result<()> {
    let (result, _) = stream.read(vec![0; 1]).await;
    result.map(|_| ())
}
