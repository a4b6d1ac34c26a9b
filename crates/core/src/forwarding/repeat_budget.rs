//! Retry budget: limits how often requests are repeated at further endpoints, summed over all VMs.

use std::collections::BTreeMap;
use std::collections::HashMap;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::Name;
use crate::forwarding::endpoints::URGENCY_LEVELS;
use crate::forwarding::endpoints::UrgencyLevel;

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
/// In the first one the repeats of the previous process on this VM still count, and in the second one those of it that
/// arrive late, and those of VMs that have not yet counted this one.
const SETTLE_WINDOWS: u64 = 2;

/// Time for which a request that was given up may still arrive at a silent endpoint, in milliseconds.
///
/// It waits behind a broken link or in an endpoint that is suspended.
pub const LATE_ARRIVAL_MS: u64 = 15_000;

/// Slots into which a window is divided for counting.
const WINDOW_SLOTS: u64 = 100;

/// Slots for which counts are kept: a window, and the half of one before it.
const KEPT_SLOTS: u64 = WINDOW_SLOTS + WINDOW_SLOTS / 2;

/// Weight of the requests in the same window as the repeats; the rest is that of the window half a window earlier.
///
/// The bound takes whichever of these windows has most requests, over all VMs. A VM cannot know which one that is, but
/// no weighted mean of them exceeds it, and a mean with the same weights on all VMs can be added up.
const SAME_WINDOW_WEIGHT: f64 = 0.5;

/// Fraction of the budget that is reserved for more urgent requests if all requests are more urgent.
const URGENT_RESERVE: f64 = 0.5;

/// Fraction of the budget that is reserved for requests that may have run.
const EXECUTED_RESERVE: f64 = 0.25;

/// Repeats within a window after which the service counts as failing as a whole if none of them was served.
const FUTILE_REPEATS_MIN: u32 = 10;

/// Interval at which a service that fails as a whole is tried by a repeat, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 1_000;

/// A request that asks for a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Urgency of the request.
    pub level: UrgencyLevel,
    /// Whether the request has certainly not run, so that it can be refused and its caller may send it again.
    pub is_refusable: bool,
}

new_key_type! {
    /// Key of a service in the budget.
    struct ServiceKey;
}

/// A repeat that was taken from the budget; it counts as under way until it is settled or cancelled.
#[derive(Debug)]
#[must_use]
pub struct Repeat {
    service: ServiceKey,
}

/// Counts of a service by time slot.
#[derive(Debug, Default)]
struct Counts {
    requests: BTreeMap<u64, u32>,
    requests_by_level: BTreeMap<u64, [u32; URGENCY_LEVELS]>,
    /// Repeats that were served, by the slot in which they ended, and those that were not.
    served: BTreeMap<u64, u32>,
    unserved: BTreeMap<u64, u32>,
    last_taken_ms: u64,
    /// Repeats by the slot in which they arrive at the latest, which may be in the future.
    repeats: BTreeMap<u64, u32>,
    /// Repeats whose latest arrival is not known yet.
    under_way: u32,
}

impl Counts {
    fn expire(&mut self, now_slot: u64) {
        let kept = now_slot.saturating_sub(KEPT_SLOTS);
        for slots in [
            &mut self.requests,
            &mut self.repeats,
            &mut self.served,
            &mut self.unserved,
        ] {
            *slots = slots.split_off(&kept);
        }
        self.requests_by_level = self.requests_by_level.split_off(&kept);
    }

    /// Returns the fraction of the budget that a request may use; the rest is reserved for others.
    fn usable_fraction(&self, candidate: Candidate) -> f64 {
        let mut all = 0;
        let mut more_urgent = 0;
        for levels in self.requests_by_level.values() {
            all += levels.iter().sum::<u32>();
            more_urgent += levels[..candidate.level.index()].iter().sum::<u32>();
        }
        let mut fraction = USABLE_FRACTION;
        if all > 0 {
            fraction *= 1.0 - URGENT_RESERVE * f64::from(more_urgent) / f64::from(all);
        }
        if candidate.is_refusable {
            fraction *= 1.0 - EXECUTED_RESERVE;
        }
        fraction
    }

    /// Returns whether recent repeats were all in vain.
    fn is_futile(&self, now_slot: u64) -> bool {
        let since = now_slot.saturating_sub(WINDOW_SLOTS);
        let sum =
            |slots: &BTreeMap<u64, u32>| slots.range(since..).map(|(_, count)| count).sum::<u32>();
        sum(&self.served) == 0 && sum(&self.unserved) >= FUTILE_REPEATS_MIN
    }

    /// Returns whether one more repeat now is covered in each window that contains it.
    ///
    /// These are the windows that end between now and one window from now. Of the slots that are partly in a window, those of repeats count and those of requests do not.
    fn covers_repeat(
        &self,
        config: Config,
        slack: f64,
        usable_fraction: f64,
        now_slot: u64,
    ) -> bool {
        let requests = CumulativeCounts::new(&self.requests, now_slot);
        let repeats = CumulativeCounts::new(&self.repeats, now_slot);
        let later: u32 = self
            .repeats
            .range(now_slot + 1..)
            .map(|(_, count)| count)
            .sum();
        let unarrived = f64::from(later + self.under_way);
        for last in now_slot..=now_slot + WINDOW_SLOTS {
            let first = last - WINDOW_SLOTS;
            // What was counted so far in the current slot lies before now.
            let until = last.max(now_slot + 1);
            let same = requests.between(first + 1, until);
            let half = WINDOW_SLOTS / 2;
            let earlier = requests.between(first + 1 - half, last - half);
            let earned = SAME_WINDOW_WEIGHT * same + (1.0 - SAME_WINDOW_WEIGHT) * earlier;
            let allowed = (earned * config.ratio + slack) * usable_fraction;
            if unarrived + repeats.between(first, last + 1) + 1.0 > allowed {
                return false;
            }
        }
        true
    }
}

