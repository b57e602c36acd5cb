//! Signals as something that a task can wait for.

use std::io;

use futures::future::{Either, select};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::low_level::pipe;

use crate::wakeup::Receiver;

/// Receives the SIGTERM signals of this process.
#[derive(Debug)]
pub struct Terminate {
    wakes: Receiver,
}

impl Terminate {
    /// Takes over SIGTERM from its default, which would end the process.
    pub fn install() -> io::Result<Self> {
        let wakes = take_over(SIGTERM)?;
        Ok(Self { wakes })
    }

    /// Waits for the next signal.
    pub async fn wait(&mut self) -> io::Result<()> {
        self.wakes.next().await.map(|_| ())
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
    terminate: Receiver,
    reload: Receiver,
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
        let terminate = std::pin::pin!(self.terminate.next());
        let reload = std::pin::pin!(self.reload.next());
        match select(terminate, reload).await {
            Either::Left((result, _)) => result.map(|_| Signal::Terminate),
            Either::Right((result, _)) => result.map(|_| Signal::Reload),
        }
    }
}

fn take_over(signal: i32) -> io::Result<Receiver> {
    let (wakes, sender) = Receiver::pair()?;
    pipe::register(signal, sender)?;
    Ok(wakes)
}
