//! Guards against retries and hedges that multiply the load of an overloaded pool.

use waxwing_core::Name;
use waxwing_core::coordination::hedge;
use waxwing_core::coordination::hedge::Hedging;
use waxwing_core::coordination::retry;
use waxwing_core::coordination::retry::RetryBudgets;

#[test]
fn retries_are_a_tenth_of_requests_beyond_the_burst() {
    let mut budgets = RetryBudgets::new(retry::Config::default());
    let organisation = Name::from("a");
    let mut taken = 0;
    for now_ms in 0..1_000 {
        budgets.deposit(now_ms, &organisation);
        taken += u32::from(budgets.withdraw(now_ms, &organisation));
    }
    assert!((108..=110).contains(&taken), "{taken} retries");
    assert!(
        budgets.withdraw(0, &Name::from("b")),
        "budgets are separate"
    );
}

#[test]
fn hedges_follow_the_learned_quantile_and_the_budget() {
    let mut hedging = Hedging::new(hedge::Config::default());
    let class = Name::from("lookup");
    for sample in 0..49 {
        hedging.record_first_token(&class, 10 + sample);
    }
    assert_eq!(hedging.delay_ms(&class), None, "too few samples");
    for sample in 49..100 {
        hedging.record_first_token(&class, 10 + sample);
    }
    let delay_ms = hedging.delay_ms(&class).expect("there are enough samples");
    assert!((95..=115).contains(&delay_ms), "{delay_ms} ms");
    let mut taken = 0;
    for _ in 0..1_000 {
        hedging.deposit();
        assert!(
            !hedging.withdraw(&class, delay_ms - 1),
            "the request is not late yet"
        );
        taken += u32::from(hedging.withdraw(&class, delay_ms));
    }
    assert!((49..=50).contains(&taken), "{taken} hedges");
}
