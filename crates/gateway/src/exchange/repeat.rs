//! Repeats taken from the budget, until it is certain when they arrived.

use std::rc::Rc;

use waxwing_core::Name;
use waxwing_core::forwarding::repeat_budget::LATE_ARRIVAL_MS;
use waxwing_core::forwarding::repeat_budget::Repeat;
use waxwing_core::forwarding::run::RunOutcome;

use crate::exchange::Exchange;
use crate::exchange::send::RunGuard;
use crate::gateway::Gateway;

/// Time within which a responsive endpoint reads a request, in milliseconds.
const READ_MS: u64 = 500;

/// A repeat taken from the budget; if it is dropped after it was sent, it may still arrive.
pub(crate) struct RepeatGuard {
    gateway: Rc<Gateway>,
    repeat: Option<Repeat>,
    is_sent: bool,
    /// Until when the runs that it replaces may still arrive, in milliseconds.
    late_until_ms: u64,
}

impl RepeatGuard {
    /// Takes a repeat from the budget of a service; returns `None` if it is exhausted.
    ///
    /// `late_until_ms` is when earlier runs of the request can no longer arrive. One of them that arrives after the
    /// repeat counts as the repeat.
    pub(crate) fn take(gateway: &Rc<Gateway>, service: &Name, late_until_ms: u64) -> Option<Self> {
        let now_ms = gateway.clock.now_ms();
        let vms = gateway.peers.borrow().budget_vm_count(now_ms);
        let repeat = gateway.budget.borrow_mut().try_take(service, vms, now_ms)?;
        Some(Self {
            gateway: Rc::clone(gateway),
            repeat: Some(repeat),
            is_sent: false,
            late_until_ms,
        })
    }

    /// Records that the repeat arrives at `latest_ms` at the latest.
    fn settle(&mut self, latest_ms: u64) {
        if let Some(repeat) = self.repeat.take() {
            let latest_ms = latest_ms.max(self.late_until_ms);
            self.gateway.budget.borrow_mut().settle(repeat, latest_ms);
        }
    }
}

impl Drop for RepeatGuard {
    fn drop(&mut self) {
        if self.is_sent {
            self.settle(self.gateway.clock.now_ms() + LATE_ARRIVAL_MS);
        } else if let Some(repeat) = self.repeat.take() {
            self.gateway.budget.borrow_mut().cancel(repeat);
        }
    }
}

impl Exchange {
    /// Records that the next run is about to be sent.
    pub(crate) fn begin_repeat(&mut self) {
        if let Some(repeat) = &mut self.repeat {
            repeat.is_sent = true;
        }
    }

    /// Records that the endpoint has begun to answer.
    pub(crate) fn settle_answered(&mut self) {
        if let Some(mut repeat) = self.repeat.take() {
            repeat.settle(self.gateway.clock.now_ms());
        }
    }

    /// Records the end of a run whose endpoint has not begun to answer.
    pub(crate) fn settle_unanswered(&mut self, run: &RunGuard, outcome: RunOutcome) {
        let now_ms = self.gateway.clock.now_ms();
        match outcome {
            // Nothing was sent; the repeat is kept for the next run.
            RunOutcome::Unreachable | RunOutcome::NotWritten => {
                if let Some(repeat) = &mut self.repeat {
                    repeat.is_sent = false;
                }
                return;
            }
            RunOutcome::Stalled | RunOutcome::Expired if !self.has_read(run) => {
                self.late_until_ms = now_ms + LATE_ARRIVAL_MS;
            }
            _ => {}
        }
        if let Some(mut repeat) = self.repeat.take() {
            repeat.settle(now_ms.max(self.late_until_ms));
        }
    }

    /// Returns whether the endpoint of a run responded to others long enough after the run began.
    fn has_read(&self, run: &RunGuard) -> bool {
        let endpoints = self.gateway.endpoints.borrow();
        endpoints.has_responded_since(run.endpoint, run.began_ms + READ_MS)
    }
}
