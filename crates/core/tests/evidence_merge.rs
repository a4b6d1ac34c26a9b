//! Guards against VMs that disagree about a content after they exchanged the same evidence.

use proptest::prelude::*;
use waxwing_core::Name;
use waxwing_core::state::evidence::CrashFinding;
use waxwing_core::state::evidence::Evidence;

const LIFETIME_MS: u64 = 10_000;

fn sorted(evidence: &Evidence, now_ms: u64) -> Vec<String> {
    let findings = evidence.findings(now_ms);
    let mut lines: Vec<String> = findings.iter().map(|f| format!("{f:?}")).collect();
    lines.sort();
    lines
}

fn finding() -> impl Strategy<Value = CrashFinding> {
    (1..4u8, prop::option::of(0..4u8), 0..12_000u64).prop_map(|(content, endpoint, age_ms)| {
        CrashFinding {
            content: [content; 32],
            endpoint: endpoint.map(|number| Name::from(format!("e{number}"))),
            age_ms,
        }
    })
}

proptest! {
    #[test]
    fn merging_again_changes_nothing(findings in prop::collection::vec(finding(), 0..20)) {
        let mut once = Evidence::new(LIFETIME_MS, 100);
        once.merge(&findings, 50_000);
        let mut twice = once.clone();
        twice.merge(&once.findings(50_000), 50_000);
        prop_assert_eq!(sorted(&once, 50_000), sorted(&twice, 50_000));
    }

    #[test]
    fn both_sides_agree_after_an_exchange(
        left in prop::collection::vec(finding(), 0..20),
        right in prop::collection::vec(finding(), 0..20),
    ) {
        let mut a = Evidence::new(LIFETIME_MS, 100);
        let mut b = Evidence::new(LIFETIME_MS, 100);
        a.merge(&left, 50_000);
        b.merge(&right, 50_000);
        let of_a = a.findings(50_000);
        a.merge(&b.findings(50_000), 50_000);
        b.merge(&of_a, 50_000);
        prop_assert_eq!(sorted(&a, 50_000), sorted(&b, 50_000));
    }
}

#[test]
fn old_evidence_expires_and_the_set_is_bounded() {
    let mut evidence = Evidence::new(LIFETIME_MS, 10);
    for content in 1..=200 {
        evidence.record([content; 32], &Name::from("e1"), u64::from(content));
    }
    assert_eq!(evidence.len(), 10);
    evidence.expire(200 + LIFETIME_MS);
    assert!(evidence.is_empty());
}

#[test]
fn evidence_that_travels_to_and_fro_still_expires() {
    let mut a = Evidence::new(LIFETIME_MS, 10);
    let mut b = Evidence::new(LIFETIME_MS, 10);
    a.record([1; 32], &Name::from("e1"), 0);
    for round in 0..30 {
        let now_ms = round * 1_000;
        a.expire(now_ms);
        b.expire(now_ms);
        // Each transfer takes 400 ms, so that the receiver underestimates the age by 400 ms.
        b.merge(&a.findings(now_ms), now_ms + 400);
        a.merge(&b.findings(now_ms + 400), now_ms + 800);
    }
    assert!(a.is_empty() && b.is_empty());
}
