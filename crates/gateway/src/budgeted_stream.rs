//! A stream that lets other tasks run while its peer sends without end.

use std::io::Result;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures::io::AsyncRead;
use futures::io::AsyncWrite;

/// Bytes read in a row before other tasks get their turn: a few times what a socket holds, so sound peers never wait.
const READ_BUDGET_BYTES: usize = 262_144;

/// Reads from a stream in turns.
///
/// A parser reads on as long as bytes are there. A peer that sends bytes which complete nothing, for example a chunk size
/// of zeros without end, would keep the only thread of the process for itself.
pub(crate) struct BudgetedStream<S> {
    stream: S,
    /// Bytes read since the stream had none left.
    consecutive_bytes: usize,
}

impl<S> BudgetedStream<S> {
    pub(crate) fn new(stream: S) -> Self {
        Self {
            stream,
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
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
