//! The clocks of a process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// A monotonic clock that counts milliseconds from a fixed start, also while the machine is suspended.
///
/// Counting suspended time lets leases and cached state expire while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

/// Value of the clock at its start; leaves room to subtract time windows.
const START_MS: u64 = 100_000;

impl Clock {
    /// Starts a clock.
    #[expect(clippy::new_without_default, reason = "a clock is not a plain value")]
    pub fn new() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the monotonic time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        let elapsed = boot_time().saturating_sub(self.start);
        START_MS + u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX / 2)
    }
}

/// Returns the time since the machine started.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(time.expect("the kernel has this clock since Linux 2.6.39"))
}

/// Returns the time of day as Unix time, in milliseconds; it may jump.
pub fn unix_now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
