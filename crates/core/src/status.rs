//! What the HTTP status of an answer promises.

/// Status of an answer that promises nothing about a request that failed.
pub const BAD_GATEWAY: u16 = 502;

/// Returns whether a status promises the caller that its request was not executed and never will be.
///
/// Callers send such a request again, also one that must not run twice.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
