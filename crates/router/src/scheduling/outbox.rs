//! Reports to the owner of a shard, kept until the owner confirms them.

use std::collections::VecDeque;

use waxwing_wire::peer::Report;
use waxwing_wire::peer::ReportEvent;

/// Most unconfirmed reports kept for one owner, not counting the ends of requests.
const REPORTS_MAX: usize = 8_192;

/// Most reports in one message.
const BATCH_MAX: usize = 256;

/// Delay after a failed message, in milliseconds.
const RETRY_PAUSE_MS: u64 = 100;

/// Unconfirmed reports to one process.
///
/// The end of a request frees a slot. If that report were lost, the owner would count the slot as in use forever.
#[derive(Debug)]
pub(super) struct Outbox {
    /// Incarnation of the process that receives the reports.
    pub(super) incarnation: u64,
    reports: VecDeque<Report>,
    in_flight: usize,
    next_ms: u64,
}

impl Outbox {
    /// Creates an empty outbox.
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            reports: VecDeque::new(),
            in_flight: 0,
            next_ms: 0,
        }
    }

    /// Adds a report; returns `false` if the outbox is full and the report was dropped.
    pub(super) fn push(&mut self, report: Report) -> bool {
        let is_end = matches!(report.event, ReportEvent::Finish { .. });
        if self.reports.len() >= REPORTS_MAX && !is_end {
            return false;
        }
        self.reports.push_back(report);
        true
    }

    /// Returns the next message, unless one is in flight or the delay after a failure has not passed.
    pub(super) fn take_batch(&mut self, now_ms: u64) -> Option<Vec<Report>> {
        if self.in_flight > 0 || self.reports.is_empty() || now_ms < self.next_ms {
            return None;
        }
        self.in_flight = self.reports.len().min(BATCH_MAX);
        Some(self.reports.iter().take(self.in_flight).cloned().collect())
    }

    /// Drops the reports of the message in flight.
    pub(super) fn confirm(&mut self) {
        self.reports.drain(..self.in_flight);
        self.in_flight = 0;
    }

    /// Returns the reports of the failed message to the queue and delays the next one.
    pub(super) fn retry(&mut self, now_ms: u64) {
        self.in_flight = 0;
        self.next_ms = now_ms + RETRY_PAUSE_MS;
    }
}
