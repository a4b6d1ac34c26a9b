//! Wrong messages of other VMs are counted.

use waxwing_harness::condition;
use waxwing_harness::deployment::Deployment;
use waxwing_harness::deployment::Plan;
use waxwing_harness::raw::RawConnection;

const MALFORMED: &str = "waxwing_peer_rejected_total{reason=\"malformed\"}";

/// Guards against damaged messages that operators cannot see, or that end the daemon.
#[test]
fn damaged_message_is_counted() {
    let deployment = Deployment::start(&Plan::default());
    let daemon = &deployment.daemons[0];
    assert_eq!(daemon.counter_value(MALFORMED), 0.0);
    RawConnection::connect(daemon.peer_address()).send(&[0xff; 64]);
    condition::wait_until("the message is counted", || {
        daemon.counter_value(MALFORMED) == 1.0
    });
    let answer = deployment.caller(0).chat("draft", "a letter", 5);
    assert_eq!(answer.map(|answer| answer.status), Some(200));
}
