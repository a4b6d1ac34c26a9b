//! Retry and hedging budgets, shared by all request threads.

use std::sync::MutexGuard;

use waxwing_core::Name;
use waxwing_core::coordination::hedge;
use waxwing_core::coordination::hedge::Hedging;
use waxwing_core::coordination::retry;
use waxwing_core::coordination::retry::RetryBudgets;

/// The state behind [`Budgets`].
#[derive(Debug)]
pub struct Inner {
    retries: RetryBudgets,
    hedging: Hedging,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            retries: RetryBudgets::new(retry::Config::default()),
            hedging: Hedging::new(hedge::Config::default()),
        }
    }
}

/// Locked access to the budgets.
#[derive(Debug)]
pub struct Budgets<'a> {
    inner: MutexGuard<'a, Inner>,
    now_ms: u64,
}

impl<'a> Budgets<'a> {
    pub(crate) fn new(inner: MutexGuard<'a, Inner>, now_ms: u64) -> Self {
        Self { inner, now_ms }
    }

    /// Adds a new request's share to the retry budget and, if it may be hedged, to the hedging budget.
    pub fn deposit(&mut self, organisation: &Name, may_hedge: bool) {
        self.inner.retries.deposit(self.now_ms, organisation);
        if may_hedge {
            self.inner.hedging.deposit();
        }
    }

    /// Withdraws one retry; returns `false` if the organisation's budget is exhausted.
    pub fn withdraw_retry(&mut self, organisation: &Name) -> bool {
        self.inner.retries.withdraw(self.now_ms, organisation)
    }

    /// Withdraws one hedged attempt; returns `false` if the first attempt has not waited long enough or the budget is
    /// exhausted.
    pub fn withdraw_hedge(&mut self, class: &Name, waited_ms: u64) -> bool {
        self.inner.hedging.withdraw(class, waited_ms)
    }

    /// Records a time to first token of a class.
    pub fn record_first_token(&mut self, class: &Name, first_token_ms: u64) {
        self.inner.hedging.record_first_token(class, first_token_ms);
    }
}
