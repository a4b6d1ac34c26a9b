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
