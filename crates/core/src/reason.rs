//! Refusals of requests: the reason, and whether the request may have run.

use serde::Deserialize;
use serde::Serialize;

use crate::status::BAD_GATEWAY;
use crate::status::promises_not_run;

/// Whether a refused request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// The request did not run.
    NotRun,
    /// The request may have run, in part or in full.
    Unknown,
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident $text:literal $status:literal;)*) => {
        /// Why a request was refused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum Reason {
            $($(#[$doc])* #[serde(rename = $text)] $variant,)*
        }

        impl Reason {
            /// All reasons, in the order in which they are documented.
            pub const ALL: &'static [Reason] = &[$(Reason::$variant,)*];

            /// Returns the name used in responses and metrics.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Reason::$variant => $text,)*
                }
            }

            /// Returns the HTTP status code for the reason.
            pub fn status_code(self) -> u16 {
                match self {
                    $(Reason::$variant => $status,)*
                }
            }
        }
    };
}

reasons! {
    /// The request is malformed.
    BadRequest "bad_request" 400;
    /// The body exceeds the limit.
    BodyTooLarge "body_too_large" 413;
    /// The class does not exist.
    UnknownClass "unknown_class" 400;
    /// A non-idempotent class needs an idempotency key.
    KeyRequired "key_required" 400;
    /// The idempotency key is not a version 7 UUID.
    KeyMalformed "key_malformed" 400;
    /// The API key is missing or unknown.
    Unauthorised "unauthorised" 401;
    /// The organisation is not allowed to use the class.
    ClassNotAllowed "class_not_allowed" 403;
    /// The deadline passed before the request was started.
    DeadlinePassed "deadline_passed" 504;
    /// The deadline can no longer be met.
    DeadlineUnreachable "deadline_unreachable" 503;
    /// The queue of the pool or the daemon is full.
    QueueFull "queue_full" 503;
    /// The VM holds as much memory for requests as it may.
    MemoryFull "memory_full" 503;
    /// The organisation is at its limit of requests in flight.
    OrganisationLimit "organisation_limit" 429;
    /// The class is at its limit of requests in flight.
    ClassLimit "class_limit" 429;
    /// The request was shed in favour of one of a more urgent tier.
    Shed "shed" 503;
    /// The pool has no usable endpoint.
    NoEndpoint "no_endpoint" 503;
    /// The software version that began a stream is not known, so it cannot go on.
    OriginUnknown "stream_origin_unknown" 503;
    /// No endpoint has the software version that began a stream.
    VersionGone "software_version_gone" 503;
    /// The endpoints of the pool are at the rate limits that they stated.
    EndpointLimited "endpoint_limited" 503;
    /// The VM is stopping.
    Stopping "stopping" 503;
    /// The VM has not loaded any settings yet.
    NoSettings "no_settings" 503;
    /// The idempotency key was already used with a different body.
    KeyReused "key_reused" 422;
    /// The idempotency key is older than its lifetime.
    KeyTooOld "key_too_old" 409;
    /// A request with the same idempotency key is running.
    InProgress "in_progress" 409;
    /// The key has been claimed, but no outcome is recorded.
    OutcomeUnknown "outcome_unknown" 409;
    /// The log service is unavailable.
    LogUnavailable "log_unavailable" 503;
    /// The key range is being handed over to another owner.
    RangeHandover "range_handover" 503;
    /// The request's content has crashed endpoints and is refused.
    ContentRefused "content_refused" 422;
    /// The endpoint failed while it ran the request.
    EndpointFailed "endpoint_failed" 502;
    /// The response stream broke off and cannot be resumed.
    StreamCut "stream_cut" 502;
    /// The request was preempted too often.
    PreemptLimit "preempt_limit" 502;
    /// The organisation has no retries left.
    RetryBudget "retry_budget" 503;
    /// No route matches the host and path.
    UnknownRoute "unknown_route" 404;
    /// The request's content has crashed endpoints; requests with other content are not affected.
    Crashing "crashing" 503;
    /// A part of the request's prompt has crashed endpoints; requests without it are not affected.
    CrashingPart "crashing_part" 503;
    /// The job does not exist.
    UnknownJob "unknown_job" 404;
}

/// A final error response; no result will follow.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Whether the request may have run.
    pub run: ExecutionStatus,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Human-readable explanation.
    pub message: String,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: Reason, retry_after_ms: u64, message: impl Into<String>) -> Self {
        Self {
            reason,
            run: ExecutionStatus::NotRun,
            retry_after_ms,
            message: message.into(),
        }
    }

    /// Returns the HTTP status code, which promises that the request did not run only if that is certain.
    pub fn status_code(&self) -> u16 {
        let status = self.reason.status_code();
        match self.run {
            ExecutionStatus::Unknown if promises_not_run(status) => BAD_GATEWAY,
            ExecutionStatus::NotRun | ExecutionStatus::Unknown => status,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(reason: Reason, retry_after_ms: u64, message: impl Into<String>) -> Self {
        Self {
            reason,
            run: ExecutionStatus::Unknown,
            retry_after_ms,
            message: message.into(),
        }
    }
}
