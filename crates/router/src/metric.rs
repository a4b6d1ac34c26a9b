//! Names of the metrics, and functions that record them.

use waxwing_core::Refusal;
use waxwing_core::coordination::scheduler::Scheduler;
use waxwing_wire::peer::Shard;

/// Counter of refusals by reason and class.
pub const REFUSALS: &str = "waxwing_refusals_total";
/// Counter of whole answers by class.
pub const ANSWERS: &str = "waxwing_answers_total";
/// Counter of repeated attempts by reason.
pub const RETRIES: &str = "waxwing_retries_total";
/// Counter of requests whose caller closed the connection, by class.
pub const CALLERS_GONE: &str = "waxwing_callers_gone_total";
/// Histogram of the wait for a slot, in seconds.
pub const QUEUE_WAIT: &str = "waxwing_queue_wait_seconds";
/// Histogram of the time from receipt to the first token, in seconds.
pub const FIRST_TOKEN: &str = "waxwing_first_token_seconds";
/// Histogram of the time between tokens, in seconds.
pub const TOKEN_GAP: &str = "waxwing_token_gap_seconds";
/// Histogram of the time from receipt to the whole answer, in seconds.
pub const TOTAL: &str = "waxwing_total_seconds";

/// Counter of endpoint probes by result.
pub const PROBES: &str = "waxwing_probes_total";
/// Counter of refusals of the scheduler by reason and pool.
pub const SCHEDULER_REFUSALS: &str = "waxwing_scheduler_refusals_total";
/// Counter of grants by pool and kind.
pub const GRANTS: &str = "waxwing_grants_total";
/// Counter of preemptions by pool.
pub const PREEMPTIONS: &str = "waxwing_preemptions_total";
/// Counter of generated tokens that were not delivered in a response, by pool.
pub const WASTED_TOKENS: &str = "waxwing_wasted_tokens_total";
/// Counter of endpoint health changes by pool and change.
pub const ENDPOINT_CHANGES: &str = "waxwing_endpoint_changes_total";
/// Gauge of waiting requests by pool and tier.
pub const QUEUE_LENGTH: &str = "waxwing_queue_length";
/// Gauge of slots by pool and state.
pub const SLOTS: &str = "waxwing_slots";
/// Counter of bytes on connections between entry VMs, by direction.
pub const PEER_BYTES: &str = "waxwing_peer_bytes_total";
/// Counter of failed calls to other entry VMs, by reason.
pub const PEER_FAILURES: &str = "waxwing_peer_failures_total";
/// Counter of connections to other entry VMs that were closed after silence.
pub const PEER_SILENT: &str = "waxwing_peer_silent_connections_total";
/// Counter of messages from other entry VMs that were answered with an error, by reason.
pub const PEER_REJECTED: &str = "waxwing_peer_rejected_total";
/// Counter of requests that were given to another VM to schedule, by outcome.
pub const REMOTE_ENQUEUES: &str = "waxwing_remote_enqueues_total";
/// Counter of requests that moved to another owner of their shard.
pub const MOVED: &str = "waxwing_moved_requests_total";
/// Histogram of the time from an enqueue to its grant, in seconds, by where the shard is scheduled.
pub const GRANT: &str = "waxwing_grant_seconds";
/// Gauge of the version of the settings in force.
pub const SETTINGS_VERSION: &str = "waxwing_settings_version";
/// Counter of settings records by outcome: `accepted`, `undecodable` or the reason of the rejection.
pub const SETTINGS_RECORDS: &str = "waxwing_settings_records_total";
/// Counter of published changes by outcome: `accepted`, `unknown` or the reason of the rejection.
pub const SETTINGS_PUBLISHED: &str = "waxwing_settings_published_total";
/// Counter of snapshot appends by outcome: `confirmed` or `unconfirmed`.
pub const SETTINGS_SNAPSHOTS: &str = "waxwing_settings_snapshots_total";
/// Counter of failed reads of the settings stream.
pub const SETTINGS_READ_FAILURES: &str = "waxwing_settings_read_failures_total";

/// Number of tiers whose gauge is always set, so that an empty queue shows as 0.
const TIERS: u8 = 4;

/// Counts a refusal.
pub fn count_refusal(class: &str, refusal: &Refusal) {
    let reason = refusal.reason.as_str();
    metrics::counter!(REFUSALS, "reason" => reason, "class" => class.to_owned()).increment(1);
}

/// Counts a repeated attempt.
pub fn count_retry(reason: &'static str) {
    metrics::counter!(RETRIES, "reason" => reason).increment(1);
}

/// Publishes the counters and gauges of a pool's scheduler.
pub fn publish_scheduler(shard: &Shard, scheduler: &Scheduler, now_ms: u64) {
    let pool = match &shard.data_centre {
        Some(data_centre) => format!("{}/{data_centre}", shard.pool),
        None => shard.pool.to_string(),
    };
    let counters = scheduler.counters();
    for (reason, count) in &counters.refusals {
        let reason = reason.as_str();
        metrics::counter!(SCHEDULER_REFUSALS, "pool" => pool.clone(), "reason" => reason)
            .absolute(*count);
    }
    let in_order = counters.grants - counters.aged_grants;
    for (kind, count) in [("in_order", in_order), ("aged", counters.aged_grants)] {
        metrics::counter!(GRANTS, "pool" => pool.clone(), "kind" => kind).absolute(count);
    }
    metrics::counter!(PREEMPTIONS, "pool" => pool.clone()).absolute(counters.preemptions);
    metrics::counter!(WASTED_TOKENS, "pool" => pool.clone()).absolute(counters.wasted_tokens);
    for (change, count) in [
        ("ejected", counters.ejections),
        ("readmitted", counters.readmissions),
        ("crashed", counters.crashes),
    ] {
        metrics::counter!(ENDPOINT_CHANGES, "pool" => pool.clone(), "change" => change)
            .absolute(count);
    }
    let gauges = scheduler.gauges(now_ms);
    for tier in 0..TIERS {
        let length = gauges.waiting.get(&tier).copied().unwrap_or(0);
        metrics::gauge!(QUEUE_LENGTH, "pool" => pool.clone(), "tier" => tier.to_string())
            .set(length as f64);
    }
    metrics::gauge!(SLOTS, "pool" => pool.clone(), "state" => "usable").set(gauges.slots);
    metrics::gauge!(SLOTS, "pool" => pool, "state" => "running").set(gauges.running as f64);
}
