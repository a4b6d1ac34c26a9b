//! Concurrency limit for calls, and a load report that lags behind it.

use std::collections::BTreeSet;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

/// Interval at which a queued call checks whether its client has disconnected, in milliseconds.
const POLL_MS: u64 = 20;

/// Numbers of running and queued calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
}

/// Limits the number of running calls; the others queue, lowest priority value first.
#[derive(Debug)]
pub(crate) struct Slots {
    running_max: u32,
    report_lag: Duration,
    state: Mutex<State>,
    freed: Condvar,
}

#[derive(Debug)]
struct State {
    running: u32,
    waiting: BTreeSet<(i64, u64)>,
    next_sequence: u64,
    reported: Load,
    reported_at: Instant,
}

/// A running call; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Slot<'a> {
    slots: &'a Slots,
}

impl Slots {
    pub(crate) fn new(running_max: u32, report_lag_ms: u64) -> Self {
        let state = State {
            running: 0,
            waiting: BTreeSet::new(),
            next_sequence: 0,
            reported: Load::default(),
            reported_at: Instant::now(),
        };
        Self {
            running_max,
            report_lag: Duration::from_millis(report_lag_ms),
            state: Mutex::new(state),
            freed: Condvar::new(),
        }
    }

    /// Waits for a slot, or returns `None` when `is_gone` becomes true.
    pub(crate) fn acquire(&self, priority: i64, is_gone: impl Fn() -> bool) -> Option<Slot<'_>> {
        let mut state = self.lock();
        let position = (priority, state.next_sequence);
        state.next_sequence += 1;
        state.waiting.insert(position);
        loop {
            if is_gone() {
                state.waiting.remove(&position);
                self.freed.notify_all();
                return None;
            }
            if state.running < self.running_max && state.waiting.first() == Some(&position) {
                state.waiting.remove(&position);
                state.running += 1;
                self.freed.notify_all();
                return Some(Slot { slots: self });
            }
            let wait = Duration::from_millis(POLL_MS);
            state = match self.freed.wait_timeout(state, wait) {
                Ok((guard, _)) => guard,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    pub(crate) fn running(&self) -> u32 {
        self.lock().running
    }

    /// Returns a load sample that is younger than the lag, and its age.
    pub(crate) fn reported_load(&self) -> (Load, Duration) {
        let mut state = self.lock();
        if state.reported_at.elapsed() >= self.report_lag {
            state.reported = Load {
                running: state.running,
                waiting: state.waiting.len() as u32,
            };
            state.reported_at = Instant::now();
        }
        (state.reported, state.reported_at.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let guard = self.state.lock();
        guard.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.slots.lock().running -= 1;
        self.slots.freed.notify_all();
    }
}
