//! Lets a task wait for process signals.

use std::io;

use futures::future::{Either, select};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::low_level::pipe;

use crate::wakeup::Receiver;

/// Receives the SIGTERM signals of this process.
#[derive(Debug)]
pub struct Terminate {
    wakeups: Receiver,
}

impl Terminate {
    /// Replaces the default action of SIGTERM, which would end the process.
    pub fn install() -> io::Result<Self> {
        let wakeups = register(SIGTERM)?;
        Ok(Self { wakeups })
    }

    /// Waits for the next SIGTERM.
    pub async fn wait(&mut self) -> io::Result<()> {
        self.wakeups.next().await.map(|_| ())
    }
}

/// A signal that the process handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Finish the work in flight and exit (SIGTERM).
    Terminate,
    /// Reload the settings (SIGHUP).
    Reload,
}

/// Receives the SIGTERM and SIGHUP signals of this process.
#[derive(Debug)]
pub struct Signals {
    terminate: Receiver,
    reload: Receiver,
}

impl Signals {
    /// Replaces the default actions of SIGTERM and SIGHUP, which would end the process.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: register(SIGTERM)?,
            reload: register(SIGHUP)?,
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

fn register(signal: i32) -> io::Result<Receiver> {
    let (wakeups, sender) = Receiver::pair()?;
    pipe::register(signal, sender)?;
    Ok(wakeups)
}
