//! Liveness probes of the local upstream's port.

#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use displaydoc::Display;
use monoio::time::{sleep, timeout};
use sailtrack_net::dial::{DialError, Dialed, dial};

/// How long an upstream on the same instance may take to accept or refuse a connection. One with a
/// full accept queue does neither, but it is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// The initial backoff after a probe found the port open. A process that exits closes its
/// connections one after the other, and its listening socket may be among the last.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// The maximum backoff: another process may hold the port and close what it accepts.
const MAX_BACKOFF: Duration = Duration::from_millis(300);
/// How often to check whether the result of an open probe is still wanted.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Finding {
    /// refused
    Refused,
    /// accepted
    Accepted,
    /// neither in time
    Unanswered,
    /// not tried
    Untried,
}

impl Finding {
    /// Classifies a failed connection. Only a refusal says something about the upstream; this node
    /// may lack file descriptors or local addresses.
    fn of(error: &DialError) -> Self {
        match error {
            DialError::Timeout => Self::Unanswered,
            DialError::Io(error) => match error.kind() {
                io::ErrorKind::ConnectionRefused => Self::Refused,
                io::ErrorKind::ConnectionReset => Self::Accepted,
                _ => Self::Untried,
            },
        }
    }
}

/// Probes the port once.
pub(super) async fn probe(target: SocketAddr) -> Finding {
    probe_until_closed(target, || false).await
}

/// Probes the port, and again if an accepted connection is closed within `time`.
pub(super) async fn probe_for(target: SocketAddr, time: Duration) -> Finding {
    let dialed = match dial(target, None, PROBE_TIMEOUT).await {
        Ok(dialed) => dialed,
        Err(error) => return Finding::of(&error),
    };
    // Nothing was sent, so the connection becomes readable only at its end or with an error.
    let closed = timeout(time, dialed.stream.readable(false)).await;
    if closed.is_err() {
        return Finding::Accepted;
    }
    drop(dialed);
    probe(target).await
}

/// Probes the port until it refuses a connection or the result is no longer wanted; returns the
/// last result.
///
/// An accepted connection is kept open: if the upstream has ended, whoever holds its port closes
/// the connection at once or when it releases the port.
pub(super) async fn watch(target: SocketAddr, is_wanted: impl Fn() -> bool) -> Finding {
    let mut backoff = INITIAL_BACKOFF;
    let mut last = Finding::Untried;
    loop {
        sleep(backoff).await;
        if !is_wanted() {
            return last;
        }
        let began = Instant::now();
        last = probe_until_closed(target, &is_wanted).await;
        if last == Finding::Refused {
            return last;
        }
        backoff = if began.elapsed() > backoff {
            INITIAL_BACKOFF
        } else {
            MAX_BACKOFF.min(backoff * 2)
        };
    }
}

/// Probes the port, and keeps an accepted connection until the peer closes it or the result is no
/// longer wanted.
async fn probe_until_closed(target: SocketAddr, is_wanted: impl Fn() -> bool) -> Finding {
    match dial(target, None, PROBE_TIMEOUT).await {
        Ok(dialed) => {
            wait_until_closed(&dialed, is_wanted).await;
            Finding::Accepted
        }
        Err(error) => Finding::of(&error),
    }
}

async fn wait_until_closed(dialed: &Dialed, is_wanted: impl Fn() -> bool) {
    while is_wanted() {
        // Nothing was sent, so the connection becomes readable only at its end or with an error.
        if timeout(CHECK_INTERVAL, dialed.stream.readable(false))
            .await
            .is_ok()
        {
            return;
        }
    }
}
