//! Replies to datagrams, matched to the requests that wait for them.

use std::cell::RefCell;
use std::collections::HashMap;

/// Requests that wait for a reply, by id.
pub(crate) struct PendingReplies<T> {
    pending: RefCell<HashMap<u64, flume::Sender<T>>>,
}

impl<T> PendingReplies<T> {
    pub(crate) fn new() -> Self {
        Self {
            pending: RefCell::default(),
        }
    }

    /// Returns what receives the reply to a request.
    pub(crate) fn expect(&self, id: u64) -> flume::Receiver<T> {
        let (sender, receiver) = flume::bounded(1);
        let mut pending = self.pending.borrow_mut();
        // Requests that timed out or whose callers left remove nothing themselves.
        pending.retain(|_, sender| !sender.is_disconnected());
        pending.insert(id, sender);
        receiver
    }

    /// Passes a reply to the request that waits for it; a late reply is dropped.
    pub(crate) fn resolve(&self, id: u64, reply: T) {
        if let Some(sender) = self.pending.borrow_mut().remove(&id) {
            // Fails only if the request has been abandoned.
            let _ = sender.try_send(reply);
        }
    }
}
