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

/// How far a request was written when the head of the first response had come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Written {
    Whole,
    /// An upstream may respond before it has read a whole request.
    Part,
    /// Writing failed: the upstream has reset the connection. The system reports a reset once, so
    /// the reads that follow end as on a connection that was closed in order.
    Failed,
}

/// Sends a request and returns the first response head, and how far the request was written.
///
/// What was received is read before more is written, so that a reset is met by the reads if
/// possible.
pub(super) async fn send(
    connection: &mut Connection,
    head: BytesMut,
    body: Buffer,
) -> Result<(Bytes, Written), ExchangeError> {
    let Connection { reader, writer, .. } = connection;
    let writing = std::pin::pin!(write(writer, head, body));
    let reading = std::pin::pin!(reader.response_head(MAX_HEAD_BYTES));
    let (head, written) = match select(reading, writing).await {
        Either::Left((head, _)) => (head, Written::Part),
        Either::Right((Ok(()), reading)) => (reading.await, Written::Whole),
        Either::Right((Err(error), reading)) => match reading.await {
            Err(_) => return Err(ExchangeError::Io(error)),
            head => (head, Written::Failed),
        },
    };
    Ok((head.map_err(ExchangeError::Message)?, written))
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
