//! What connections to the port of the own upstream show.

#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use displaydoc::Display;
use monoio::time::{sleep, timeout};
use sailtrack_net::dial::{DialError, Dialed, dial};

/// How long an upstream on the same instance may take to accept or refuse a connection. One with a
/// full queue of new connections does neither; it lives.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// The first pause before a port that was open is tried again. The connections of a process that
/// ends are closed one after the other, its port may be among the last.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// The longest pause: something may hold the port and close what comes.
const MAX_BACKOFF: Duration = Duration::from_millis(300);
/// How often it is asked whether an open connection is still wanted.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What a connection that is tried shows of the own upstream.
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
    /// Returns what a connection shows that could not be opened. Only a refusal tells of the other
    /// side: this one may lack descriptors or addresses.
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

/// Tries a connection.
pub(super) async fn probe(target: SocketAddr) -> Finding {
    probe_until_closed(target, || false).await
}

/// Tries connections until one is refused or the answer is not wanted any more; returns what the
/// last one showed.
///
/// One that is accepted is kept open: whoever holds the port of an upstream that has ended closes
/// it at once, or when it lets go of the port.
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

/// Tries a connection, and keeps it until the other side closes it or it is not wanted any more.
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
        // Nothing was asked, so what comes is an end or an error.
        if timeout(CHECK_INTERVAL, dialed.stream.readable(false))
            .await
            .is_ok()
        {
            return;
        }
    }
}
