//! Estimate of the log's clock, by which the age of a snapshot is measured.

use waxwing_gateway::clock::unix_now_ms;

/// Estimate of the log's clock.
///
/// The clock of this VM counts only until the first record has been seen to arrive: a skewed clock would make every
/// snapshot look old, and the VM would append snapshots without end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogClock {
    /// Time of a record that arrived while the reader waited for it, and the monotonic time of its arrival.
    seen: Option<(u64, u64)>,
}

impl LogClock {
    /// Notes a record that arrived just now; a record that arrived late, as after an outage, sets nothing back.
    pub(super) fn note(&mut self, record_ms: u64, now_ms: u64) {
        if self
            .log_time_ms(now_ms)
            .is_none_or(|log_ms| record_ms > log_ms)
        {
            self.seen = Some((record_ms, now_ms));
        }
    }

    /// Returns the age of a record in milliseconds; `now_ms` is the monotonic time.
    pub(super) fn age_ms(self, record_ms: u64, now_ms: u64) -> u64 {
        let log_ms = self.log_time_ms(now_ms).unwrap_or_else(unix_now_ms);
        log_ms.saturating_sub(record_ms)
    }

    fn log_time_ms(self, now_ms: u64) -> Option<u64> {
        let (seen_ms, at_ms) = self.seen?;
        Some(seen_ms + now_ms.saturating_sub(at_ms))
    }
}
