//! Permits to send requests to endpoints with a rate limit, which holds for all VMs together.
//!
//! For each endpoint one VM, its allocator, grants the permits. The VMs agree on it without communication by rendezvous
//! hashing of the endpoint. An allocator that cannot hear some of the VMs grants only the fraction of the rate that its
//! own side of the fleet may use, so the sum over all sides stays within the limit.

use std::collections::HashMap;

use crate::Name;
use crate::fleet::Member;
use crate::forwarding::endpoints::UrgencyLevel;
use crate::forwarding::endpoints::limits::RateLimit;
use crate::forwarding::endpoints::notices::Incarnation;
use crate::hash::hash_name;
use crate::hash::mix;

/// Time that a VM must have been running before it grants permits, in milliseconds, so that it has heard the others.
const SETTLE_MS: u64 = 3_000;

/// Time over which unused permits accumulate, in milliseconds.
const BURST_MS: f64 = 250.0;

/// Time after which a waiting request gains one urgency level, in milliseconds, so that none waits forever.
const AGING_MS: u64 = 500;

/// Time for which a permit is reserved for a VM that was told to ask again, in milliseconds: a round trip or two.
const RESERVED_MS: u64 = 50;

/// Time for which the waiting time of a VM that does not ask again is remembered, in milliseconds.
const REMEMBERED_MS: u64 = 2_000;

/// Shortest delay of a VM that has to ask again, in milliseconds.
const WAIT_MIN_MS: u64 = 20;

/// Longest delay of a VM that has to ask again, in milliseconds.
const WAIT_MAX_MS: u64 = 10_000;

/// Most VMs and levels that wait for permits of one endpoint.
const WAITERS_MAX: usize = 1_024;

/// Time after which the state of an endpoint without requests is removed, in milliseconds.
const IDLE_MS: u64 = 60_000;

/// The VM that grants the permits of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allocator<'a> {
    /// This VM.
    Local,
    /// Another VM.
    Remote(&'a Member),
}

/// Selects the allocator of an endpoint.
///
/// `members` are the other VMs that are ready, and `local` is the name of this VM if it is ready. A VM that sees no
/// candidate grants its permits itself.
pub fn select_allocator<'a>(
    endpoint: Incarnation,
    members: &'a [Member],
    local: Option<&Name>,
) -> Allocator<'a> {
    let score = |vm: &Name| mix(hash_name(vm.as_str()) ^ mix(endpoint.0));
    let mut best = local.map(|vm| (score(vm), vm));
    let mut allocator = Allocator::Local;
    for member in members {
        let candidate = Some((score(&member.vm), &member.vm));
        if candidate > best {
            best = candidate;
            allocator = Allocator::Remote(member);
        }
    }
    allocator
}

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// One request may be sent now.
    Granted,
    /// None may be sent.
    Wait {
        /// Time after which the VM may ask again for requests of this level, in milliseconds.
        for_ms: u64,
    },
}

/// A VM that was told to ask again.
#[derive(Debug)]
struct Waiter {
    vm: u64,
    level: UrgencyLevel,
    since_ms: u64,
    due_ms: u64,
}

impl Waiter {
    /// Returns the sort key: urgent requests first, but each level waits only a limited time for the more urgent ones.
    fn rank(&self, now_ms: u64) -> (i64, u64, u64) {
        let gained = now_ms.saturating_sub(self.since_ms) / AGING_MS;
        let level = self.level.index() as i64 - gained as i64;
        (level, self.since_ms, self.vm)
    }
}

/// Permits of one endpoint, spaced by the generic cell rate algorithm.
#[derive(Debug)]
struct Bucket {
    rate_per_s: f64,
    /// Theoretical arrival time of the algorithm: when all past permits are paid for at the current rate, in
    /// milliseconds.
    paid_at_ms: f64,
    asked_at_ms: u64,
    waiting: Vec<Waiter>,
}

impl Bucket {
    /// Creates a bucket without a permit, because a previous allocator may just have used them.
    fn new(rate_per_s: f64, now_ms: u64) -> Self {
        Self {
            rate_per_s,
            paid_at_ms: now_ms as f64 + BURST_MS + 1_000.0 / rate_per_s,
            asked_at_ms: now_ms,
            waiting: Vec::new(),
        }
    }

    fn interval_ms(&self) -> f64 {
        1_000.0 / self.rate_per_s
    }

    /// Changes the rate; the number of permits that are not paid for stays the same.
    fn set_rate(&mut self, rate_per_s: f64, now_ms: u64) {
        let unpaid_ms = self.paid_at_ms - BURST_MS - now_ms as f64;
        if unpaid_ms > 0.0 {
            let unpaid_ms = unpaid_ms * self.rate_per_s / rate_per_s;
            self.paid_at_ms = now_ms as f64 + BURST_MS + unpaid_ms;
        }
        self.rate_per_s = rate_per_s;
    }

