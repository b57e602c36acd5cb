//! Serves one client connection.

use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::{AsyncWriteRent as _, OwnedWriteHalf, Splitable as _};
use monoio::net::TcpStream;
use monoio::time::timeout;
use sailtrack_net::connections::Registration;
use sailtrack_net::task::Guard;
use sailtrack_net::transparent::Reader;

use crate::entry::Entry;
use crate::entry::pipeline::Pipeline;
use crate::entry::receiver::Receiver;
use crate::entry::sender::Sender;

/// How long input is drained after a refusal, so that the client can read the response.
const REFUSAL_LINGER_TIME: Duration = Duration::from_millis(500);
/// The same after another response, which may be long and its client slow. A client that has read
/// it closes the connection at once.
const RESPONSE_LINGER_TIME: Duration = Duration::from_secs(2);
/// For how long that begins anew with each input, which shows that the client has not seen the end
/// of the connection yet.
const MAX_LINGER_TIME: Duration = Duration::from_secs(10);

/// What happens to the connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Disposition {
    /// It stays open for another request.
    KeepAlive,
    /// It closes immediately.
    Abort,
    /// It closes once the client has closed it after its last response.
    Close,
    /// The same after a refusal, behind which the client may still be sending.
    Linger,
}

/// One client connection.
struct Connection {
    entry: Rc<Entry>,
    reader: Reader,
    writer: OwnedWriteHalf<TcpStream>,
    registration: Registration,
}

/// Serves a connection until it closes.
pub(super) async fn serve(entry: Rc<Entry>, stream: TcpStream, registration: Registration) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (read, writer) = stream.into_split();
    let mut connection = Connection {
        entry,
        reader: Reader::new(read).count_for(registration.clone()),
        writer,
        registration,
    };
    while connection.wait_for_bytes().await {
        // Boxed, so that an idle connection does not hold the memory needed to serve a request.
        if Box::pin(connection.serve_pipeline()).await != Disposition::KeepAlive {
            return;
        }
    }
}

impl Connection {
    /// Waits for the first bytes of a request; returns false if the connection closed or was idle
    /// for too long.
    ///
    /// The timeout is read again when it expires, since a reload may have raised it.
    async fn wait_for_bytes(&mut self) -> bool {
        let began = Instant::now();
        self.reader.shrink();
        while self.reader.buffered() == 0 {
            let idle_time = self.entry.limits().idle_time;
            let left = idle_time.saturating_sub(began.elapsed());
            if left.is_zero() {
                return false;
            }
            match timeout(left, self.reader.fill()).await {
                Err(_) => {}
                Ok(Ok(count)) if count > 0 => {}
                Ok(_) => return false,
            }
        }
        true
    }

    /// Serves pipelined requests until none is pending.
    async fn serve_pipeline(&mut self) -> Disposition {
        let pipeline = Pipeline::new(&self.entry, &self.registration);
        let disposition = {
            let receiving = Receiver::new(&self.entry, &mut self.reader, &pipeline).run();
            let sending = Sender::new(&self.entry, &mut self.writer, &pipeline).run();
            let (receiving, sending) = (std::pin::pin!(receiving), std::pin::pin!(sending));
            pipeline.drive(sending, receiving).await
        };
        drop(pipeline);
        match disposition {
            Disposition::Close => self.linger(RESPONSE_LINGER_TIME, MAX_LINGER_TIME).await,
            Disposition::Linger => self.linger(REFUSAL_LINGER_TIME, REFUSAL_LINGER_TIME).await,
            Disposition::KeepAlive | Disposition::Abort => {}
        }
        disposition
    }

    /// Shuts down writing and drains input: input that is unread when a socket is closed, or arrives
    /// later, resets the connection, and the client loses what it has not received of the response.
    async fn linger(&mut self, quiet_time: Duration, time: Duration) {
        let _held = Guard::new(&self.entry.closing);
        let draining = async {
            // The client may already have closed the connection.
            let _ = self.writer.shutdown().await;
            // The client may keep its side open for longer.
            while matches!(timeout(quiet_time, self.reader.fill()).await, Ok(Ok(count)) if count > 0)
            {
                self.reader.discard();
            }
        };
        let _ = timeout(time, draining).await;
    }
}
