//! Hedging: a second attempt for a request whose first token is late.

use std::collections::HashMap;

use crate::Name;
use crate::coordination::scheduler::statistics::Histogram;

/// Bounds of hedging.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Second attempts earned by each request.
    pub share: f64,
    /// Second attempts that can be saved up.
    pub burst: f64,
    /// Quantile of the first-token time after which a request counts as late.
    pub quantile: f64,
    /// First-token times needed before a class is hedged.
    pub samples_min: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            share: 0.05,
            burst: 5.0,
            quantile: 0.95,
            samples_min: 50,
        }
    }
}

/// Decides when a second attempt is made.
#[derive(Debug)]
pub struct Hedging {
    config: Config,
    left: f64,
    classes: HashMap<Name, Histogram>,
}

impl Hedging {
    /// Creates the state with an empty budget and nothing learned.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            left: 0.0,
            classes: HashMap::new(),
        }
    }

    /// Counts a request of a class that may be hedged, which earns a share of a second attempt.
    pub fn deposit(&mut self) {
        self.left = (self.left + self.config.share).min(self.config.burst);
    }

    /// Learns a first-token time of a class.
    pub fn record_first_token(&mut self, class: &Name, first_token_ms: u64) {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.clone(), Histogram::default());
        }
        if let Some(times) = self.classes.get_mut(class) {
            times.add(first_token_ms);
        }
    }

    /// Returns the wait after which a second attempt is due, in milliseconds, or `None` until it is learned.
    pub fn delay_ms(&self, class: &Name) -> Option<u64> {
        let times = self.classes.get(class)?;
        if times.count() < self.config.samples_min {
            return None;
        }
        Some(times.quantile(self.config.quantile))
    }

    /// Takes one second attempt out of the budget if the request is late; returns whether to make it.
    pub fn withdraw(&mut self, class: &Name, waited_ms: u64) -> bool {
        let is_late = self.delay_ms(class).is_some_and(|delay| waited_ms >= delay);
        if !is_late || self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
