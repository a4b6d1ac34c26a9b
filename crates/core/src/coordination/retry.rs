//! Retry budgets, with one token bucket for each organisation.

use std::collections::HashMap;

use crate::Name;

/// Parameters of retry budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Tokens that each request adds to the bucket of its organisation; a retry costs one token.
    pub tokens_per_request: f64,
    /// Capacity of a bucket, in tokens.
    pub burst: f64,
    /// Maximum number of buckets; the least recently used one is dropped, and starts full when it is used again.
    pub organisations_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            tokens_per_request: 0.1,
            burst: 10.0,
            organisations_max: 10_000,
        }
    }
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    last_used_ms: u64,
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
    /// Creates budgets with a full bucket for every organisation.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            buckets: HashMap::new(),
        }
    }

    /// Adds the tokens for one request, on its first attempt.
    pub fn deposit(&mut self, now_ms: u64, organisation: &Name) {
        let burst = self.config.burst;
        let tokens_per_request = self.config.tokens_per_request;
        let bucket = self.bucket(now_ms, organisation);
        bucket.tokens = (bucket.tokens + tokens_per_request).min(burst);
    }

    /// Takes one token for a retry; returns `false` if the bucket holds less than one.
    pub fn withdraw(&mut self, now_ms: u64, organisation: &Name) -> bool {
        let bucket = self.bucket(now_ms, organisation);
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    fn bucket(&mut self, now_ms: u64, organisation: &Name) -> &mut Bucket {
        if self.buckets.len() >= self.config.organisations_max
            && !self.buckets.contains_key(organisation)
        {
            let oldest = self.buckets.iter().min_by_key(|(_, b)| b.last_used_ms);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.buckets.remove(&name);
            }
        }
        let burst = self.config.burst;
        let bucket = self.buckets.entry(organisation.clone()).or_insert(Bucket {
            tokens: burst,
            last_used_ms: now_ms,
        });
        bucket.last_used_ms = now_ms;
        bucket
    }
}
