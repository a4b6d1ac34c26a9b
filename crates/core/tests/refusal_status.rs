//! The status of a refusal agrees with what is known of the request's execution.

use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::status::promises_not_run;

/// A refusal of a request that may have run must not have a status that lets callers send it again.
#[test]
fn unknown_execution() {
    for reason in Reason::ALL {
        let refusal = Refusal::may_have_run(*reason, 0, "");
        assert!(!promises_not_run(refusal.status_code()), "{reason:?}");
    }
}

/// What certainly did not run keeps the status of its reason, so that callers come back.
#[test]
fn certain_refusal() {
    for reason in Reason::ALL {
        let refusal = Refusal::not_run(*reason, 0, "");
        assert_eq!(refusal.status_code(), reason.status_code());
    }
}
