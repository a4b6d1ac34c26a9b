//! Which HTTP statuses an answer may have, and what they promise.

/// Status of an answer that promises nothing about a request that failed.
pub const BAD_GATEWAY: u16 = 502;

/// Returns whether an answer may have a status.
///
/// No request ends with an interim status (RFC 9110, section 15.2), and there are no classes beyond the fifth.
pub fn is_final(status: u16) -> bool {
    (200..600).contains(&status)
}

/// Returns whether a status promises the caller that its request was not executed and never will be.
///
/// Callers send such a request again, also one that must not run twice.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
