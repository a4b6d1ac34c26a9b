//! Rate limits that endpoints state: which report holds when responses cross, and how VMs report limits to each other.

use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;
use waxwing_core::Name;
use waxwing_core::forwarding::EndpointKey;
use waxwing_core::forwarding::Endpoints;
use waxwing_core::forwarding::endpoints::Entry;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::endpoints::limits::LimitReport;
use waxwing_core::forwarding::endpoints::limits::RateLimit;

fn entry(born_ms: u64, sequence: u64) -> Entry {
    Entry {
        id: Name::from("e"),
        service: Name::from("pool"),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: Name::from("a"),
        slots: 4,
        is_draining: false,
        cold_ms: 0,
        born_ms: Some(born_ms),
        version: Name::from("v1"),
        sequence,
    }
}

fn report(limit: RateLimit, sent_ms: u64, received_ms: u64) -> LimitReport {
    LimitReport {
        limit,
        sent_ms,
        received_ms,
    }
}

fn new_endpoints() -> (Endpoints, EndpointKey) {
    let mut endpoints = Endpoints::new();
    endpoints.update(entry(1, 1));
    let key = endpoints.find(&Name::from("e")).unwrap();
    (endpoints, key)
}

fn limit(endpoints: &Endpoints) -> RateLimit {
    let key = endpoints.find(&Name::from("e")).unwrap();
    endpoints.get(key).unwrap().limit()
}

const TWO: RateLimit = RateLimit::PerSecond(2.0);
const FIVE: RateLimit = RateLimit::PerSecond(5.0);

/// Guards against a response that was overtaken and brings back an older limit, or lifts a newer one.
#[test]
fn crossing_responses() {
    let (mut endpoints, key) = new_endpoints();
    assert_eq!(
        endpoints.record_limit(key, report(TWO, 1_000, 1_100), 1_100),
        Some(RateLimit::Unlimited)
    );
    // Sent before the limit was stated, so it may be older.
    for overtaken in [RateLimit::Unlimited, FIVE] {
        let before = endpoints.record_limit(key, report(overtaken, 1_050, 1_500), 1_500);
        assert_eq!(before, None);
    }
    assert_eq!(
        endpoints.record_limit(key, report(FIVE, 1_100, 1_600), 1_600),
        Some(TWO)
    );
    // Older than the limit that holds.
    endpoints.record_limit(key, report(TWO, 900, 1_050), 1_700);
    assert_eq!(limit(&endpoints), FIVE);
    // Neither is certainly newer, so the stricter one holds.
    endpoints.record_limit(key, report(TWO, 1_200, 1_700), 1_700);
    assert_eq!(limit(&endpoints), TWO);
    endpoints.record_limit(key, report(RateLimit::Unlimited, 1_700, 1_800), 1_800);
    assert_eq!(limit(&endpoints), RateLimit::Unlimited);
}

/// Guards against a limit that is lost when an entry expires and is renewed, or kept by a new incarnation.
#[test]
fn renewed_entry() {
    let (mut endpoints, key) = new_endpoints();
    endpoints.record_limit(key, report(TWO, 1_000, 1_100), 1_100);
    endpoints.remove(&Name::from("e"), 1_200);
    endpoints.update(entry(1, 2));
    assert_eq!(limit(&endpoints), TWO);
    endpoints.update(entry(2, 1));
    assert_eq!(limit(&endpoints), RateLimit::Unlimited);
}

/// Guards against a limit that other VMs do not learn, also if the notice arrives before the entry, and against one
/// that is not lifted there.
#[test]
fn reported_limit() {
    let (mut source, key) = new_endpoints();
    source.record_limit(key, report(TWO, 1_000, 1_100), 1_100);
    let notices = source.limit_notices(8, 1_200);
    let (mut with_entry, _) = new_endpoints();
    assert_eq!(with_entry.merge_limits(&notices, 7_000).len(), 1);
    assert!(with_entry.merge_limits(&notices, 7_010).is_empty());
    let mut without_entry = Endpoints::new();
    without_entry.merge_limits(&notices, 7_000);
    without_entry.update(entry(1, 1));
    assert_eq!(limit(&with_entry), TWO);
    assert_eq!(limit(&without_entry), TWO);
    // Lifted well after the limit was stated.
    source.record_limit(key, report(RateLimit::Unlimited, 3_000, 3_100), 3_100);
    let notices = source.limit_notices(8, 3_200);
    for endpoints in [&mut with_entry, &mut without_entry] {
        endpoints.merge_limits(&notices, 9_000);
        assert_eq!(limit(endpoints), RateLimit::Unlimited);
    }
    source.expire_limits(13_200);
    assert!(source.limit_notices(8, 13_200).is_empty());
}

/// Guards against a lifted limit that comes back from a VM that has not heard of the lifting yet.
#[test]
fn outdated_notice() {
    let (mut source, key) = new_endpoints();
    source.record_limit(key, report(TWO, 1_000, 1_100), 1_100);
    let outdated = source.limit_notices(8, 1_200);
    let (mut endpoints, key) = new_endpoints();
    endpoints.merge_limits(&outdated, 1_200);
    endpoints.record_limit(key, report(RateLimit::Unlimited, 2_000, 2_100), 2_100);
    let later = source.limit_notices(8, 2_200);
    assert!(endpoints.merge_limits(&later, 2_200).is_empty());
    assert_eq!(limit(&endpoints), RateLimit::Unlimited);
}

/// Guards against a denial that keeps more urgent requests, or outlasts the limit.
#[test]
fn denied_level() {
    let (mut endpoints, key) = new_endpoints();
    endpoints.record_limit(key, report(TWO, 1_000, 1_100), 1_100);
    endpoints.deny(key, UrgencyLevel::from(3), 2_000);
    let is_available = |endpoints: &Endpoints, level: u8, now_ms| {
        let endpoint = endpoints.get(key).unwrap();
        endpoint.is_available(UrgencyLevel::from(level), now_ms)
    };
    for (level, expected) in [(0, true), (2, true), (3, false), (9, false)] {
        assert_eq!(is_available(&endpoints, level, 1_999), expected);
        assert!(is_available(&endpoints, level, 2_000));
    }
    endpoints.record_limit(key, report(RateLimit::Unlimited, 1_200, 1_300), 1_300);
    assert!(is_available(&endpoints, 9, 1_300));
}

proptest! {
    /// Guards against VMs that hold different limits because they learned of two reports in different order.
    #[test]
    fn order_of_two(
        rates in any::<[u8; 2]>(),
        sent in any::<[u16; 2]>(),
        durations in any::<[u8; 2]>(),
    ) {
        let new = |index: usize| {
            let limit = match rates[index] % 4 {
                0 => RateLimit::Unlimited,
                rate => RateLimit::PerSecond(f64::from(rate)),
            };
            let sent_ms = u64::from(sent[index]);
            report(limit, sent_ms, sent_ms + 1 + u64::from(durations[index]))
        };
        let (first, second) = (new(0), new(1));
        let merged = first.merge(second);
        prop_assert_eq!(merged, second.merge(first));
        prop_assert!(merged.limit == first.limit || merged.limit == second.limit);
        // A report that is certainly newer holds.
        if second.sent_ms >= first.received_ms {
            prop_assert_eq!(merged.limit, second.limit);
        }
    }
}
