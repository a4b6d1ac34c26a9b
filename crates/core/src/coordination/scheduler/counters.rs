//! Counters and gauges of the scheduler.

use std::collections::BTreeMap;

use crate::Reason;

/// Counts since the scheduler was created.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Requests granted.
    pub grants: u64,
    /// Requests granted because they had aged.
    pub aged_grants: u64,
    /// Running requests preempted.
    pub preemptions: u64,
    /// Tokens generated that are in no answer.
    pub wasted_tokens: u64,
    /// Prefill time lost by preemption, since the prompt is processed again, in milliseconds.
    pub wasted_prefill_ms: u64,
    /// Ejections of endpoints because they were slow or failed.
    pub ejections: u64,
    /// Readmissions of ejected endpoints.
    pub readmissions: u64,
    /// Endpoints that crashed.
    pub crashes: u64,
    /// Running requests whose slot was freed because their end was never reported.
    pub overdue_requests: u64,
    /// Requests refused, by reason.
    pub refusals: BTreeMap<Reason, u64>,
}

/// State of a scheduler at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Waiting requests by tier.
    pub waiting: BTreeMap<u8, usize>,
    /// Running requests.
    pub running: usize,
    /// Slots of all usable endpoints under their current limits.
    pub slots: u32,
    /// Ejected endpoints.
    pub ejected: usize,
}
