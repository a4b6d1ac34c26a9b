//! Reports for the owner of a shard, kept until it has confirmed them.

use std::collections::VecDeque;

use waxwing_wire::peer::Report;
use waxwing_wire::peer::ReportEvent;

/// Reports that are kept for one owner.
const REPORTS_MAX: usize = 8_192;

/// Reports of one message.
const BATCH_MAX: usize = 256;

/// Pause after a failed message, in milliseconds.
const RETRY_PAUSE_MS: u64 = 100;

/// Reports for one process.
///
/// The end of a request frees a slot. If it were lost, the owner would count the slot as taken for good.
#[derive(Debug)]
pub(super) struct Outbox {
    /// Identity of the process that receives them.
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

    /// Adds a report; returns `false` if it was dropped for lack of room.
    pub(super) fn push(&mut self, report: Report) -> bool {
        let is_end = matches!(report.event, ReportEvent::Finish { .. });
        if self.reports.len() >= REPORTS_MAX && !is_end {
            return false;
        }
        self.reports.push_back(report);
        true
    }

    /// Returns the next message, unless one is in flight or the pause after a failure lasts.
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

    /// Keeps the reports of the message in flight for a later one.
    pub(super) fn retry(&mut self, now_ms: u64) {
        self.in_flight = 0;
        self.next_ms = now_ms + RETRY_PAUSE_MS;
    }
}