    /// Returns the time at which permit number `index` from now on is available, in milliseconds.
    fn available_at_ms(&self, index: usize, now_ms: u64) -> f64 {
        // Permits accumulate only over `BURST_MS`.
        let paid_at_ms = self.paid_at_ms.max(now_ms as f64);
        paid_at_ms - BURST_MS + index as f64 * self.interval_ms()
    }

    fn ask(&mut self, vm: u64, level: UrgencyLevel, now_ms: u64) -> Verdict {
        self.asked_at_ms = now_ms;
        self.waiting
            .retain(|waiter| now_ms < waiter.due_ms + REMEMBERED_MS);
        let mut asking = self.take_waiter(vm, level, now_ms);
        let (ahead, due_ahead) = self.count_ahead(&asking, now_ms);
        if self.available_at_ms(due_ahead, now_ms) <= now_ms as f64 {
            self.paid_at_ms = self.paid_at_ms.max(now_ms as f64) + self.interval_ms();
            return Verdict::Granted;
        }
        let due_ms = self.available_at_ms(ahead, now_ms).ceil() as u64;
        let for_ms = due_ms
            .saturating_sub(now_ms)
            .clamp(WAIT_MIN_MS, WAIT_MAX_MS);
        asking.due_ms = now_ms + for_ms;
        if self.waiting.len() < WAITERS_MAX {
            self.waiting.push(asking);
        }
        Verdict::Wait { for_ms }
    }

    /// Removes and returns the waiter of a VM and level, or a new one.
    fn take_waiter(&mut self, vm: u64, level: UrgencyLevel, now_ms: u64) -> Waiter {
        let mut waiting = self.waiting.iter();
        match waiting.position(|waiter| waiter.vm == vm && waiter.level == level) {
            Some(index) => self.waiting.swap_remove(index),
            None => Waiter {
                vm,
                level,
                since_ms: now_ms,
                due_ms: now_ms,
            },
        }
    }

    /// Returns how many waiters have a permit reserved before `asking`, and how many of these are due now.
    fn count_ahead(&self, asking: &Waiter, now_ms: u64) -> (usize, usize) {
        let rank = asking.rank(now_ms);
        let mut ahead = 0;
        let mut due_ahead = 0;
        for waiter in &self.waiting {
            if waiter.rank(now_ms) > rank || now_ms >= waiter.due_ms + RESERVED_MS {
                continue;
            }
            ahead += 1;
            due_ahead += usize::from(waiter.due_ms <= now_ms);
        }
        (ahead, due_ahead)
    }
}

/// Request of a VM for a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitRequest {
    /// Endpoint that the permit is for.
    pub endpoint: Incarnation,
    /// Hash of the name of the VM.
    pub vm: u64,
    /// Urgency of the request to be sent.
    pub level: UrgencyLevel,
}

/// The permits of the endpoints that this VM is the allocator of.
#[derive(Debug)]
pub struct Permits {
    started_at_ms: u64,
    buckets: HashMap<Incarnation, Bucket>,
}

impl Permits {
    /// Creates the permits of a VM that starts now.
    pub fn new(now_ms: u64) -> Self {
        Self {
            started_at_ms: now_ms,
            buckets: HashMap::new(),
        }
    }

    /// Grants or denies a permit under the current limit of the endpoint.
    ///
    /// `heard_fraction` is the fraction of all VMs that this VM hears.
    pub fn ask(
        &mut self,
        request: PermitRequest,
        limit: RateLimit,
        heard_fraction: f64,
        now_ms: u64,
    ) -> Verdict {
        let Some(limit_per_s) = limit.rate_per_s() else {
            return Verdict::Granted;
        };
        let uptime_ms = now_ms.saturating_sub(self.started_at_ms);
        if uptime_ms < SETTLE_MS {
            let for_ms = SETTLE_MS - uptime_ms;
            return Verdict::Wait { for_ms };
        }
        let rate_per_s = limit_per_s * heard_fraction;
        let bucket = self
            .buckets
            .entry(request.endpoint)
            .or_insert_with(|| Bucket::new(rate_per_s, now_ms));
        if bucket.rate_per_s != rate_per_s {
            bucket.set_rate(rate_per_s, now_ms);
        }
        bucket.ask(request.vm, request.level, now_ms)
    }

    /// Returns the rate at which this VM grants the permits of an endpoint, in requests per second.
    pub fn rate_per_s(&self, endpoint: Incarnation) -> Option<f64> {
        self.buckets.get(&endpoint).map(|bucket| bucket.rate_per_s)
    }

    /// Removes the endpoints that this VM is not the allocator of, and those without requests.
    ///
    /// A VM that becomes the allocator again must not use the permits of the time in between.
    pub fn retain(&mut self, is_allocator: impl Fn(Incarnation) -> bool, now_ms: u64) {
        self.buckets.retain(|endpoint, bucket| {
            is_allocator(*endpoint) && now_ms.saturating_sub(bucket.asked_at_ms) < IDLE_MS
        });
    }
}
