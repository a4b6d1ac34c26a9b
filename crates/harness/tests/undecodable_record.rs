//! A log record that does not decode is skipped and named in the daemon's log.

use waxwing_harness::caller;
use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_harness::publish;

/// Guards against a settings record that stops, crashes or silently changes the daemon.
#[test]
fn settings_records_are_skipped() {
    let mut deployment = Deployment::start(&Plan::default());
    let version = deployment.daemons[0].wait_for_settings();
    let log_address = deployment.log.address();
    // The deployment and its team have taken the offsets before these.
    for content in [b"\xff\xfe".as_slice(), b"{", b"", b"[pools.chat]\nkind = 7"] {
        assert!(publish::append(&log_address, "settings", content));
    }
    condition::wait_until("all records are named in the log", || {
        let output = deployment.daemons[0].process().output();
        (2..=5).all(|offset| output.contains(&format!("offset {offset}")))
    });
    let settings = deployment.settings_text("");
    assert!(publish::publish_settings(&log_address, &settings));
    condition::wait_until("the next valid record applies", || {
        deployment.daemons[0].wait_for_settings() > version
    });
    let answer = deployment.caller(0).chat("draft", "still there", 5);
    let text = answer.and_then(|answer| answer.text());
    assert_eq!(text, Some(caller::expected_answer("still there", 5)));
}
