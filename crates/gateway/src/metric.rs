//! Names of the metrics, and the recorder that renders them.

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Counter of requests by route kind and outcome.
pub const REQUESTS: &str = "waxwing_gateway_requests_total";
/// Counter of refusals by reason.
pub const REFUSALS: &str = "waxwing_gateway_refusals_total";
/// Counter of requests that a planned stop ended by their stage: `receiving`, `waiting`, `sent`, `buffering` or
/// `relaying`.
pub const STOP_ENDS: &str = "waxwing_gateway_stop_ends_total";
/// Counter of repeats by the outcome of the previous run.
pub const REPEATS: &str = "waxwing_gateway_repeats_total";
/// Counter of repeats that the budget did not cover.
pub const REPEATS_REFUSED: &str = "waxwing_gateway_repeats_refused_total";
/// Gauge of the VMs that this VM believes to share the repeat budget, including itself.
pub const REPEAT_VMS: &str = "waxwing_gateway_repeat_vms";
/// Gauge of this VM's share of the slack of the repeat budget, in repeats within the window.
pub const REPEAT_SLACK: &str = "waxwing_gateway_repeat_slack";
/// Counter of runs given up before their endpoint sent anything, whose requests may still arrive there.
pub const RUNS_UNANSWERED: &str = "waxwing_gateway_runs_unanswered_total";
/// Counter of ended runs by outcome.
pub const RUN_ENDS: &str = "waxwing_gateway_run_ends_total";
/// Counter of requests sent to endpoints that state a rate limit.
pub const LIMITED_RUNS: &str = "waxwing_gateway_limited_runs_total";
/// Counter of permits for endpoints with a rate limit by outcome: `granted`, `denied` or `unanswered`.
pub const PERMITS: &str = "waxwing_gateway_permits_total";
/// Counter of crashes under parts of prompts by source: `local` or `peer`.
pub const PART_CRASHES: &str = "waxwing_gateway_part_crashes_total";
/// Counter of trials of suspected parts of prompts by outcome: `allowed` or `denied`.
pub const PART_TRIALS: &str = "waxwing_gateway_part_trials_total";
/// Counter of changes in what is known of parts of prompts by state: `suspect`, `refused`, `cleared` or `expired`.
pub const PART_CHANGES: &str = "waxwing_gateway_part_changes_total";
/// Histogram of the time to the first byte, in seconds, by route kind.
pub const FIRST_BYTE: &str = "waxwing_gateway_first_byte_seconds";
/// Histogram of the time to the whole answer, in seconds, by route kind.
pub const TOTAL: &str = "waxwing_gateway_total_seconds";
/// Counter of connections made to endpoints by outcome.
pub const CONNECTS: &str = "waxwing_gateway_connects_total";
/// Counter of callers' connections closed because too many were open.
pub const CONNECTIONS_REFUSED: &str = "waxwing_gateway_connections_refused_total";
/// Gauge of the memory that connections, requests and bodies hold, in bytes.
pub const MEMORY_HELD: &str = "waxwing_gateway_memory_held_bytes";
/// Gauge of the most memory that they may hold, in bytes.
pub const MEMORY_LIMIT: &str = "waxwing_gateway_memory_limit_bytes";
/// Counter of responses aborted for exceeding the size limit, by place.
pub const ENDLESS_BYTES: &str = "waxwing_gateway_endless_bytes_total";
/// Counter of endpoint changes by kind.
pub const ENDPOINT_CHANGES: &str = "waxwing_gateway_endpoint_changes_total";
/// Gauge of endpoints known.
pub const ENDPOINTS: &str = "waxwing_gateway_endpoints";
/// Gauge of the version of the configuration in force.
pub const CONFIGURATION_VERSION: &str = "waxwing_gateway_configuration_version";
/// Gauge of the time since the configuration was known to be the newest, in seconds.
pub const CONFIGURATION_AGE: &str = "waxwing_gateway_configuration_age_seconds";
/// Histogram of the time for which tasks that are due wait for the processor, in seconds, by queue.
pub const TASK_DELAY: &str = "waxwing_gateway_task_delay_seconds";
/// Counter of streams that callers take up by what is known of their origin: `recorded`, `only_version` or `unknown`.
pub const TAKE_UPS: &str = "waxwing_gateway_take_ups_total";
/// Gauge of streams of which it is known where they began.
pub const STREAM_ORIGINS: &str = "waxwing_gateway_stream_origins";
/// Counter of questions to the log service which software versions have served by outcome: `answered` or `failed`.
pub const SOFTWARE_CHECKS: &str = "waxwing_gateway_software_checks_total";
/// Gauge of other VMs that are alive.
pub const PEERS: &str = "waxwing_gateway_peers";
/// Counter of adverts by outcome: `sent`, `send_failed`, `news`, `old` or `undecodable`.
pub const ADVERTS: &str = "waxwing_gateway_adverts_total";
/// Counter of answers of readers by outcome: `fresh`, `stale` or `failed`.
pub const VIEWS: &str = "waxwing_gateway_views_total";
/// Gauge of the timeline of the log service; 0 before it stated one.
pub const LOG_TIMELINE: &str = "waxwing_gateway_log_timeline";
/// Counter of calls to the log service by call and outcome.
pub const LOG_CALLS: &str = "waxwing_gateway_log_calls_total";
/// Counter of log records by topic and outcome.
pub const LOG_RECORDS: &str = "waxwing_gateway_log_records_total";
/// Counter of log lines dropped by the rate limit.
pub const LINES_DROPPED: &str = "waxwing_gateway_log_lines_dropped_total";

/// Upper bounds of the buckets of all histograms, in seconds.
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
