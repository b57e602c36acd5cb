//! Sends a request to the upstream.

use std::io;

use bytes::{Bytes, BytesMut};
use futures::future::{Either, select};
use monoio::io::{AsyncWriteRentExt as _, OwnedWriteHalf};
use monoio::net::TcpStream;

use crate::gate::exchange::{ExchangeError, MAX_HEAD_BYTES};
use crate::gate::pool::Connection;
use crate::memory::Buffer;

/// A request body of up to this many bytes is copied behind the head, to save a system call.
const MAX_JOINED_BYTES: usize = 16 * 1024;

/// Sends a request and returns the first response head, and whether the request was completely
/// written by then: an upstream may respond and close before it has read a whole request.
pub(super) async fn send(
    connection: &mut Connection,
    head: BytesMut,
    body: Buffer,
) -> Result<(Bytes, bool), ExchangeError> {
    let Connection { reader, writer, .. } = connection;
    let writing = std::pin::pin!(write(writer, head, body));
    let reading = std::pin::pin!(reader.response_head(MAX_HEAD_BYTES));
    let (head, was_sent) = match select(writing, reading).await {
        Either::Left((written, reading)) => {
            let head = reading.await;
            if let (Err(error), Err(_)) = (written, &head) {
                return Err(ExchangeError::Io(error));
            }
            (head, true)
        }
        Either::Right((head, _)) => (head, false),
    };
    Ok((head.map_err(ExchangeError::Message)?, was_sent))
}

/// Writes a request; a short body goes into one write with the head.
async fn write(
    writer: &mut OwnedWriteHalf<TcpStream>,
    mut head: BytesMut,
    body: Buffer,
) -> io::Result<()> {
    if body.len() <= MAX_JOINED_BYTES {
        for segment in body.segments() {
            head.extend_from_slice(segment);
        }
        return writer.write_all(head).await.0.map(drop);
    }
    writer.write_all(head).await.0?;
    for segment in body.segments() {
        writer.write_all(segment.clone()).await.0?;
    }
    Ok(())
}
