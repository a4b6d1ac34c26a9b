//! Who gets the repeats of an endpoint service when the budget does not cover all.

use waxwing_core::Name;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::repeat_budget::Candidate;
use waxwing_core::forwarding::repeat_budget::Config;
use waxwing_core::forwarding::repeat_budget::RepeatBudget;

const NOW_MS: u64 = 60_000;

const CONFIG: Config = Config {
    ratio: 0.2,
    slack: 50.0,
    window_ms: 10_000,
};

/// Takes repeats of one kind until there are no more; returns how many there were.
fn take_all(budget: &mut RepeatBudget, level: u8, is_refusable: bool, now_ms: u64) -> usize {
    let candidate = Candidate {
        level: UrgencyLevel::from(level),
        is_refusable,
    };
    let mut taken = 0;
    while let Some(repeat) = budget.try_take(&Name::from("pool"), candidate, Some(1), now_ms) {
        budget.settle(repeat, now_ms);
        taken += 1;
    }
    taken
}

/// Returns a budget with a hundred requests of each of some levels.
fn budget_for(levels: &[u8]) -> RepeatBudget {
    let mut budget = RepeatBudget::new(CONFIG, 0);
    for level in levels {
        for _ in 0..100 {
            let level = UrgencyLevel::from(*level);
            budget.record_request(&Name::from("pool"), level, NOW_MS);
        }
    }
    budget
}

/// Guards against drafts that use up the repeats that urgent requests need a moment later.
#[test]
fn urgent_last() {
    let mut budget = budget_for(&[0, 5]);
    let drafts = take_all(&mut budget, 5, false, NOW_MS);
    let urgent = take_all(&mut budget, 0, false, NOW_MS);
    // Half of the requests are more urgent, so a quarter of 56 is reserved for them.
    assert_eq!((drafts, urgent), (42, 14));
}

/// Guards against repeats that are held back although nobody more urgent is there.
#[test]
fn one_level() {
    let mut budget = budget_for(&[5]);
    assert_eq!(take_all(&mut budget, 5, false, NOW_MS), 48);
}

/// Guards against requests that were only rejected, whose callers may ask again, and that take the repeats of those that
/// may have run.
#[test]
fn refusable_first() {
    let mut budget = budget_for(&[0]);
    let refusable = take_all(&mut budget, 0, true, NOW_MS);
    let executed = take_all(&mut budget, 0, false, NOW_MS);
    assert_eq!((refusable, executed), (36, 12));
}

/// Guards against a budget that is spent on endpoints that all fail, so that none is left when they recover.
#[test]
fn all_failing() {
    let service = Name::from("pool");
    let mut budget = budget_for(&[0]);
    for _ in 0..10 {
        budget.record_result(&service, false, NOW_MS);
    }
    assert_eq!(
        take_all(&mut budget, 0, false, NOW_MS),
        1,
        "one of them is tried"
    );
    assert_eq!(take_all(&mut budget, 0, false, NOW_MS + 999), 0);
    assert_eq!(take_all(&mut budget, 0, false, NOW_MS + 1_000), 1);
    budget.record_result(&service, true, NOW_MS + 1_000);
    assert!(take_all(&mut budget, 0, false, NOW_MS + 1_000) > 40);
}
