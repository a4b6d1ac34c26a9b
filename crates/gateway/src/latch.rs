//! An event that happens once, which any number of tasks wait for.

use std::cell::RefCell;

use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Shared;

/// An event that happens once.
#[derive(Debug)]
pub(crate) struct Latch {
    /// Dropped when the latch is opened.
    sender: RefCell<Option<oneshot::Sender<()>>>,
    opened: Shared<oneshot::Receiver<()>>,
}

impl Latch {
    pub(crate) fn open(&self) {
        self.sender.take();
    }

    pub(crate) fn is_open(&self) -> bool {
        self.sender.borrow().is_none()
    }

    /// Waits until the latch is open.
    pub(crate) fn wait(&self) -> impl Future<Output = ()> + Unpin + use<> {
        self.opened.clone().map(|_| ())
    }
}

impl Default for Latch {
    fn default() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self {
            sender: RefCell::new(Some(sender)),
            opened: receiver.shared(),
        }
    }
}
