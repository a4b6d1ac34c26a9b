//! The memory budget refuses what a VM cannot hold, the least urgent first, and spreads the return of what it refused.

use waxwing_core::forwarding::endpoints::URGENCY_LEVELS;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::memory_budget::MemoryBudget;

const MEMORY_BYTES: u64 = 100_000_000;

const REQUEST_BYTES: u64 = 100_000;

/// Longest delay that a refusal names, in milliseconds.
const DELAY_MAX_MS: u64 = 3_000;

fn level(index: usize) -> UrgencyLevel {
    UrgencyLevel::from(u8::try_from(index).unwrap())
}

/// Holds requests until one is refused, and returns how many were held.
fn fill(budget: &mut MemoryBudget, level: UrgencyLevel) -> u64 {
    let mut count = 0;
    while budget.try_hold(level, REQUEST_BYTES) {
        count += 1;
    }
    count
}

/// A burst must not take more than the limit, which leaves a part of the memory to the program itself.
#[test]
fn bounded_burst() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    fill(&mut budget, UrgencyLevel::MOST_URGENT);
    assert!(budget.held_bytes() <= budget.limit_bytes());
    assert!(budget.limit_bytes() < MEMORY_BYTES);
    let held_bytes = budget.held_bytes();
    assert!(!budget.try_hold(UrgencyLevel::MOST_URGENT, REQUEST_BYTES));
    assert_eq!(budget.held_bytes(), held_bytes, "a refusal holds nothing");
}

/// A burst of requests must leave room for each level that is more urgent than theirs.
#[test]
fn urgent_room() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    for index in (0..URGENCY_LEVELS).rev() {
        assert!(
            fill(&mut budget, level(index)) > 0,
            "no room for level {index}"
        );
    }
}

/// Memory in use already counts, also beyond the limit; requests are refused until it is released.
#[test]
fn used_beyond() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    budget.hold(2 * MEMORY_BYTES);
    assert!(!budget.try_hold(UrgencyLevel::MOST_URGENT, 1));
    budget.release(2 * MEMORY_BYTES, 0);
    assert!(budget.try_hold(UrgencyLevel::MOST_URGENT, REQUEST_BYTES));
}

/// Refused callers must not return all at once, nor sooner than memory is released.
#[test]
fn spread_return() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    fill(&mut budget, UrgencyLevel::MOST_URGENT);
    let now_ms = 10_000;
    // Ten requests a second end, and as many take their place.
    for step in 0..10 {
        budget.release(REQUEST_BYTES, now_ms - 900 + step * 100);
        assert!(budget.try_hold(UrgencyLevel::MOST_URGENT, REQUEST_BYTES));
    }
    let mut delays_ms = Vec::new();
    for _ in 0..20 {
        delays_ms.push(budget.retry_delay_ms(UrgencyLevel::MOST_URGENT, REQUEST_BYTES, now_ms));
    }
    assert!(delays_ms.is_sorted(), "{delays_ms:?}");
    assert!(delays_ms[9] >= delays_ms[0] + 500, "{delays_ms:?}");
    assert!(delays_ms[19] > delays_ms[9], "{delays_ms:?}");
    assert!(delays_ms[19] <= DELAY_MAX_MS, "{delays_ms:?}");
}

/// A less urgent caller waits until memory below its own part of the limit is released.
#[test]
fn urgent_return() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    fill(&mut budget, UrgencyLevel::MOST_URGENT);
    let now_ms = 10_000;
    budget.release(20 * REQUEST_BYTES, now_ms);
    budget.hold(20 * REQUEST_BYTES);
    let mut other = budget.clone();
    let urgent_ms = budget.retry_delay_ms(UrgencyLevel::MOST_URGENT, REQUEST_BYTES, now_ms);
    let last_ms = other.retry_delay_ms(level(URGENCY_LEVELS - 1), REQUEST_BYTES, now_ms);
    assert!(urgent_ms < last_ms, "{urgent_ms} and {last_ms}");
}

/// Without any release lately nobody knows when there is room, so callers are asked to wait for long.
#[test]
fn stuck_requests() {
    let mut budget = MemoryBudget::new(MEMORY_BYTES);
    fill(&mut budget, UrgencyLevel::MOST_URGENT);
    let delay_ms = budget.retry_delay_ms(UrgencyLevel::MOST_URGENT, REQUEST_BYTES, 10_000);
    assert_eq!(delay_ms, DELAY_MAX_MS);
}
