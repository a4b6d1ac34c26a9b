//! Load shedding of prompts whose prefill would start too late, the least urgent first.

use waxwing_core::forwarding::admission;
use waxwing_core::forwarding::admission::Config;
use waxwing_core::forwarding::endpoints::URGENCY_LEVELS;
use waxwing_core::forwarding::endpoints::UrgencyLevel;

/// Time limit of the requests in the replay, in milliseconds.
const LIMIT_MS: u64 = 12_000;

/// Time of an engine for the prefill of one prompt beside other streams, in milliseconds.
const PREFILL_MS: f64 = 450.0;

/// Time from the first token to the last beside the prefill of other prompts, in milliseconds.
const STREAM_MS: f64 = 8_000.0;

/// Interval between arrivals, in milliseconds: three times the rate that the engine can sustain.
const ARRIVAL_MS: f64 = 150.0;

/// Simulates 10 s of arrivals at one engine with a FIFO queue, and returns the number of answers within the time limit.
fn count_answered(config: &Config) -> usize {
    // A digest, whose route has rank 2, of an organisation without a rank.
    let level = UrgencyLevel::new(None, 2);
    let mut answered = 0;
    let mut free_at_ms = 0.0_f64;
    let mut now_ms = 0.0;
    while now_ms < 10_000.0 {
        let backlog_ms = (free_at_ms - now_ms).max(0.0);
        let first_token_ms = backlog_ms + PREFILL_MS;
        let is_refused = admission::retry_after_ms(config, level, backlog_ms, LIMIT_MS).is_some();
        if !is_refused {
            free_at_ms = now_ms + first_token_ms;
            if first_token_ms + STREAM_MS <= LIMIT_MS as f64 {
                answered += 1;
            }
        }
        now_ms += ARRIVAL_MS;
    }
    answered
}

/// Guards against wasted prefill in a burst of three times the capacity (qaghaz-fleet-grown, scale-1): engines accepted
/// prompts whose answers were then cut off at the deadline.
#[test]
fn burst_of_prompts() {
    let baseline = Config {
        latest_start_shares: [1.0; URGENCY_LEVELS],
    };
    let before = count_answered(&baseline);
    let after = count_answered(&Config::default());
    assert!(after >= 2 * before, "{after} against {before}");
}

/// Less urgent requests must be rejected at a shorter backlog.
#[test]
fn urgent_last() {
    let config = Config::default();
    let mut refused_before = false;
    for priority in 0..=9 {
        let level = UrgencyLevel::from(priority);
        let is_refused = admission::retry_after_ms(&config, level, 2_500.0, LIMIT_MS).is_some();
        assert!(is_refused || !refused_before, "priority {priority}");
        refused_before = is_refused;
    }
    assert!(refused_before, "no request is rejected");
}

/// The retry delay must cover the excess backlog, within bounds that leave the caller time for another attempt.
#[test]
fn retry_delay() {
    let config = Config {
        latest_start_shares: [0.5; URGENCY_LEVELS],
    };
    let level = UrgencyLevel::from(0);
    let after = |backlog_ms| admission::retry_after_ms(&config, level, backlog_ms, 2_000);
    assert_eq!(after(1_000.0), None);
    assert_eq!(after(1_001.0), Some(300));
    assert_eq!(after(2_200.0), Some(1_200));
    assert_eq!(after(60_000.0), Some(3_000));
    assert_eq!(
        admission::retry_after_ms(&config, level, 10.0, 0),
        Some(300)
    );
}
