//! Waiting for conditions.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Time after which a condition counts as never met, in seconds.
pub const DEADLINE_S: u64 = 60;

/// Time between two looks at a condition, in milliseconds.
const POLL_MS: u64 = 10;

/// Waits until `look` returns a value.
///
/// # Panics
///
/// Panics after [`DEADLINE_S`].
pub fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + Duration::from_secs(DEADLINE_S);
    loop {
        if let Some(value) = look() {
            return value;
        }
        assert!(Instant::now() < until, "not within {DEADLINE_S} s: {what}");
        thread::sleep(Duration::from_millis(POLL_MS));
    }
}

/// Waits until `look` returns true.
///
/// # Panics
///
/// Panics after [`DEADLINE_S`].
pub fn wait_until(what: &str, mut look: impl FnMut() -> bool) {
    wait_for(what, || look().then_some(()));
}
