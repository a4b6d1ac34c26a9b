//! Retry budgets: a token bucket for each organisation.

use std::collections::HashMap;

use crate::Name;

/// Bounds of the budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Retries earned by each request.
    pub share: f64,
    /// Retries that an organisation can save up.
    pub burst: f64,
    /// Organisations remembered; others get an empty history and a full burst.
    pub organisations_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            share: 0.1,
            burst: 10.0,
            organisations_max: 10_000,
        }
    }
}

#[derive(Debug)]
struct Bucket {
    left: f64,
    used_at_ms: u64,
}

/// Retry budgets of all organisations.
///
/// # Examples
///
/// ```
/// use waxwing_core::Name;
/// use waxwing_core::coordination::retry::Config;
/// use waxwing_core::coordination::retry::RetryBudgets;
///
/// let mut budgets = RetryBudgets::new(Config { burst: 1.0, ..Config::default() });
/// let organisation = Name::from("qaghaz");
/// assert!(budgets.withdraw(0, &organisation));
/// assert!(!budgets.withdraw(0, &organisation));
/// ```
#[derive(Debug)]
pub struct RetryBudgets {
    config: Config,
    buckets: HashMap<Name, Bucket>,
}

impl RetryBudgets {
    /// Creates budgets that are full for every organisation.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            buckets: HashMap::new(),
        }
    }

    /// Counts a first attempt, which earns a share of a retry.
    pub fn deposit(&mut self, now_ms: u64, organisation: &Name) {
        let burst = self.config.burst;
        let share = self.config.share;
        let bucket = self.bucket(now_ms, organisation);
        bucket.left = (bucket.left + share).min(burst);
    }

    /// Takes one retry; returns `false` if the organisation has none left.
    pub fn withdraw(&mut self, now_ms: u64, organisation: &Name) -> bool {
        let bucket = self.bucket(now_ms, organisation);
        if bucket.left < 1.0 {
            return false;
        }
        bucket.left -= 1.0;
        true
    }

    fn bucket(&mut self, now_ms: u64, organisation: &Name) -> &mut Bucket {
        if self.buckets.len() >= self.config.organisations_max
            && !self.buckets.contains_key(organisation)
        {
            let oldest = self.buckets.iter().min_by_key(|(_, b)| b.used_at_ms);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.buckets.remove(&name);
            }
        }
        let burst = self.config.burst;
        let bucket = self.buckets.entry(organisation.clone()).or_insert(Bucket {
            left: burst,
            used_at_ms: now_ms,
        });
        bucket.used_at_ms = now_ms;
        bucket
    }
}
