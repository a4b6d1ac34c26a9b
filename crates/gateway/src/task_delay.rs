//! Measures how long tasks that are due wait for their turn.

use std::time::Duration;

use async_io::Timer;

use crate::clock::Clock;
use crate::metric;

/// Interval of the measurements, in milliseconds.
const INTERVAL_MS: u64 = 500;

/// Delay from which on tasks count as late, in milliseconds; callers notice it between the events of a stream.
const LATE_MS: u64 = 250;

/// Measures the delay of the tasks of one queue for as long as the process runs.
pub(crate) async fn measure(clock: Clock, queue: &'static str) {
    let mut late_since_ms: Option<u64> = None;
    let mut delay_max_ms = 0;
    loop {
        let due_ms = clock.now_ms() + INTERVAL_MS;
        Timer::after(Duration::from_millis(INTERVAL_MS)).await;
        let now_ms = clock.now_ms();
        let delay_ms = now_ms.saturating_sub(due_ms);
        metrics::histogram!(metric::TASK_DELAY, "queue" => queue).record(delay_ms as f64 / 1_000.0);
        if delay_ms >= LATE_MS {
            delay_max_ms = delay_max_ms.max(delay_ms);
            if late_since_ms.is_none() {
                late_since_ms = Some(due_ms);
                log::warn!(
                    event = "tasks_late", queue = queue, delay_ms = delay_ms;
                    "tasks wait for the processor of this VM"
                );
            }
            continue;
        }
        if let Some(since_ms) = late_since_ms.take() {
            log::info!(
                event = "tasks_in_time", queue = queue, late_for_ms = now_ms - since_ms, delay_max_ms = delay_max_ms;
                "tasks run in time again"
            );
            delay_max_ms = 0;
        }
    }
}
