//! A byte stream that fails once its byte budget is used up.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use monoio::BufResult;
use monoio::buf::{IoBufMut, IoVecBufMut};
use monoio::io::AsyncReadRent;

/// The number of bytes that may still be read, shared with the owner of the reader.
#[derive(Debug, Clone, Default)]
pub(crate) struct Budget(Rc<Cell<usize>>);

impl Budget {
    /// Sets the budget to this many bytes.
    pub(crate) fn reset(&self, bytes: usize) {
        self.0.set(bytes);
    }

    fn consume(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }

    fn is_exhausted(&self) -> bool {
        self.0.get() == 0
    }
}

/// A reader that fails once the budget is used up; it exceeds the budget by at most one read.
#[derive(Debug)]
pub(crate) struct Bounded<R> {
    inner: R,
    budget: Budget,
}

impl<R> Bounded<R> {
    pub(crate) fn new(inner: R, budget: Budget) -> Self {
        Self { inner, budget }
    }
}

fn exhausted() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "message too large")
}

impl<R: AsyncReadRent> AsyncReadRent for Bounded<R> {
    async fn read<T: IoBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        if self.budget.is_exhausted() {
            return (Err(exhausted()), buffer);
        }
        let (result, buffer) = self.inner.read(buffer).await;
        if let Ok(count) = result {
            self.budget.consume(count);
        }
        (result, buffer)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        if self.budget.is_exhausted() {
            return (Err(exhausted()), buffer);
        }
        let (result, buffer) = self.inner.readv(buffer).await;
        if let Ok(count) = result {
            self.budget.consume(count);
        }
        (result, buffer)
    }
}
