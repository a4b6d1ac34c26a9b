//! What happened to a request, kept for `explain` and written to the log.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Instant;

use serde::Serialize;
use waxwing_core::ExecutionStatus;
use waxwing_core::Name;
use waxwing_core::Reason;

/// Requests that a VM remembers. At 1 KB each they take 4 MB of the 32 MB that control may use.
const TRACES_MAX: usize = 4_096;

/// Steps that are kept for one request; a request has few attempts, so more would repeat themselves.
const STEPS_MAX: usize = 64;

/// One step in the life of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step {
    /// The request passed all checks.
    Admitted {
        /// Time left for the whole answer, in milliseconds.
        deadline_ms: u64,
    },
    /// A claim for the idempotency key was answered.
    Claimed {
        /// Verdict: `granted`, `done` or a reason.
        verdict: String,
    },
    /// The request began to wait for a slot.
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
    /// An attempt ended without a whole answer.
    AttemptFailed {
        /// Endpoint.
        endpoint: Name,
        /// How it ended.
        end: String,
        /// Tokens received in all attempts so far.
        tokens: u32,
    },
    /// A second attempt was started beside a slow one.
    Hedged {
        /// Endpoint of the second attempt.
        endpoint: Name,
    },
    /// The caller received the whole answer.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Tokens of the answer; 0 for a plain call.
        tokens: u32,
    },
    /// The request was refused.
    Refused {
        /// Why.
        reason: Reason,
        /// Whether it may have run.
        run: ExecutionStatus,
        /// When to come back, in milliseconds.
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

/// All that is known of one request.
#[derive(Clone, Debug, Serialize)]
pub struct Trace {
    /// Request id.
    pub request_id: String,
    /// VM that took it.
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

/// The traces of the requests that this VM took most recently.
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
    /// Remembers a new request; the oldest is forgotten when there are too many.
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

    /// Adds a step to a request that is still remembered, and writes it to the log.
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

    /// Returns what is known of a request.
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
