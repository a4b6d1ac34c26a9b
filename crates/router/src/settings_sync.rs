//! Settings of the deployment: reads the settings stream, publishes changes and exchanges state with peers.

mod clock;
mod exchange;
mod owner;
mod publish;
mod reader;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use thiserror::Error;
use waxwing_core::state::settings::replay::Snapshot;
use waxwing_core::state::settings::replay::SnapshotError;
use waxwing_wire::settings_api::SettingsHistory;
use waxwing_wire::settings_api::SettingsTree;

pub use publish::publish;
pub use waxwing_wire::settings_record::STREAM;

use self::owner::Message;
use self::owner::Owner;
use crate::shared::Shared;

pub(crate) use self::publish::BUSY;
pub(crate) use self::publish::NOT_READY;

/// Messages that may wait for the settings thread.
const INBOX_MAX: usize = 64;

/// Timeout of a call to the settings thread, in milliseconds.
///
/// The thread does no I/O; its longest step is the check of a deployment, which may have 630 teams.
const ANSWER_TIMEOUT_MS: u64 = 5_000;

/// Result of a call to the settings thread.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a call to the settings thread.
#[derive(Debug, Error)]
pub enum Error {
    /// The thread did not answer in time.
    #[error("the settings thread did not answer within {ANSWER_TIMEOUT_MS} ms")]
    Busy,
    /// The state of a peer was rejected.
    #[error("the settings of the peer are not used: {0}")]
    Snapshot(#[from] SnapshotError),
}

/// Handle to the settings thread.
#[derive(Clone, Debug)]
pub struct SettingsHandle {
    sender: Sender<Message>,
    inbox: Receiver<Message>,
    publishing: Arc<AtomicUsize>,
}

impl SettingsHandle {
    /// Creates the handle; messages are queued until the thread is started.
    pub(crate) fn new() -> Self {
        let (sender, inbox) = flume::bounded(INBOX_MAX);
        Self {
            sender,
            inbox,
            publishing: Arc::default(),
        }
    }

    /// Returns the active state for a peer, or `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Fails if the settings thread does not answer in time.
    pub fn export(&self) -> Result<Option<Snapshot>> {
        self.call(|reply| Message::Export { reply })
    }

    /// Adopts the state of a peer if it is newer, and returns whether it was.
    ///
    /// A VM that starts while the log is down gets its settings this way.
    ///
    /// # Errors
    ///
    /// Fails if the settings thread does not answer in time, or if the state is invalid or would replace a subtree by
    /// an older version.
    pub fn import(&self, snapshot: Snapshot) -> Result<bool> {
        let imported = self.call(|reply| Message::Import { snapshot, reply })?;
        Ok(imported?)
    }

    /// Returns the active settings tree, for operators.
    ///
    /// # Errors
    ///
    /// Fails if the settings thread does not answer in time.
    pub fn tree(&self) -> Result<SettingsTree> {
        self.call(|reply| Message::Tree { reply })
    }

    /// Returns the most recent decisions about changes, for operators.
    ///
    /// # Errors
    ///
    /// Fails if the settings thread does not answer in time.
    pub fn history(&self) -> Result<SettingsHistory> {
        self.call(|reply| Message::History { reply })
    }

    fn call<T>(&self, new_message: impl FnOnce(Sender<T>) -> Message) -> Result<T> {
        let (reply, answer) = flume::bounded(1);
        self.send(new_message(reply))?;
        let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
        answer.recv_timeout(timeout).map_err(|_| Error::Busy)
    }

    fn send(&self, message: Message) -> Result<()> {
        let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
        let sent = self.sender.send_timeout(message, timeout);
        sent.map_err(|_| Error::Busy)
    }
}

/// Starts the settings thread and the reader of the stream.
pub fn start(shared: Arc<Shared>) {
    let inbox = shared.settings_sync.inbox.clone();
    let mut owner = Owner::new(Arc::clone(&shared));
    thread::spawn(move || {
        for message in inbox {
            owner.handle(message);
        }
    });
    exchange::start(&shared);
    thread::spawn(move || reader::follow(&shared));
}
