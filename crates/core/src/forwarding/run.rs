//! What the end of a run means for the request.

use crate::forwarding::configuration::Route;

/// Whether an endpoint worked on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// It certainly did not and never will.
    NotRun,
    /// It may have, in part or in full.
    Unknown,
    /// It did.
    Ran,
}

/// How sending a request to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// No connection could be made.
    Unreachable,
    /// The kept connection was closed before the request was written.
    NotWritten,
    /// The endpoint stated that it did not run the request.
    Rejected,
    /// Another endpoint answers at the address; it did not run the request.
    Misdirected,
    /// The endpoint answered with a server error of its own.
    Failed,
    /// The endpoint answered with any other status.
    Answered,
    /// The connection broke or the answer was not one to this request.
    Lost,
    /// Nothing arrived for longer than the endpoint should need.
    Stalled,
    /// The time limit of the request passed.
    Expired,
}

impl RunOutcome {
    /// Returns whether the endpoint worked on the request.
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

    /// Returns the name that logs and counters use.
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

/// What is known of a request after one of its runs ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Whether any endpoint worked on the request so far.
    pub execution: Execution,
    /// Runs that may have started.
    pub runs: u32,
    /// Endpoints that certainly did not run the request.
    pub rejections: u32,
    /// Time until the request must be answered, in milliseconds.
    pub remaining_ms: u64,
}

impl Progress {
    /// Returns the state of a request that was not sent yet.
    pub fn new(remaining_ms: u64) -> Self {
        Self {
            execution: Execution::NotRun,
            runs: 0,
            rejections: 0,
            remaining_ms,
        }
    }

    /// Adds the end of a run.
    pub fn add(&mut self, end: RunOutcome) {
        let execution = end.execution();
        self.execution = self.execution.max(execution);
        match execution {
            Execution::NotRun => self.rejections += 1,
            Execution::Unknown | Execution::Ran => self.runs += 1,
        }
    }
}

/// What to do after a run ended without an answer to deliver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatDecision {
    /// Send the request to another endpoint.
    Repeat,
    /// Give the final answer now.
    GiveUp,
}

/// Endpoints that may refuse a request before it is given up.
///
/// Each refusal counts in the repeat budget of the service, so a request must not try a whole pool.
pub const REJECTIONS_MAX: u32 = 3;

/// Time below which another run is not worth starting, in milliseconds.
pub const REPEAT_MIN_LEFT_MS: u64 = 20;

/// Decides whether a request is sent to another endpoint.
///
/// A request that may not run twice is sent on only while it certainly did not run.
pub fn decide_repeat(route: &Route, progress: &Progress) -> RepeatDecision {
    if progress.remaining_ms < REPEAT_MIN_LEFT_MS || progress.rejections > REJECTIONS_MAX {
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

/// Returns the status of a given-up request.
///
/// 503 promises that the request did not run, so it is used only where that is certain.
pub fn status_code(execution: Execution, is_expired: bool) -> u16 {
    match (execution, is_expired) {
        (Execution::NotRun, _) => 503,
        (_, true) => 504,
        (_, false) => 502,
    }
}

/// How long a run may stay silent before another endpoint should take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallTimeouts {
    /// If nothing else was heard from the endpoint either, in milliseconds.
    pub unresponsive_ms: u64,
    /// If the endpoint answers others meanwhile, in milliseconds.
    pub responsive_ms: u64,
}

impl StallTimeouts {
    /// Returns the patience before the first byte; `typical_ms` is what the service usually takes, and `reading_ms` the
    /// time for which the endpoint reads the prompts sent to it, this one included.
    ///
    /// Under load everything is slow, and sending requests elsewhere would add to it, so the patience grows with what
    /// is usual at present.
    pub fn before_first_byte(route: &Route, typical_ms: f64, reading_ms: f64) -> Self {
        let objective_ms = route.objective_ms as f64;
        // Before the first answer nothing is known of what is usual.
        let is_unknown = typical_ms <= 0.0;
        let typical_ms = if is_unknown {
            objective_ms * 0.4
        } else {
            typical_ms
        };
        let unresponsive_ms = (typical_ms * 3.0).max(objective_ms * 0.5) + reading_ms * 2.0;
        let responsive_ms = (typical_ms * 4.0).max(objective_ms * 0.8) + reading_ms * 4.0;
        Self {
            unresponsive_ms: unresponsive_ms as u64,
            responsive_ms: responsive_ms as u64,
        }
    }

    /// Returns the patience between two events of a stream.
    pub fn between_events(route: &Route) -> Self {
        let gap_ms = route.gap_target_ms.unwrap_or(route.objective_ms);
        Self {
            unresponsive_ms: (gap_ms * SILENT_GAPS).max(SILENT_MIN_MS),
            responsive_ms: (gap_ms * HEARD_GAPS).max(HEARD_MIN_MS),
        }
    }

    /// Returns the next silence at which to look again, in milliseconds.
    pub fn next_check_ms(&self, silence_ms: u64) -> u64 {
        if silence_ms < self.unresponsive_ms {
            return self.unresponsive_ms;
        }
        if silence_ms < self.responsive_ms {
            return self.responsive_ms;
        }
        silence_ms + LOOK_AGAIN_MS
    }

    /// Returns whether a silence is too long.
    pub fn is_exceeded(&self, silence_ms: u64, is_heard: bool) -> bool {
        silence_ms
            >= if is_heard {
                self.responsive_ms
            } else {
                self.unresponsive_ms
            }
    }
}

/// Silence of a stream, in multiples of its gap target, after which a silent endpoint counts as stalled.
const SILENT_GAPS: u64 = 3;

/// Shortest such silence, in milliseconds.
const SILENT_MIN_MS: u64 = 700;

/// Silence of a stream, in multiples of its gap target, after which an endpoint that serves others counts as stalled.
const HEARD_GAPS: u64 = 6;

/// Shortest such silence, in milliseconds.
const HEARD_MIN_MS: u64 = 1_500;

/// Pause between looks at a run that nothing can replace for now, in milliseconds.
const LOOK_AGAIN_MS: u64 = 200;
