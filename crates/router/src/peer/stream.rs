//! TCP streams between entry VMs that count their bytes.

use std::io::Result;
use std::net::Shutdown;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use async_io::Async;
use futures::AsyncRead;
use futures::AsyncWrite;
use futures::io::BufReader;
use futures::io::BufWriter;
use metrics::Counter;

use crate::metric;

/// One end of a connection; clones share it.
#[derive(Clone)]
pub(super) struct Stream {
    inner: Arc<Async<TcpStream>>,
    received: Counter,
    sent: Counter,
}

impl Stream {
    /// Wraps a connected socket.
    pub(super) fn new(socket: Async<TcpStream>) -> Self {
        // With Nagle's algorithm, a grant would wait for the acknowledgement of the previous message.
        let _ = socket.get_ref().set_nodelay(true);
        Self {
            inner: Arc::new(socket),
            received: metrics::counter!(metric::PEER_BYTES, "direction" => "received"),
            sent: metrics::counter!(metric::PEER_BYTES, "direction" => "sent"),
        }
    }

    /// Returns a buffered reader and a buffered writer.
    pub(super) fn split(&self) -> (BufReader<Self>, BufWriter<Self>) {
        (BufReader::new(self.clone()), BufWriter::new(self.clone()))
    }

    /// Closes both directions, which ends every read and write.
    pub(super) fn close(&self) {
        let _ = self.inner.get_ref().shutdown(Shutdown::Both);
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let poll = Pin::new(&mut &*self.inner).poll_read(context, buffer);
        if let Poll::Ready(Ok(count)) = poll {
            self.received.increment(count as u64);
        }
        poll
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        let poll = Pin::new(&mut &*self.inner).poll_write(context, buffer);
        if let Poll::Ready(Ok(count)) = poll {
            self.sent.increment(count as u64);
        }
        poll
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut &*self.inner).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut &*self.inner).poll_close(context)
    }
}
