//! Traces of requests, kept for `explain` and written to the log.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Instant;

use serde::Serialize;
use waxwing_core::ExecutionStatus;
use waxwing_core::Name;
use waxwing_core::Reason;

/// Most traces kept; at 1 KB each they take 4 MB of the 32 MB budget of the control functions.
const TRACES_MAX: usize = 4_096;

/// Most steps kept for one request; a request has few attempts, so later steps would repeat earlier ones.
const STEPS_MAX: usize = 64;

/// One step in the processing of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step {
    /// The request passed all checks.
    Admitted {
        /// Time left for the whole answer, in milliseconds.
        deadline_ms: u64,
    },
    /// The claim for the idempotency key was decided.
    Claimed {
        /// Decision: `granted`, `done` or a refusal reason.
        verdict: String,
    },
    /// The request started to wait for a slot.
    Queued {
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// The request received a slot.
    Granted {
        /// Endpoint.
        endpoint: Name,
        /// Wait in milliseconds.
        waited_ms: u64,
    },
    /// The first token of an attempt arrived.
    FirstToken {
        /// Time since the call was sent, in milliseconds.
        elapsed_ms: u64,
    },
    /// An attempt ended without a complete answer.
    AttemptFailed {
        /// Endpoint.
        endpoint: Name,
        /// Reason for the end.
        end: String,
        /// Tokens received in all attempts so far.
        tokens: u32,
    },
    /// A second attempt was started beside a slow one.
    Hedged {
        /// Endpoint of the second attempt.
        endpoint: Name,
    },
    /// The caller received the complete answer.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Tokens of the answer; 0 for a plain call.
        tokens: u32,
    },
    /// The request was refused.
    Refused {
        /// Reason of the refusal.
        reason: Reason,
        /// Whether it may have run.
        run: ExecutionStatus,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
        /// Details.
        message: String,
    },
}

/// A step with its time.
#[derive(Clone, Debug, Serialize)]
pub struct TimedStep {
    /// Time since receipt in milliseconds.
    pub at_ms: u64,
    /// The step.
    #[serde(flatten)]
    pub step: Step,
}

/// The trace of one request.
#[derive(Clone, Debug, Serialize)]
pub struct Trace {
    /// Request id.
    pub request_id: String,
    /// VM that received the request.
    pub vm: Name,
    /// Organisation.
    pub organisation: Name,
    /// Class, with the team as prefix.
    pub class: Name,
    /// Receipt in milliseconds since the epoch.
    pub received_ms: u64,
    /// Steps in order.
    pub steps: Vec<TimedStep>,
}

/// Traces of the requests that this VM received most recently.
#[derive(Debug, Default)]
pub struct Traces {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    by_id: HashMap<String, Trace>,
    order: VecDeque<String>,
}

impl Traces {
    /// Adds a trace; the oldest one is evicted above the limit.
    pub fn open(&self, trace: Trace) {
        let mut inner = self.lock();
        let id = trace.request_id.clone();
        if inner.by_id.insert(id.clone(), trace).is_none() {
            inner.order.push_back(id);
        }
        if inner.order.len() > TRACES_MAX
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.by_id.remove(&oldest);
        }
    }

    /// Adds a step to the trace of a request if it is still kept, and writes the step to the log.
    pub fn add(&self, request_id: &str, received: Instant, step: Step) {
        let at_ms = received.elapsed().as_millis() as u64;
        let timed = TimedStep { at_ms, step };
        let mut inner = self.lock();
        let Some(trace) = inner.by_id.get_mut(request_id) else {
            return;
        };
        write(trace, &timed);
        if trace.steps.len() < STEPS_MAX {
            trace.steps.push(timed);
        }
    }

    /// Returns the trace of a request, if it is still kept.
    pub fn trace(&self, request_id: &str) -> Option<Trace> {
        self.lock().by_id.get(request_id).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn write(trace: &Trace, timed: &TimedStep) {
    let level = match timed.step {
        Step::Refused { .. } | Step::AttemptFailed { .. } | Step::Hedged { .. } => log::Level::Info,
        _ => log::Level::Debug,
    };
    if !log::log_enabled!(level) {
        return;
    }
    let detail = serde_json::to_string(timed).unwrap_or_default();
    log::log!(
        level,
        request_id = trace.request_id.as_str(),
        class = trace.class.as_str(),
        organisation = trace.organisation.as_str(),
        detail = detail.as_str();
        "request step"
    );
}
