//! Serves one client connection.

use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::{AsyncWriteRent as _, OwnedWriteHalf, Splitable as _};
use monoio::net::TcpStream;
use monoio::time::timeout;
use sailtrack_net::task::Guard;
use sailtrack_net::transparent::Reader;

use crate::entry::Entry;
use crate::entry::answering::Answering;
use crate::entry::pipeline::Pipeline;
use crate::entry::reading::Reading;

/// How long what a refused client still sends is read, so that it can read the refusal.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// How a connection goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Next {
    /// It waits for another request.
    Request,
    /// It ends at once.
    Close,
    /// It ends with its last answer.
    Last,
    /// It does so while its client may still be sending.
    Linger,
}

/// One client connection.
struct Connection {
    entry: Rc<Entry>,
    reader: Reader,
    writer: OwnedWriteHalf<TcpStream>,
}

/// Serves a connection until it ends.
pub(super) async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (read, writer) = stream.into_split();
    let mut connection = Connection {
        entry,
        reader: Reader::new(read),
        writer,
    };
    while connection.wait_for_bytes().await {
        // Boxed, so that a connection without a request does not hold the memory for one.
        if Box::pin(connection.answer_all()).await != Next::Request {
            return;
        }
    }
}

impl Connection {
    /// Waits for the first bytes of a request; returns false once the connection is over.
    ///
    /// The bound is looked up again at its end, since it may have been raised meanwhile.
    async fn wait_for_bytes(&mut self) -> bool {
        let began = Instant::now();
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

    /// Reads and answers requests until none is left.
    async fn answer_all(&mut self) -> Next {
        let pipeline = Pipeline::new(&self.entry);
        let next = {
            let reading = Reading::new(&self.entry, &mut self.reader, &pipeline).run();
            let answering = Answering::new(&self.entry, &mut self.writer, &pipeline).run();
            let (reading, answering) = (std::pin::pin!(reading), std::pin::pin!(answering));
            pipeline.drive(answering, reading).await
        };
        let was_pipelined = pipeline.was_pipelined();
        drop(pipeline);
        let may_reset = was_pipelined || self.reader.buffered() > 0;
        if next == Next::Linger || (next == Next::Last && may_reset) {
            self.linger().await;
        }
        next
    }

    /// Ends the answers and reads what still comes: closing with unread bytes would reset the
    /// connection, and the client could not read its answer.
    async fn linger(&mut self) {
        let _held = Guard::new(&self.entry.in_flight);
        let draining = async {
            // The client may have closed it.
            let _ = self.writer.shutdown().await;
            while matches!(self.reader.fill().await, Ok(count) if count > 0) {
                self.reader.discard();
            }
        };
        // The client may keep its side open for longer.
        let _ = timeout(LINGER_TIME, draining).await;
    }
}
