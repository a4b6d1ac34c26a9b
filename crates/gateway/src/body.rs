//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use async_executor::Task;
use flume::r#async::RecvStream;
use futures::StreamExt;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// A chunk of a streamed body; an error aborts the connection, so that a truncated response cannot look complete.
pub type Chunk = Result<Bytes, std::io::Error>;

/// Most chunks buffered for a slow caller.
const CHUNKS_MAX: usize = 16;

/// Sending end of a streamed body.
pub type ChunkSender = flume::Sender<Chunk>;

/// The body of a response to a caller.
pub enum Body {
    /// A body that is held in memory.
    Whole(Option<Bytes>),
    /// A body that arrives in chunks.
    Streamed {
        /// Receiving end of the chunks.
        chunks: RecvStream<'static, Chunk>,
        /// The task that sends the chunks; it is cancelled if the body is dropped early.
        task: Option<Task<()>>,
    },
}

impl Body {
    /// Creates a body that is held in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Creates a body whose chunks are sent by a task that `spawn` starts.
    pub fn streamed(spawn: impl FnOnce(ChunkSender) -> Task<()>) -> Self {
        let (sender, receiver) = flume::bounded(CHUNKS_MAX);
        Self::Streamed {
            chunks: receiver.into_stream(),
            task: Some(spawn(sender)),
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match &mut *self {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Streamed { chunks, task } => {
                let chunk = futures::ready!(chunks.poll_next_unpin(context));
                if chunk.is_none() {
                    // The sender is done; dropping its task now would cancel its final bookkeeping.
                    if let Some(task) = task.take() {
                        task.detach();
                    }
                }
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Body::Streamed { .. } => SizeHint::default(),
        }
    }
}
