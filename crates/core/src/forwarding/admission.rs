//! Admission control: rejects a prompt whose prefill would start too late.
//!
//! Handles bursts beyond the prefill throughput of the engines. Without a limit the backlog grows until each
//! prefill ends shortly before its deadline. The response is then cut off, and the engine time is wasted.

use crate::forwarding::endpoints::URGENCY_LEVELS;
use crate::forwarding::endpoints::UrgencyLevel;

/// Minimum retry delay for a rejected caller, in milliseconds.
const RETRY_DELAY_MIN_MS: f64 = 300.0;

/// Maximum retry delay for a rejected caller, in milliseconds.
const RETRY_DELAY_MAX_MS: f64 = 3_000.0;

/// Limits on the wait before a prompt's prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Fractions of the remaining time within which the engine must start the prefill, by urgency level.
    ///
    /// Urgent requests have larger fractions, so that less urgent requests are shed first.
    pub latest_start_shares: [f64; URGENCY_LEVELS],
}

impl Default for Config {
    fn default() -> Self {
        Self {
            latest_start_shares: [0.5, 0.45, 0.4, 0.4, 0.3, 0.25, 0.25, 0.2, 0.15, 0.15],
        }
    }
}

/// Returns the retry delay for a rejected request, in milliseconds, or `None` if the request is admitted.
///
/// `backlog_ms` is the time until the engine can start the prefill, `remaining_ms` the time to the deadline. The
/// prefill time of the prompt itself does not count, so that an idle engine accepts a long prompt.
pub fn retry_after_ms(
    config: &Config,
    level: UrgencyLevel,
    backlog_ms: f64,
    remaining_ms: u64,
) -> Option<u64> {
    let share = config.latest_start_shares[level.index()];
    let excess_ms = backlog_ms - remaining_ms as f64 * share;
    (excess_ms > 0.0).then(|| excess_ms.clamp(RETRY_DELAY_MIN_MS, RETRY_DELAY_MAX_MS) as u64)
}
