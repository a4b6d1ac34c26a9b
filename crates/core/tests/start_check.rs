//! Guards against VMs that start before an older copy of the log service and rely on its configuration.

use waxwing_core::fleet::start_check::Heard;
use waxwing_core::fleet::start_check::StartCheck;

const ALL_HEARD: Heard = Heard {
    is_complete: true,
    newest_version: 7,
};

/// A VM must wait for the answers of the others, and for the newest configuration that they have.
#[test]
fn older_copy() {
    let mut check = StartCheck::new(1_000);
    assert!(!check.is_over(5, Heard::default(), 1_500));
    check.record_announcement(1_500);
    assert!(!check.is_over(5, ALL_HEARD, 1_510));
    assert!(!check.is_over(5, ALL_HEARD, 4_999));
    assert!(check.is_over(7, ALL_HEARD, 1_520));
    // A later change reaches it as it reaches the others.
    assert!(check.is_over(
        7,
        Heard {
            newest_version: 8,
            ..ALL_HEARD
        },
        1_600
    ));
}

/// VMs that are gone, and a log service that takes no address, must not keep a VM from serving.
#[test]
fn silent_peers() {
    let silent = Heard {
        is_complete: false,
        newest_version: 0,
    };
    let mut check = StartCheck::new(1_000);
    check.record_announcement(1_100);
    assert!(!check.is_over(5, silent, 1_399));
    assert!(check.is_over(5, silent, 1_400));
    let mut check = StartCheck::new(1_000);
    assert!(!check.is_over(5, ALL_HEARD, 4_999));
    assert!(check.is_over(5, ALL_HEARD, 5_000));
}

/// A VM that the log service turns away must serve as soon as another VM has told it the newest configuration.
#[test]
fn view_of_reader() {
    let mut check = StartCheck::new(1_000);
    check.record_view();
    assert!(!check.is_over(5, ALL_HEARD, 1_200));
    assert!(check.is_over(7, ALL_HEARD, 1_200));
}
