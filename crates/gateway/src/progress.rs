//! How far requests have come, for the final answer that they get if the VM stops before they end.
//!
//! [`waxwing_core::forwarding::run::Progress`] holds the runs of one request for the decision about the next one; the progress
//! here is shared with the stop, and is counted.

use std::cell::Cell;
use std::rc::Rc;

use waxwing_core::forwarding::Execution;
use waxwing_core::forwarding::planned_stop::Stage;
use waxwing_core::forwarding::planned_stop::Standing;

/// Requests in progress, by stage.
#[derive(Debug, Default)]
pub(crate) struct StageCounts {
    counts: [Cell<u32>; Stage::ALL.len()],
}

impl StageCounts {
    pub(crate) fn get(&self, stage: Stage) -> u32 {
        self.counts[stage.index()].get()
    }

    pub(crate) fn total(&self) -> u32 {
        self.counts.iter().map(Cell::get).sum()
    }

    pub(crate) fn add(&self, stage: Stage) {
        let count = &self.counts[stage.index()];
        count.set(count.get() + 1);
    }

    fn remove(&self, stage: Stage) {
        let count = &self.counts[stage.index()];
        count.set(count.get() - 1);
    }
}

/// How a stop ended a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopEnd {
    pub(crate) stage: Stage,
    /// Status that the caller got.
    pub(crate) status: u16,
    pub(crate) execution: Execution,
}

/// How far a request has come; shared by the tasks that carry it and the one that ends it when the VM stops.
#[derive(Debug)]
pub(crate) struct RequestProgress {
    counts: Rc<StageCounts>,
    standing: Cell<Standing>,
    end: Cell<Option<StopEnd>>,
}

impl RequestProgress {
    pub(crate) fn begin(counts: &Rc<StageCounts>) -> Rc<Self> {
        let standing = Standing::new();
        counts.add(standing.stage);
        Rc::new(Self {
            counts: Rc::clone(counts),
            standing: Cell::new(standing),
            end: Cell::new(None),
        })
    }

    pub(crate) fn standing(&self) -> Standing {
        self.standing.get()
    }

    /// Moves on to a stage; an answer that is being relayed stays so while its stream resumes elsewhere.
    pub(crate) fn set_stage(&self, stage: Stage) {
        let standing = self.standing.get();
        if standing.stage == Stage::Relaying {
            return;
        }
        self.counts.remove(standing.stage);
        self.counts.add(stage);
        self.standing.set(Standing { stage, ..standing });
    }

    pub(crate) fn set_repeatable(&self, is_repeatable: bool) {
        let standing = self.standing.get();
        self.standing.set(Standing {
            is_repeatable,
            ..standing
        });
    }

    /// Records whether the runs that have ended were executed.
    pub(crate) fn set_execution(&self, execution: Execution) {
        let standing = self.standing.get();
        self.standing.set(Standing {
            execution,
            ..standing
        });
    }

    /// Records that a stop ends the request, before its tasks are dropped.
    pub(crate) fn end(&self, end: StopEnd) {
        self.end.set(Some(end));
    }

    /// Returns how a stop ended the request, if one did.
    pub(crate) fn stop_end(&self) -> Option<StopEnd> {
        self.end.get()
    }
}

impl Drop for RequestProgress {
    fn drop(&mut self) {
        self.counts.remove(self.standing.get().stage);
    }
}
