//! Estimate of the log's clock, by which the age of a snapshot is measured.

use waxwing_gateway::clock::unix_now_ms;

/// Estimate of the log's clock.
///
/// The clock of this VM is used only until the first live record has arrived. If it were used after that, a skewed clock
/// could make every snapshot look old, and the VM would append snapshots endlessly.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogClock {
    /// Log time of a record that arrived during a waiting read, and the monotonic time of its arrival.
    observed: Option<(u64, u64)>,
}

impl LogClock {
    /// Updates the estimate with a record that has just arrived. A delayed record, as after an outage, never moves the
    /// estimate backwards.
    pub(super) fn observe(&mut self, record_ms: u64, now_ms: u64) {
        if self
            .log_time_ms(now_ms)
            .is_none_or(|log_ms| record_ms > log_ms)
        {
            self.observed = Some((record_ms, now_ms));
        }
    }

    /// Returns the age of a record in milliseconds; `now_ms` is the monotonic time.
    pub(super) fn age_ms(self, record_ms: u64, now_ms: u64) -> u64 {
        let log_ms = self.log_time_ms(now_ms).unwrap_or_else(unix_now_ms);
        log_ms.saturating_sub(record_ms)
    }

    fn log_time_ms(self, now_ms: u64) -> Option<u64> {
        let (observed_ms, at_ms) = self.observed?;
        Some(observed_ms + now_ms.saturating_sub(at_ms))
    }
}
