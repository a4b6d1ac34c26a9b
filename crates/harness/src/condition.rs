//! Polls conditions with a timeout.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Timeout of a condition, in seconds.
pub const DEADLINE_S: u64 = 60;

/// Polling interval, in milliseconds.
const POLL_MS: u64 = 10;

/// Waits until `probe` returns a value.
///
/// # Panics
///
/// Panics after [`DEADLINE_S`].
pub fn wait_for<T>(what: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + Duration::from_secs(DEADLINE_S);
    loop {
        if let Some(value) = probe() {
            return value;
        }
        assert!(
            Instant::now() < until,
            "timed out after {DEADLINE_S} s: {what}"
        );
        thread::sleep(Duration::from_millis(POLL_MS));
    }
}

/// Waits until `probe` returns true.
///
/// # Panics
///
/// Panics after [`DEADLINE_S`].
pub fn wait_until(what: &str, mut probe: impl FnMut() -> bool) {
    wait_for(what, || probe().then_some(()));
}
