//! Rate limits that endpoints state in their responses, and how reports from several VMs are merged.

use std::collections::HashMap;
use std::collections::hash_map;

use crate::forwarding::endpoints::notices::Incarnation;

/// Lowest rate at which requests are sent, in requests per second, because only a response can lift a limit.
const RATE_MIN_PER_S: f64 = 0.1;

/// Time for which a lifted limit is reported to the other VMs, in milliseconds.
const LIFTED_REPORT_MS: u64 = 10_000;

/// Time for which the limit of an endpoint without an entry is kept, in milliseconds; the entry may be renewed.
const UNLISTED_LIFETIME_MS: u64 = 600_000;

/// Upper limit of the time that a datagram is under way, in milliseconds.
const TRANSIT_MAX_MS: u64 = 500;

/// Capacity for incarnations with a limit.
const INCARNATIONS_MAX: usize = 4_096;

/// Rate of requests that an endpoint takes from all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// The endpoint states no limit.
    #[default]
    Unlimited,
    /// Requests per second; finite and not negative.
    PerSecond(f64),
}

impl RateLimit {
    /// Returns the stricter of two limits.
    pub fn min(self, other: Self) -> Self {
        match (self, other) {
            (Self::PerSecond(rate), Self::PerSecond(other)) => Self::PerSecond(rate.min(other)),
            (Self::Unlimited, limit) | (limit, Self::Unlimited) => limit,
        }
    }

    /// Returns the rate at which requests may be sent, in requests per second; `None` without a limit.
    pub fn rate_per_s(self) -> Option<f64> {
        match self {
            Self::Unlimited => None,
            Self::PerSecond(rate) => Some(rate.max(RATE_MIN_PER_S)),
        }
    }
}

/// The limit that an endpoint stated in a response, or that it stated none.
///
/// The endpoint decided on it at an unknown time between `sent_ms` and `received_ms`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitReport {
    /// The limit.
    pub limit: RateLimit,
    /// Time at which the request was sent, in milliseconds.
    pub sent_ms: u64,
    /// Time at which the head of the response arrived, in milliseconds.
    pub received_ms: u64,
}

impl LimitReport {
    /// Returns the report that holds after both are known.
    ///
    /// Responses on different connections overtake each other. A report whose request was sent after the other's
    /// response arrived is newer; if neither is certainly newer, the stricter limit holds.
    pub fn merge(self, other: Self) -> Self {
        if self.limit == other.limit {
            return Self {
                limit: self.limit,
                sent_ms: self.sent_ms.max(other.sent_ms),
                received_ms: self.received_ms.max(other.received_ms),
            };
        }
        if self.sent_ms >= other.received_ms {
            return self;
        }
        if other.sent_ms >= self.received_ms || self.limit.min(other.limit) == other.limit {
            return other;
        }
        self
    }
}

/// A report for other VMs, whose clocks differ: it states ages instead of times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNotice {
    /// The endpoint.
    pub endpoint: Incarnation,
    /// The limit.
    pub limit: RateLimit,
    /// Time since the request was sent, in milliseconds.
    pub sent_age_ms: u64,
    /// Time since the head of the response arrived, in milliseconds.
    pub received_age_ms: u64,
}

impl LimitNotice {
    /// Creates a notice from a report.
    pub fn new(endpoint: Incarnation, report: LimitReport, now_ms: u64) -> Self {
        Self {
            endpoint,
            limit: report.limit,
            sent_age_ms: now_ms.saturating_sub(report.sent_ms),
            received_age_ms: now_ms.saturating_sub(report.received_ms),
        }
    }

    /// Returns the report on this VM's clock, if the notice arrives now.
    ///
    /// The time under way is unknown, so the report may be up to `TRANSIT_MAX_MS` older than its ages say.
    pub fn report(&self, now_ms: u64) -> LimitReport {
        LimitReport {
            limit: self.limit,
            sent_ms: now_ms.saturating_sub(self.sent_age_ms + TRANSIT_MAX_MS),
            received_ms: now_ms.saturating_sub(self.received_age_ms),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    report: LimitReport,
    changed_at_ms: u64,
}

/// Limits by incarnation, also of endpoints whose entries are missing; a restarted endpoint starts without one.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<Incarnation, KnownLimit>,
}

impl Limits {
    /// Returns the newest report; without one, a report of no limit that any other supersedes.
    pub fn report(&self, incarnation: Incarnation) -> LimitReport {
        let known = self.known.get(&incarnation);
        known.map_or(LimitReport::default(), |known| known.report)
    }

    /// Merges a report and returns the one that holds. Reports of no limit are stored only to lift one.
    pub fn merge(
        &mut self,
        incarnation: Incarnation,
        report: LimitReport,
        now_ms: u64,
    ) -> LimitReport {
        let count = self.known.len();
        match self.known.entry(incarnation) {
            hash_map::Entry::Occupied(mut known) => {
                let known = known.get_mut();
                let merged = known.report.merge(report);
                if merged.limit != known.report.limit {
                    known.changed_at_ms = now_ms;
                }
                known.report = merged;
                merged
            }
            hash_map::Entry::Vacant(vacant) => {
                if report.limit != RateLimit::Unlimited && count < INCARNATIONS_MAX {
                    vacant.insert(KnownLimit {
                        report,
                        changed_at_ms: now_ms,
                    });
                }
                report
            }
        }
    }

    /// Removes the limits that were lifted a while ago, and those of endpoints that are gone.
    pub fn expire(&mut self, is_listed: impl Fn(Incarnation) -> bool, now_ms: u64) {
        self.known.retain(|incarnation, known| {
            let lifetime_ms = match known.report.limit {
                RateLimit::Unlimited => LIFTED_REPORT_MS,
                RateLimit::PerSecond(_) if is_listed(*incarnation) => return true,
                RateLimit::PerSecond(_) => UNLISTED_LIFETIME_MS,
            };
            let since_ms = match known.report.limit {
                RateLimit::Unlimited => known.changed_at_ms,
                RateLimit::PerSecond(_) => known.report.received_ms,
            };
            now_ms.saturating_sub(since_ms) < lifetime_ms
        });
    }

    /// Returns notices for the other VMs, at most `max`, the latest changes first.
    pub fn notices(&self, max: usize, now_ms: u64) -> Vec<LimitNotice> {
        let mut known: Vec<(&Incarnation, &KnownLimit)> = self.known.iter().collect();
        known.sort_by_key(|(incarnation, known)| {
            (std::cmp::Reverse(known.changed_at_ms), **incarnation)
        });
        let mut notices = Vec::new();
        for (incarnation, known) in known.into_iter().take(max) {
            notices.push(LimitNotice::new(*incarnation, known.report, now_ms));
        }
        notices
    }
}
