//! Decides, after a run ended, whether the request is repeated at another endpoint or answered.

use crate::forwarding::configuration::Route;

/// Whether an endpoint executed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// It was not executed and never will be.
    NotRun,
    /// It may have been executed, partly or completely.
    Unknown,
    /// It was executed.
    Ran,
}

/// Outcome of sending a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The connection could not be established.
    Unreachable,
    /// The reused connection was closed before any of the request was written.
    NotWritten,
    /// The endpoint reported that it did not execute the request.
    Rejected,
    /// A different endpoint responded at the address and did not execute the request.
    Misdirected,
    /// The endpoint executed the request and responded with a server error.
    Failed,
    /// The endpoint responded with any other status.
    Answered,
    /// The connection broke, or the response did not belong to the request.
    Lost,
    /// Nothing arrived within the stall timeout.
    Stalled,
    /// The deadline of the request passed.
    Expired,
}

impl RunOutcome {
    /// Returns whether the endpoint executed the request.
    pub fn execution(self) -> Execution {
        match self {
            RunOutcome::Unreachable
            | RunOutcome::NotWritten
            | RunOutcome::Rejected
            | RunOutcome::Misdirected => Execution::NotRun,
            RunOutcome::Failed | RunOutcome::Answered => Execution::Ran,
            RunOutcome::Lost | RunOutcome::Stalled | RunOutcome::Expired => Execution::Unknown,
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RunOutcome::Unreachable => "unreachable",
            RunOutcome::NotWritten => "not_written",
            RunOutcome::Rejected => "rejected",
            RunOutcome::Misdirected => "misdirected",
            RunOutcome::Failed => "failed",
            RunOutcome::Answered => "answered",
            RunOutcome::Lost => "lost",
            RunOutcome::Stalled => "stalled",
            RunOutcome::Expired => "expired",
        }
    }
}

/// State of a request after its runs so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Whether any endpoint executed the request so far.
    pub execution: Execution,
    /// Runs that were or may have been executed.
    pub runs: u32,
    /// Attempts that were certainly not executed.
    pub rejections: u32,
    /// Time to the deadline of the request, in milliseconds.
    pub remaining_ms: u64,
}

impl Progress {
    /// Creates the state of a request that was not sent yet.
    pub fn new(remaining_ms: u64) -> Self {
        Self {
            execution: Execution::NotRun,
            runs: 0,
            rejections: 0,
            remaining_ms,
        }
    }

    /// Adds the outcome of a run.
    pub fn add(&mut self, outcome: RunOutcome) {
        let execution = outcome.execution();
        self.execution = self.execution.max(execution);
        match execution {
            Execution::NotRun => self.rejections += 1,
            Execution::Unknown | Execution::Ran => self.runs += 1,
        }
    }
}

/// Decision after a run that yielded no response to deliver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatDecision {
    /// Send the request to another endpoint.
    Repeat,
    /// Give the request up and respond to the caller.
    GiveUp,
}

/// Maximum number of rejections after which a request is still repeated.
///
/// Each rejection counts against the repeat budget of the service, so a request must not try a whole pool.
pub const REJECTIONS_MAX: u32 = 3;

/// Minimum time to the deadline for another run, in milliseconds.
pub const REPEAT_MIN_REMAINING_MS: u64 = 20;

/// Decides whether a request is sent to another endpoint.
///
/// A request that is not repeatable is sent again only if it was certainly not executed.
pub fn decide_repeat(route: &Route, progress: &Progress) -> RepeatDecision {
    if progress.remaining_ms < REPEAT_MIN_REMAINING_MS || progress.rejections > REJECTIONS_MAX {
        return RepeatDecision::GiveUp;
    }
    if progress.execution == Execution::NotRun {
        return RepeatDecision::Repeat;
    }
    if route.is_repeatable() && progress.runs < route.attempts_max.max(1) {
        return RepeatDecision::Repeat;
    }
    RepeatDecision::GiveUp
}

/// Returns the HTTP status for a request that was given up.
///
/// 503 guarantees that the request was not executed, so it is used only if that is certain.
pub fn status_code(execution: Execution, is_expired: bool) -> u16 {
    match (execution, is_expired) {
        (Execution::NotRun, _) => 503,
        (_, true) => 504,
        (_, false) => 502,
    }
}

/// Silence of a run after which another endpoint takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallTimeouts {
    /// Timeout if the endpoint sent nothing on other connections either, in milliseconds.
    pub unresponsive_ms: u64,
    /// Timeout if the endpoint responds to other requests meanwhile, in milliseconds.
    pub responsive_ms: u64,
}

impl StallTimeouts {
    /// Returns the timeouts before the first byte.
    ///
    /// `typical_ms` is the mean time to first byte of the service, 0 if there is none yet. `prefill_ms` is the time
    /// that the endpoint needs for its pending prefill, including that of this request.
    ///
    /// Under load all endpoints are slow and repeats would add to the load, so the timeouts grow with `typical_ms`.
    pub fn before_first_byte(route: &Route, typical_ms: f64, prefill_ms: f64) -> Self {
        let objective_ms = route.objective_ms as f64;
        let is_unmeasured = typical_ms <= 0.0;
        let typical_ms = if is_unmeasured {
            objective_ms * 0.4
        } else {
            typical_ms
        };
        let unresponsive_ms = (typical_ms * 3.0).max(objective_ms * 0.5) + prefill_ms * 2.0;
        let responsive_ms = (typical_ms * 4.0).max(objective_ms * 0.8) + prefill_ms * 4.0;
        Self {
            unresponsive_ms: unresponsive_ms as u64,
            responsive_ms: responsive_ms as u64,
        }
    }

    /// Returns the timeouts between two events of a stream.
    pub fn between_events(route: &Route) -> Self {
        let gap_ms = route.gap_target_ms.unwrap_or(route.objective_ms);
        Self {
            unresponsive_ms: (gap_ms * UNRESPONSIVE_GAPS).max(UNRESPONSIVE_MIN_MS),
            responsive_ms: (gap_ms * RESPONSIVE_GAPS).max(RESPONSIVE_MIN_MS),
        }
    }

    /// Returns the silence at which the timeouts must be checked next, in milliseconds.
    pub fn next_check_ms(&self, silence_ms: u64) -> u64 {
        if silence_ms < self.unresponsive_ms {
            return self.unresponsive_ms;
        }
        if silence_ms < self.responsive_ms {
            return self.responsive_ms;
        }
        silence_ms + STALLED_CHECK_INTERVAL_MS
    }

    /// Returns whether a silence exceeds the timeout.
    pub fn is_exceeded(&self, silence_ms: u64, is_responsive: bool) -> bool {
        silence_ms
            >= if is_responsive {
                self.responsive_ms
            } else {
                self.unresponsive_ms
            }
    }
}

/// Stall timeout of a stream at an unresponsive endpoint, in multiples of the stream's gap target.
const UNRESPONSIVE_GAPS: u64 = 3;

/// Minimum stall timeout of a stream at an unresponsive endpoint, in milliseconds.
const UNRESPONSIVE_MIN_MS: u64 = 700;

/// Stall timeout of a stream at a responsive endpoint, in multiples of the stream's gap target.
const RESPONSIVE_GAPS: u64 = 6;

/// Minimum stall timeout of a stream at a responsive endpoint, in milliseconds.
const RESPONSIVE_MIN_MS: u64 = 1_500;

/// Interval between checks of a stalled run that has no alternative endpoint, in milliseconds.
const STALLED_CHECK_INTERVAL_MS: u64 = 200;
