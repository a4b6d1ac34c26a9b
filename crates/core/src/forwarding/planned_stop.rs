//! Decides what a VM still does between the signal to stop and its end, so that each request gets a final answer.
//!
//! A stop has three phases. While the VM is [`Phase::Draining`], callers may still use its address, and requests go on.
//! When it is [`Phase::Closing`], it accepts no connection, and requests that have no answer yet get a final one;
//! answers that are being sent go on. When it is [`Phase::Ended`], what is left is broken off and the process ends.

use std::collections::HashMap;

use crate::Name;
use crate::forwarding::run::Execution;

/// Time after the signal in which callers may still use this VM's address, in milliseconds.
const ADDRESS_LINGER_MS: u64 = 4_500;

/// Time after the signal in which requests are accepted however long their route lets them take, in milliseconds.
const ACCEPT_MS: u64 = 2_500;

/// Time between the end of the process and the moment at which it would be killed, in milliseconds.
const EXIT_RESERVE_MS: u64 = 250;

/// Time to send final answers to any number of requests, in milliseconds; timers fire late on a busy VM.
const ANSWER_BASE_MS: u64 = 100;

/// Time to send the final answer of one request and to log it, in microseconds.
const ANSWER_US: u64 = 500;

/// Weight of the newest answer in the mean time to answer a route's requests.
const NEWEST_WEIGHT: f64 = 0.1;

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests go on, and some new ones are accepted.
    Draining,
    /// Requests without an answer get a final one; answers that are being sent go on.
    Closing,
    /// The process ends.
    Ended,
}

/// What a VM that stops has left to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Remaining {
    /// Requests of which the caller has received nothing.
    pub unanswered: u32,
    /// Requests whose answer is being relayed.
    pub relaying: u32,
    /// Connections that were used and are open; once the VM is closing, each has something left to send.
    pub connections: u32,
}

/// A request that arrives during a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewRequest {
    /// Longest time that it may take, in milliseconds.
    pub timeout_ms: u64,
    /// Time that requests of its route took lately, in milliseconds, if there were any.
    pub typical_ms: Option<u64>,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
}

impl NewRequest {
    /// Returns whether the request is likely to end within `left_ms`.
    fn fits(&self, left_ms: u64) -> bool {
        self.typical_ms
            .is_none_or(|typical_ms| typical_ms < left_ms)
    }
}

/// A planned stop.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    since_ms: u64,
    grace_ms: u64,
    phase: Phase,
}

impl PlannedStop {
    /// Begins a stop at `now_ms` of a VM that is killed `grace_ms` later.
    pub fn new(grace_ms: u64, now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            grace_ms,
            phase: Phase::Draining,
        }
    }

    /// Returns whether a new request is accepted.
    ///
    /// The caller of a request that may run only once cannot repeat it after the stop, so one that is unlikely to end in
    /// time is left to another VM. The caller of a repeatable one loses nothing by the attempt but time.
    pub fn accepts(&self, request: &NewRequest, now_ms: u64) -> bool {
        if self.phase != Phase::Draining {
            return false;
        }
        let elapsed_ms = now_ms.saturating_sub(self.since_ms);
        let left_ms = self.answers_due_ms(1).saturating_sub(elapsed_ms);
        if request.timeout_ms < left_ms {
            return true;
        }
        let is_worthwhile = request.is_repeatable || request.fits(left_ms);
        elapsed_ms < ACCEPT_MS && left_ms > 0 && is_worthwhile
    }

    /// Moves on to the phase that follows from what is left to do, and returns it; a phase never comes back.
    ///
    /// The VM closes before it ends even if it was delayed, and a closing VM does not end before all requests have an answer,
    /// since they get no other one. Giving them one takes no more than processor time.
    pub fn advance(&mut self, remaining: Remaining, now_ms: u64) -> Phase {
        let elapsed_ms = now_ms.saturating_sub(self.since_ms);
        match self.phase {
            Phase::Draining => {
                let is_idle = remaining.unanswered == 0 && remaining.relaying == 0;
                let is_done = is_idle && elapsed_ms >= ADDRESS_LINGER_MS;
                if is_done || elapsed_ms >= self.answers_due_ms(remaining.unanswered) {
                    self.phase = Phase::Closing;
                }
            }
            Phase::Closing => {
                let is_due = elapsed_ms >= self.end_ms() && remaining.unanswered == 0;
                if is_due || remaining == Remaining::default() {
                    self.phase = Phase::Ended;
                }
            }
            Phase::Ended => {}
        }
        self.phase
    }

    /// Returns the time until [`Self::advance`] has to be called again, in milliseconds, if nothing changes before.
    pub fn next_check_ms(&self, remaining: Remaining, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.since_ms);
        let due_ms = match self.phase {
            Phase::Draining => self.answers_due_ms(remaining.unanswered),
            Phase::Closing | Phase::Ended => self.end_ms(),
        };
        due_ms.saturating_sub(elapsed_ms)
    }

    /// Returns the time after the signal at which requests get their final answers, in milliseconds.
    ///
    /// Until then an endpoint may still answer, so it is as late as the time to send `count` answers allows.
    fn answers_due_ms(&self, count: u32) -> u64 {
        let sending_ms = ANSWER_BASE_MS + u64::from(count) * ANSWER_US / 1_000;
        let end_ms = self.end_ms();
        end_ms - sending_ms.min(end_ms / 2)
    }

    /// Returns the time after the signal at which the process ends, in milliseconds.
    fn end_ms(&self) -> u64 {
        self.grace_ms - EXIT_RESERVE_MS.min(self.grace_ms / 2)
    }
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its body is arriving.
    Receiving,
    /// It waits in this VM: for its turn, for a permit, for a connection, or between two runs.
    Waiting,
    /// It was sent to an endpoint, which has not begun to answer.
    Sent,
    /// An endpoint has begun to answer; the caller has received nothing.
    Buffering,
    /// The answer is being relayed to the caller.
    Relaying,
}

