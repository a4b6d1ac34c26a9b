//! Turns a prompt away that would be read too late.
//!
//! Answers a burst beyond what the engines can read. Without a limit the backlog grows until each prompt is read when
//! little of its time is left: its answer is cut off, and the time of the engine is lost for all.

use crate::forwarding::endpoints::URGENCY_LEVELS;
use crate::forwarding::endpoints::UrgencyLevel;

/// Shortest time after which a caller may come back, in milliseconds.
const RETRY_MIN_MS: f64 = 300.0;

/// Longest time after which a caller may come back, in milliseconds.
const RETRY_MAX_MS: f64 = 3_000.0;

/// Limits of the wait before a prompt is read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Parts of the time left in which the engine must begin to read the prompt, by level of urgency.
    ///
    /// Urgent requests have larger ones, so that less urgent requests are turned away before them.
    pub latest_start_shares: [f64; URGENCY_LEVELS],
}

impl Default for Config {
    fn default() -> Self {
        Self {
            latest_start_shares: [0.5, 0.45, 0.4, 0.4, 0.3, 0.25, 0.25, 0.2, 0.15, 0.15],
        }
    }
}

/// Returns the time after which a caller may come back, in milliseconds, or `None` if its prompt is read in time.
///
/// `backlog_ms` is the time until the engine begins to read the prompt, `left_ms` that until the request's deadline. The
/// prompt itself does not count: one that is long must have its chance at an idle engine.
pub fn retry_after_ms(
    config: &Config,
    level: UrgencyLevel,
    backlog_ms: f64,
    left_ms: u64,
) -> Option<u64> {
    let share = config.latest_start_shares[level.index()];
    let excess_ms = backlog_ms - left_ms as f64 * share;
    (excess_ms > 0.0).then(|| excess_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS) as u64)
}
