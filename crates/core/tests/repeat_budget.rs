//! The repeat budget: its limit on the sum over all VMs holds in every window.

use proptest::prelude::*;
use waxwing_core::Name;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::repeat_budget::Candidate;
use waxwing_core::forwarding::repeat_budget::Config;
use waxwing_core::forwarding::repeat_budget::RepeatBudget;

const CONFIG: Config = Config {
    ratio: 0.2,
    slack: 54.0,
    window_ms: 10_000,
};

/// A request like all others, which may have run.
const CANDIDATE: Candidate = Candidate {
    level: UrgencyLevel::MOST_URGENT,
    is_refusable: false,
};

/// Guards against repeats beyond the share of a VM, and against a share that is not restored as the window slides.
#[test]
fn sliding_window() {
    let service = Name::from("pool");
    let mut budget = RepeatBudget::new(CONFIG, 0);
    let mut taken = 0;
    while repeat(&mut budget, &service, Some(4), 20_000) {
        taken += 1;
    }
    assert_eq!(taken, 10, "a quarter of the usable slack");
    assert!(!repeat(&mut budget, &service, Some(4), 30_000));
    assert!(repeat(&mut budget, &service, Some(4), 30_100));
}

/// Guards against a restart that adds to a VM's share: the new process does not know what the previous one used, nor whether
/// all other VMs count it.
#[test]
fn fresh_process() {
    let service = Name::from("pool");
    let mut budget = RepeatBudget::new(CONFIG, 20_000);
    assert!(!repeat(&mut budget, &service, Some(4), 39_999));
    assert!(repeat(&mut budget, &service, Some(4), 40_000));
}

/// Guards against a process that takes the slack for itself because it knows no other VM.
#[test]
fn unknown_share() {
    let service = Name::from("pool");
    let mut budget = RepeatBudget::new(CONFIG, 0);
    assert!(!repeat(&mut budget, &service, None, 60_000));
    for _ in 0..100 {
        budget.record_request(&service, CANDIDATE.level, 60_000);
    }
    let mut taken = 0;
    while repeat(&mut budget, &service, None, 60_000) {
        taken += 1;
    }
    assert_eq!(taken, 8, "requests earn repeats at any time");
}

/// Guards against a repeat that is forgotten while it may still arrive, and against one that counts though it was not sent.
#[test]
fn unsettled_repeat() {
    let service = Name::from("pool");
    let mut budget = RepeatBudget::new(CONFIG, 0);
    let mut under_way = Vec::new();
    while let Some(repeat) = budget.try_take(&service, CANDIDATE, Some(4), 20_000) {
        under_way.push(repeat);
    }
    assert_eq!(under_way.len(), 10);
    assert!(
        budget
            .try_take(&service, CANDIDATE, Some(4), 60_000)
            .is_none(),
        "all are under way"
    );
    budget.cancel(under_way.pop().unwrap());
    assert!(repeat(&mut budget, &service, Some(4), 60_000));
    budget.settle(under_way.pop().unwrap(), 75_000);
    assert!(
        !repeat(&mut budget, &service, Some(4), 70_000),
        "the last one still counts"
    );
    assert!(repeat(&mut budget, &service, Some(4), 70_100));
    assert!(
        !repeat(&mut budget, &service, Some(4), 80_000),
        "two count until 85 s"
    );
}

/// Guards against a service that exhausts the budget of another.
#[test]
fn separate_services() {
    let mut budget = RepeatBudget::new(CONFIG, 0);
    while repeat(&mut budget, &Name::from("a"), Some(1), 20_000) {}
    assert!(repeat(&mut budget, &Name::from("b"), Some(1), 20_000));
}

/// Takes a repeat that arrives at once; returns whether the budget allows it.
fn repeat(budget: &mut RepeatBudget, service: &Name, vms: Option<usize>, now_ms: u64) -> bool {
    let Some(repeat) = budget.try_take(service, CANDIDATE, vms, now_ms) else {
        return false;
    };
    budget.settle(repeat, now_ms);
    true
}

proptest! {
    /// Guards against a sequence of requests and repeats for which the sum over all VMs exceeds the limit in a window.
    #[test]
    fn total_bound(vms in 1_usize..8, steps in prop::collection::vec((0_usize..8, 0_u64..200, any::<bool>()), 1..400)) {
        let service = Name::from("pool");
        let mut budgets: Vec<RepeatBudget> = (0..vms).map(|_| RepeatBudget::new(CONFIG, 0)).collect();
        let mut now_ms = 100_000;
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (vm, pause_ms, is_request) in steps {
            now_ms += pause_ms;
            let budget = &mut budgets[vm % vms];
            if is_request {
                budget.record_request(&service, CANDIDATE.level, now_ms);
                requests.push(now_ms);
            } else if repeat(budget, &service, Some(vms), now_ms) {
                repeats.push(now_ms);
            }
            let since_ms = now_ms - CONFIG.window_ms;
            let count = |times: &[u64]| times.iter().filter(|at_ms| **at_ms >= since_ms).count() as f64;
            prop_assert!(count(&repeats) <= count(&requests) * CONFIG.ratio + CONFIG.slack);
        }
    }
}
