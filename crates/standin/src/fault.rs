//! Faults that all HTTP stand-ins support, and the cell that holds the current faults.

use std::sync::Mutex;

use flume::Receiver;
use flume::Sender;
use serde::Deserialize;
use serde::Serialize;

/// Faults that all HTTP stand-ins support.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CommonFaults {
    /// Outage of the stand-in, if any.
    pub outage: Option<Outage>,
    /// Time before each call is handled, in milliseconds.
    pub delay_ms: u64,
    /// Whether calls stay open without an answer; they are closed when the fault ends.
    pub silent: bool,
    /// Text that makes the process exit when a request body contains it.
    pub crash_text: Option<String>,
}

/// Kind of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// New connections are refused and calls in progress are cut.
    Refuse,
    /// Calls are answered with 503.
    Unavailable,
}

/// Holds the current faults and notifies the listener of changes.
#[derive(Debug)]
pub(crate) struct FaultCell<F> {
    faults: Mutex<F>,
    changed: Sender<()>,
    changes: Receiver<()>,
}

impl<F: Clone + Default> FaultCell<F> {
    pub(crate) fn new() -> Self {
        let (changed, changes) = flume::bounded(1);
        Self {
            faults: Mutex::new(F::default()),
            changed,
            changes,
        }
    }

    pub(crate) fn get(&self) -> F {
        let guard = self.faults.lock();
        guard
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    pub(crate) fn set(&self, faults: F) {
        let guard = self.faults.lock();
        *guard.unwrap_or_else(|poisoned| poisoned.into_inner()) = faults;
        // If the channel is full, a notification is already pending.
        let _ = self.changed.try_send(());
    }

    pub(crate) fn changes(&self) -> &Receiver<()> {
        &self.changes
    }
}
