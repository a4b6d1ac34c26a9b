//! How much of the messages on a connection has been written.

use std::cell::Cell;
use std::io::Result;
use std::task::Poll;

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

    /// Records the result of writing a part of what was taken.
    pub(crate) fn record_write(&self, written: &Poll<Result<usize>>) {
        match written {
            Poll::Ready(Ok(_)) | Poll::Pending => self.has_unflushed.set(true),
            Poll::Ready(Err(_)) => self.has_failed.set(true),
        }
    }

    /// Records that all that was taken has been written.
    pub(crate) fn record_flush(&self) {
        self.has_unflushed.set(false);
    }
}
