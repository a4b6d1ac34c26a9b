//! Request hedging: a second attempt for a request whose first token is late, limited by a token bucket.

use std::collections::HashMap;

use crate::Name;
use crate::coordination::scheduler::statistics::Histogram;

/// Parameters of hedging.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Tokens that each request adds to the bucket; a hedge costs one token.
    pub tokens_per_request: f64,
    /// Capacity of the bucket, in tokens.
    pub burst: f64,
    /// Quantile of the first-token time after which a request counts as late.
    pub quantile: f64,
    /// Minimum number of first-token times before a class is hedged.
    pub samples_min: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            tokens_per_request: 0.05,
            burst: 5.0,
            quantile: 0.95,
            samples_min: 50,
        }
    }
}

/// Decides when a request is hedged.
#[derive(Debug)]
pub struct Hedging {
    config: Config,
    tokens: f64,
    classes: HashMap<Name, Histogram>,
}

impl Hedging {
    /// Creates the state with an empty bucket and no first-token times.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            tokens: 0.0,
            classes: HashMap::new(),
        }
    }

    /// Adds the tokens for one request of a class that may be hedged.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.config.tokens_per_request).min(self.config.burst);
    }

    /// Records a first-token time of a class, in milliseconds.
    pub fn record_first_token(&mut self, class: &Name, first_token_ms: u64) {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.clone(), Histogram::default());
        }
        if let Some(times) = self.classes.get_mut(class) {
            times.add(first_token_ms);
        }
    }

    /// Returns the time after which a request is late, in milliseconds, or `None` with too few first-token times.
    pub fn delay_ms(&self, class: &Name) -> Option<u64> {
        let times = self.classes.get(class)?;
        if times.count() < self.config.samples_min {
            return None;
        }
        Some(times.quantile(self.config.quantile))
    }

    /// Takes one token if the request is late; returns whether to hedge it.
    pub fn withdraw(&mut self, class: &Name, waited_ms: u64) -> bool {
        let is_late = self.delay_ms(class).is_some_and(|delay| waited_ms >= delay);
        if !is_late || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
