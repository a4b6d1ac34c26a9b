//! Bodies of requests to endpoints.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::error::Error;
use crate::write_state::WriteState;

/// Length of a piece, in bytes: that of the buffers of connections, so that memory which one of them frees fits the
/// other.
const PIECE_BYTES: usize = 16_384;

/// A body in pieces, which the runs of a request share.
///
/// Bodies of very different lengths in one allocation each would leave gaps that nothing else fits into.
#[derive(Clone, Debug)]
pub(crate) struct Pieces(Rc<[Bytes]>);

impl Pieces {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.0.iter()
    }
}

impl From<Bytes> for Pieces {
    fn from(bytes: Bytes) -> Self {
        Self(Rc::new([bytes]))
    }
}

/// Collects a body that arrives in frames of any length.
#[derive(Debug, Default)]
pub(crate) struct PieceBuffer {
    pieces: Vec<Bytes>,
    last: Vec<u8>,
    length: usize,
}

impl PieceBuffer {
    /// Returns the bytes collected so far.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns how many bytes are allocated for another frame of a body whose length is not known.
    pub(crate) fn growth(&self, frame_bytes: usize) -> usize {
        let free_bytes = self.last.capacity() - self.last.len();
        frame_bytes
            .saturating_sub(free_bytes)
            .next_multiple_of(PIECE_BYTES)
    }

    /// Adds a frame of a body that has `left_bytes` more, this frame included, if that is known.
    pub(crate) fn push(&mut self, mut frame: &[u8], mut left_bytes: Option<usize>) {
        self.length += frame.len();
        while !frame.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.seal();
                let length = left_bytes.unwrap_or(PIECE_BYTES).clamp(1, PIECE_BYTES);
                self.last.reserve_exact(length);
            }
            let free_bytes = self.last.capacity() - self.last.len();
            let (head, rest) = frame.split_at(free_bytes.min(frame.len()));
            self.last.extend_from_slice(head);
            left_bytes = left_bytes.map(|left| left.saturating_sub(head.len()));
            frame = rest;
        }
    }

    pub(crate) fn finish(mut self) -> Pieces {
        self.seal();
        Pieces(self.pieces.into())
    }

    fn seal(&mut self) {
        let full = std::mem::take(&mut self.last);
        if !full.is_empty() {
            self.pieces.push(Bytes::from(full));
        }
    }
}

/// The body of one run; tells the connection when all of it has been taken.
#[derive(Debug)]
pub struct RequestBody {
    pieces: Pieces,
    next: usize,
    left_bytes: u64,
    writes: Rc<WriteState>,
}

impl RequestBody {
    pub(crate) fn new(pieces: Pieces, writes: Rc<WriteState>) -> Self {
        let left_bytes = pieces.iter().map(|piece| piece.len() as u64).sum();
        writes.begin_message(left_bytes > 0);
        Self {
            pieces,
            next: 0,
            left_bytes,
            writes,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let Some(piece) = self.pieces.0.get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.left_bytes -= piece.len() as u64;
        if self.left_bytes == 0 {
            self.writes.end_body();
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left_bytes)
    }
}
