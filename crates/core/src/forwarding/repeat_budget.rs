//! Retry budget: limits how often requests are repeated at further endpoints, summed over all VMs.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::Name;

/// Limits of the budget, summed over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Repeats per request of a service within the window.
    pub ratio: f64,
    /// Repeats of a service within the window in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window_ms: 10_000,
        }
    }
}

/// Usable fraction of the budget; the rest is a margin for requests that two VMs count differently.
const USABLE_FRACTION: f64 = 0.8;

/// Windows after its start in which a process has no share of the slack.
///
/// In the first one the repeats of the previous process on this VM still count, and in the second one those of VMs that
/// have not yet counted this one.
const SETTLE_WINDOWS: u64 = 2;

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<u64>,
    repeats: VecDeque<u64>,
}

impl Counts {
    fn expire(&mut self, before_ms: u64) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at_ms| *at_ms < before_ms) {
                times.pop_front();
            }
        }
    }
}

/// Sliding-window budget of repeats for each service.
///
/// Each VM uses its share of the slack, and the ratio applied to the requests that it sent itself. A process that cannot
/// know its share has none, so the limits on the sum over all VMs hold from the start of any number of processes on.
#[derive(Debug)]
pub struct RepeatBudget {
    config: Config,
    started_at_ms: u64,
    services: HashMap<Name, Counts>,
}

impl RepeatBudget {
    /// Creates a budget; `now_ms` is the start time of the process.
    pub fn new(config: Config, now_ms: u64) -> Self {
        Self {
            config,
            started_at_ms: now_ms,
            services: HashMap::new(),
        }
    }

    /// Records a request, when it is first sent.
    pub fn record_request(&mut self, service: &Name, now_ms: u64) {
        self.counts(service, now_ms).requests.push_back(now_ms);
    }

    /// Takes a repeat from the budget; returns `false` if it is exhausted.
    ///
    /// `vms` is the number of VMs that share the slack, or `None` if this VM cannot know it.
    pub fn try_take(&mut self, service: &Name, vms: Option<usize>, now_ms: u64) -> bool {
        if !self.can_take(service, vms, now_ms) {
            return false;
        }
        self.counts(service, now_ms).repeats.push_back(now_ms);
        true
    }

    /// Returns whether the budget allows a repeat.
    pub fn can_take(&mut self, service: &Name, vms: Option<usize>, now_ms: u64) -> bool {
        let config = self.config;
        let slack = self.slack_share(vms, now_ms);
        let counts = self.counts(service, now_ms);
        let earned = counts.requests.len() as f64 * config.ratio;
        counts.repeats.len() as f64 + 1.0 <= (earned + slack) * USABLE_FRACTION
    }

    /// Returns this VM's share of the slack.
    fn slack_share(&self, vms: Option<usize>, now_ms: u64) -> f64 {
        let uptime_ms = now_ms.saturating_sub(self.started_at_ms);
        match vms {
            Some(vms) if uptime_ms >= SETTLE_WINDOWS * self.config.window_ms => {
                self.config.slack / vms.max(1) as f64
            }
            _ => 0.0,
        }
    }

    fn counts(&mut self, service: &Name, now_ms: u64) -> &mut Counts {
        let before_ms = now_ms.saturating_sub(self.config.window_ms);
        let counts = self.services.entry(service.clone()).or_default();
        counts.expire(before_ms);
        counts
    }
}
