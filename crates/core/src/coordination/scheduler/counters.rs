//! Counts of what the scheduler did.

use std::collections::BTreeMap;

use crate::Reason;

/// Counts since the scheduler was created.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Requests granted.
    pub grants: u64,
    /// Requests granted because they had aged.
    pub aged_grants: u64,
    /// Requests asked to give their slot back.
    pub preemptions: u64,
    /// Tokens generated that no answer contains.
    pub wasted_tokens: u64,
    /// Time spent on prompts that were processed again, in milliseconds.
    pub wasted_ms: u64,
    /// Endpoints ejected because they were slow or failed.
    pub ejections: u64,
    /// Ejected endpoints taken back.
    pub readmissions: u64,
    /// Endpoints that crashed.
    pub crashes: u64,
    /// Slots taken back from requests that never reported their end.
    pub overdue: u64,
    /// Requests refused, by reason.
    pub refusals: BTreeMap<Reason, u64>,
}

/// What a scheduler holds at one moment.
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
