//! Names of the metrics, and the recorder that renders them.

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use waxwing_core::Refusal;

/// Counter of refusals by reason and class.
pub const REFUSALS: &str = "waxwing_refusals_total";
/// Counter of whole answers by class.
pub const ANSWERS: &str = "waxwing_answers_total";
/// Counter of repeated attempts by reason.
pub const RETRIES: &str = "waxwing_retries_total";
/// Histogram of the wait for a slot, in seconds.
pub const QUEUE_WAIT: &str = "waxwing_queue_wait_seconds";
/// Histogram of the time from receipt to the first token, in seconds.
pub const FIRST_TOKEN: &str = "waxwing_first_token_seconds";
/// Histogram of the time between tokens, in seconds.
pub const TOKEN_GAP: &str = "waxwing_token_gap_seconds";
/// Histogram of the time from receipt to the whole answer, in seconds.
pub const TOTAL: &str = "waxwing_total_seconds";

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

const BUCKETS_S: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Installs the recorder of this process and returns what renders its text page.
///
/// Returns `None` if a recorder is already installed, as in a process that runs several daemons.
pub fn install() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(BUCKETS_S).ok()?;
    builder.install_recorder().ok()
}

/// Counts a refusal.
pub fn count_refusal(class: &str, refusal: &Refusal) {
    let reason = refusal.reason.as_str();
    metrics::counter!(REFUSALS, "reason" => reason, "class" => class.to_owned()).increment(1);
}
