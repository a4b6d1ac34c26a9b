//! Counters of claims.

use waxwing_wire::claim::ClaimVerdict;
use waxwing_wire::claim::SettledResult;

/// Counter of answers to claim requests by decision and reason.
const VERDICTS: &str = "waxwing_claim_verdicts_total";
/// Counter of settled claims by result.
const SETTLEMENTS: &str = "waxwing_claim_settlements_total";
/// Counter of settlements and give-ups that did not reach the owner of the range.
const LOST_SETTLEMENTS: &str = "waxwing_claim_settlements_lost_total";
/// Counter of failed deliveries of settlements and give-ups; each is retried until it expires.
const DELIVERY_RETRIES: &str = "waxwing_claim_settlement_retries_total";
/// Counter of messages dropped because the queue of the claims thread was full.
const DROPPED: &str = "waxwing_claim_messages_dropped_total";
/// Counter of log records skipped because they could not be decoded.
const SKIPPED: &str = "waxwing_claim_records_skipped_total";
/// Counter of failed calls to the log by kind.
const LOG_FAILURES: &str = "waxwing_claim_log_failures_total";
/// Counter of appends.
const APPENDS: &str = "waxwing_claim_appends_total";
/// Counter of fencing tokens raised at endpoints, by result.
const FENCES: &str = "waxwing_claim_fence_orders_total";
/// Counter of checks that found the log's retention too short for the lifetime of keys.
const SHORT_RETENTION: &str = "waxwing_claim_retention_findings_total";
/// Gauge of keys whose claims or outcomes are not confirmed, by range.
const PENDING: &str = "waxwing_claim_pending_keys";

pub(super) fn count_verdict(verdict: &ClaimVerdict) {
    let (verdict, reason) = match verdict {
        ClaimVerdict::Granted(_) => ("granted", ""),
        ClaimVerdict::Done(_) => ("done", ""),
        ClaimVerdict::Refused(refusal) => ("refused", refusal.reason.as_str()),
    };
    metrics::counter!(VERDICTS, "verdict" => verdict, "reason" => reason).increment(1);
}

pub(super) fn count_settlement(result: &SettledResult) {
    let result = match result {
        SettledResult::Done(_) => "done",
        SettledResult::NotRun => "not_run",
        SettledResult::Unknown => "unknown",
    };
    metrics::counter!(SETTLEMENTS, "result" => result).increment(1);
}

pub(super) fn count_lost_settlement() {
    metrics::counter!(LOST_SETTLEMENTS).increment(1);
}

pub(super) fn count_delivery_retry() {
    metrics::counter!(DELIVERY_RETRIES).increment(1);
}

pub(super) fn count_dropped_message() {
    metrics::counter!(DROPPED).increment(1);
}

pub(super) fn count_skipped(range: u8) {
    metrics::counter!(SKIPPED, "range" => range.to_string()).increment(1);
}

pub(super) fn count_log_failure(call: &'static str) {
    metrics::counter!(LOG_FAILURES, "call" => call).increment(1);
}

pub(super) fn count_append() {
    metrics::counter!(APPENDS).increment(1);
}

pub(super) fn count_fence_order(result: &'static str) {
    metrics::counter!(FENCES, "result" => result).increment(1);
}

pub(super) fn count_short_retention() {
    metrics::counter!(SHORT_RETENTION).increment(1);
}

pub(super) fn set_pending(range: u8, keys: usize) {
    metrics::gauge!(PENDING, "range" => range.to_string()).set(keys as f64);
}
