//! The clocks of a process.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A steady clock that counts milliseconds from a fixed start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// Value of the steady clock at its start; leaves room to subtract windows.
const START_MS: u64 = 100_000;

impl Clock {
    /// Starts a clock.
    #[expect(clippy::new_without_default, reason = "a clock is not a plain value")]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the steady time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        let elapsed_ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX / 2);
        START_MS + elapsed_ms
    }
}

/// Returns the time of day as Unix time, in milliseconds; it may jump.
pub fn to_unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
