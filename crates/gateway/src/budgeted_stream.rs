//! A stream that yields to other tasks while its peer sends continuously.

use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use futures::io::AsyncRead;
use futures::io::AsyncWrite;

use crate::write_state::WriteState;

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
        self.writes.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.writes.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if let Poll::Ready(Ok(())) = flushed {
            self.writes.record_flush();
        }
        flushed
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