/// Sums of the counts of slots, up to the current slot.
struct CumulativeCounts {
    /// Slot of the first entry.
    base: u64,
    /// Sum of all slots before the one of the entry.
    sums: Vec<u32>,
}

impl CumulativeCounts {
    fn new(counts: &BTreeMap<u64, u32>, now_slot: u64) -> Self {
        let base = now_slot - KEPT_SLOTS;
        let mut sums = vec![0];
        let mut sum = 0;
        for slot in base..=now_slot {
            sum += counts.get(&slot).copied().unwrap_or(0);
            sums.push(sum);
        }
        Self { base, sums }
    }

    /// Returns the sum of the slots from `from` up to but not including `until`.
    fn between(&self, from: u64, until: u64) -> f64 {
        let sum_before = |slot: u64| {
            let index = slot.saturating_sub(self.base) as usize;
            self.sums[index.min(self.sums.len() - 1)]
        };
        f64::from(sum_before(until) - sum_before(from))
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
    keys: HashMap<Name, ServiceKey>,
    services: SlotMap<ServiceKey, Counts>,
}

impl RepeatBudget {
    /// Creates a budget; `now_ms` is the start time of the process.
    pub fn new(config: Config, now_ms: u64) -> Self {
        Self {
            config,
            started_at_ms: now_ms,
            keys: HashMap::new(),
            services: SlotMap::with_key(),
        }
    }

    /// Records a request, when it is first sent.
    pub fn record_request(&mut self, service: &Name, level: UrgencyLevel, now_ms: u64) {
        let slot = self.slot(now_ms);
        let counts = self.counts(service, slot);
        *counts.requests.entry(slot).or_default() += 1;
        counts.requests_by_level.entry(slot).or_default()[level.index()] += 1;
    }

    /// Records whether a repeat was served, which tells whether further ones are worth their cost.
    pub fn record_result(&mut self, service: &Name, is_served: bool, now_ms: u64) {
        let slot = self.slot(now_ms);
        let counts = self.counts(service, slot);
        let slots = match is_served {
            true => &mut counts.served,
            false => &mut counts.unserved,
        };
        *slots.entry(slot).or_default() += 1;
    }

    /// Takes a repeat from the budget; returns `None` if it is exhausted.
    ///
    /// `vms` is the number of VMs that share the slack, or `None` if this VM cannot know it.
    pub fn try_take(
        &mut self,
        service: &Name,
        candidate: Candidate,
        vms: Option<usize>,
        now_ms: u64,
    ) -> Option<Repeat> {
        if !self.can_take(service, candidate, vms, now_ms) {
            return None;
        }
        let service = self.service_key(service);
        let counts = &mut self.services[service];
        counts.under_way += 1;
        counts.last_taken_ms = now_ms;
        Some(Repeat { service })
    }

    /// Records that a repeat arrives at `latest_ms` at the latest, or has arrived by then.
    pub fn settle(&mut self, repeat: Repeat, latest_ms: u64) {
        let slot = self.slot(latest_ms);
        let counts = &mut self.services[repeat.service];
        counts.under_way -= 1;
        *counts.repeats.entry(slot).or_default() += 1;
    }

    /// Gives back a repeat that was not sent.
    pub fn cancel(&mut self, repeat: Repeat) {
        self.services[repeat.service].under_way -= 1;
    }

    /// Returns whether the budget allows a repeat.
    ///
    /// What is left of it goes to urgent requests and to those that may have run first. While no repeat is served, only
    /// one of them is tried now and then.
    pub fn can_take(
        &mut self,
        service: &Name,
        candidate: Candidate,
        vms: Option<usize>,
        now_ms: u64,
    ) -> bool {
        let config = self.config;
        let slack = self.slack_share(vms, now_ms);
        let slot = self.slot(now_ms);
        let counts = self.counts(service, slot);
        if counts.is_futile(slot) && now_ms < counts.last_taken_ms + TRIAL_INTERVAL_MS {
            return false;
        }
        let usable_fraction = counts.usable_fraction(candidate);
        counts.covers_repeat(config, slack, usable_fraction, slot)
    }

    /// Returns this VM's share of the slack, in repeats within the window; 0 while it cannot know its share.
    pub fn slack_share(&self, vms: Option<usize>, now_ms: u64) -> f64 {
        let uptime_ms = now_ms.saturating_sub(self.started_at_ms);
        match vms {
            Some(vms) if uptime_ms >= SETTLE_WINDOWS * self.config.window_ms => {
                self.config.slack / vms.max(1) as f64
            }
            _ => 0.0,
        }
    }

    /// Returns the slot that a time falls into; there are slots before the first one that is used.
    fn slot(&self, at_ms: u64) -> u64 {
        KEPT_SLOTS + at_ms / (self.config.window_ms / WINDOW_SLOTS).max(1)
    }

    fn service_key(&mut self, service: &Name) -> ServiceKey {
        match self.keys.get(service) {
            Some(key) => *key,
            None => {
                let key = self.services.insert(Counts::default());
                self.keys.insert(service.clone(), key);
                key
            }
        }
    }

    fn counts(&mut self, service: &Name, now_slot: u64) -> &mut Counts {
        let key = self.service_key(service);
        let counts = &mut self.services[key];
        counts.expire(now_slot);
        counts
    }
}
