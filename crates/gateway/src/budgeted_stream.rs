//! A stream that yields to other tasks while its peer sends continuously, and tells what of it has been written.

use std::cell::Cell;
use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use futures::io::AsyncRead;
use futures::io::AsyncWrite;

/// Bytes read in a row before yielding; several times a socket buffer, so well-behaved peers are never delayed.
const READ_BUDGET_BYTES: usize = 262_144;

/// Wraps a stream and yields to the executor after every [`READ_BUDGET_BYTES`] bytes read in a row.
///
/// A parser reads for as long as bytes are available. Without yielding, a peer that sends bytes which never complete
/// anything, for example a chunk size of endless zeros, would block the only thread of the process.
pub(crate) struct BudgetedStream<S> {
    stream: S,
    writes: Rc<WriteState>,
    /// Bytes read since the stream last had no data available.
    consecutive_bytes: usize,
}

impl<S> BudgetedStream<S> {
    pub(crate) fn new(stream: S, writes: Rc<WriteState>) -> Self {
        Self {
            stream,
            writes,
            consecutive_bytes: 0,
        }
    }
}

/// What has been written to a connection.
#[derive(Debug, Default)]
pub(crate) struct WriteState {
    /// Whether a part of the last message's body has not been taken for writing.
    has_body_left: Cell<bool>,
    /// Whether something is to be written after the last flush; what was taken is flushed when all of it has been written.
    has_unflushed: Cell<bool>,
    has_failed: Cell<bool>,
}

impl WriteState {
    /// Returns whether all messages so far have been written to their ends.
    pub(crate) fn is_complete(&self) -> bool {
        !self.has_body_left.get() && !self.has_unflushed.get() && !self.has_failed.get()
    }

    /// Records that a message is to be written, with a body or without one.
    pub(crate) fn begin_message(&self, has_body: bool) {
        self.has_body_left.set(has_body);
        self.has_unflushed.set(true);
    }

    /// Records that the last part of the body has been taken for writing.
    pub(crate) fn end_body(&self) {
        self.has_body_left.set(false);
        self.has_unflushed.set(true);
    }

    fn record(&self, written: &Poll<Result<usize>>) {
        match written {
            Poll::Ready(Ok(_)) | Poll::Pending => self.has_unflushed.set(true),
            Poll::Ready(Err(_)) => self.has_failed.set(true),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BudgetedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        if self.consecutive_bytes >= READ_BUDGET_BYTES {
            self.consecutive_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match &read {
            Poll::Ready(Ok(length)) => self.consecutive_bytes += length,
            Poll::Ready(Err(_)) | Poll::Pending => self.consecutive_bytes = 0,
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BudgetedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.writes.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.writes.record(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if let Poll::Ready(Ok(())) = flushed {
            self.writes.has_unflushed.set(false);
        }
        flushed
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