impl Stage {
    /// All stages, in order.
    pub const ALL: [Stage; 5] = [
        Stage::Receiving,
        Stage::Waiting,
        Stage::Sent,
        Stage::Buffering,
        Stage::Relaying,
    ];

    /// Returns the position in [`Self::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Receiving => "receiving",
            Stage::Waiting => "waiting",
            Stage::Sent => "sent",
            Stage::Buffering => "buffering",
            Stage::Relaying => "relaying",
        }
    }
}

/// What is known of a request that has no final answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// How far it has come.
    pub stage: Stage,
    /// Whether any of its runs that have ended was executed.
    pub execution: Execution,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
}

impl Standing {
    /// Creates the standing of a request whose head has arrived.
    pub fn new() -> Self {
        Self {
            stage: Stage::Receiving,
            execution: Execution::NotRun,
            is_repeatable: false,
        }
    }
}

impl Default for Standing {
    fn default() -> Self {
        Self::new()
    }
}

/// Last answer to a request that the VM cannot finish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// A refusal.
    Refuse {
        /// What may be said of its execution.
        execution: Execution,
        /// Whether the caller may send it again without running it twice.
        may_return: bool,
    },
    /// None: the caller has received a part of the answer, which must not look complete.
    BreakOff,
}

/// Decides the last answer to a request when the VM ends before the request does.
///
/// A request that an endpoint has may still run there after the VM is gone, also if the endpoint has not begun.
pub fn final_answer(standing: Standing) -> FinalAnswer {
    let execution = match standing.stage {
        Stage::Receiving | Stage::Waiting => standing.execution,
        Stage::Sent | Stage::Buffering => standing.execution.max(Execution::Unknown),
        Stage::Relaying => return FinalAnswer::BreakOff,
    };
    FinalAnswer::Refuse {
        execution,
        may_return: execution == Execution::NotRun || standing.is_repeatable,
    }
}

/// Mean time in which requests were answered, by route.
#[derive(Clone, Debug, Default)]
pub struct TypicalTimes {
    mean_ms: HashMap<Name, f64>,
}

impl TypicalTimes {
    /// Adds a request of a route that was answered after `total_ms`.
    pub fn record(&mut self, route: &Name, total_ms: u64) {
        let total_ms = total_ms as f64;
        let Some(mean_ms) = self.mean_ms.get_mut(route) else {
            self.mean_ms.insert(route.clone(), total_ms);
            return;
        };
        *mean_ms += (total_ms - *mean_ms) * NEWEST_WEIGHT;
    }

    /// Returns the mean time of a route's requests, in milliseconds; `None` before the first answer.
    pub fn get(&self, route: &Name) -> Option<u64> {
        self.mean_ms.get(route).map(|mean_ms| *mean_ms as u64)
    }

    /// Forgets the routes for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(&Name) -> bool) {
        self.mean_ms.retain(|route, _| is_kept(route));
    }
}
