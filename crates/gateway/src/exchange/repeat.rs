//! Repeats taken from the budget, until it is certain when they arrived.

use std::rc::Rc;

use waxwing_core::forwarding::Execution;
use waxwing_core::forwarding::repeat_budget::Candidate;
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
    /// Until when the runs that it replaces may still arrive, in milliseconds. One that arrives after the repeat counts
    /// as the repeat.
    late_until_ms: u64,
}

impl RepeatGuard {
    /// Takes a repeat from the budget of the request's service; returns `None` if it is exhausted.
    pub(crate) fn take(exchange: &Exchange) -> Option<Self> {
        let gateway = &exchange.gateway;
        let now_ms = gateway.clock.now_ms();
        let vms = gateway.peers.borrow().budget_vm_count(now_ms);
        let repeat = gateway.budget.borrow_mut().try_take(
            &exchange.service,
            exchange.repeat_candidate(exchange.progress.execution),
            vms,
            now_ms,
        )?;
        Some(Self {
            gateway: Rc::clone(gateway),
            repeat: Some(repeat),
            is_sent: false,
            late_until_ms: exchange.late_until_ms,
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
    /// Returns what the budget has to know of the request; `execution` is the state of the runs to be replaced.
    fn repeat_candidate(&self, execution: Execution) -> Candidate {
        Candidate {
            level: self.level,
            is_refusable: execution == Execution::NotRun,
        }
    }

    /// Returns whether the budget allows to replace a run that may have been executed.
    pub(crate) fn can_replace(&self) -> bool {
        let now_ms = self.gateway.clock.now_ms();
        let vms = self.gateway.peers.borrow().budget_vm_count(now_ms);
        let candidate = self.repeat_candidate(Execution::Unknown);
        let mut budget = self.gateway.budget.borrow_mut();
        budget.can_take(&self.service, candidate, vms, now_ms)
    }

    /// Records whether a repeat was served; does nothing for the first run of a request.
    pub(crate) fn record_repeat_result(&self, is_served: bool) {
        if self.tried.len() < 2 {
            return;
        }
        let now_ms = self.gateway.clock.now_ms();
        let mut budget = self.gateway.budget.borrow_mut();
        budget.record_result(&self.service, is_served, now_ms);
    }

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
        self.record_repeat_result(false);
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
