//! Bounds the memory that a VM holds for connections, requests and bodies.
//!
//! Handles bursts at the VMs that are left after others were lost: requests arrive faster than endpoints finish them,
//! and each holds its body and the buffers of two connections until it ends. A VM that exceeds its memory is killed with
//! all requests in progress, so requests beyond the limit are refused while they have not run.

use crate::forwarding::endpoints::UrgencyLevel;

/// Memory of the program and of its state of configuration, endpoints and other VMs, in bytes.
const PROGRAM_BYTES: u64 = 12_000_000;

/// Share of the other memory that connections, requests and bodies may hold. The rest is for the overhead of the
/// allocator and for bytes that have arrived and were not read yet.
const HELD_SHARE: f64 = 0.75;

/// Part of the limit that each urgency level leaves to the level above it.
const LEVEL_RESERVE_SHARE: f64 = 0.03;

/// Length of the periods over which released bytes are counted, in milliseconds.
const PERIOD_MS: u64 = 500;

/// Minimum retry delay of a refused request, in milliseconds.
const RETRY_DELAY_MIN_MS: u64 = 300;

/// Maximum retry delay of a refused request, in milliseconds.
const RETRY_DELAY_MAX_MS: u64 = 3_000;

/// Memory held by connections, requests and bodies, and its limit.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit_bytes: u64,
    held_bytes: u64,
    released: ReleaseRate,
    /// When the requests that were refused so far are expected to have found room, in milliseconds.
    returns_until_ms: f64,
}

impl MemoryBudget {
    /// Creates the budget of a VM with `memory_bytes` of memory.
    pub fn new(memory_bytes: u64) -> Self {
        let shared_bytes = memory_bytes.saturating_sub(PROGRAM_BYTES);
        Self {
            limit_bytes: (shared_bytes as f64 * HELD_SHARE) as u64,
            held_bytes: 0,
            released: ReleaseRate::default(),
            returns_until_ms: 0.0,
        }
    }

    /// Returns the most that may be held, in bytes.
    pub fn limit_bytes(&self) -> u64 {
        self.limit_bytes
    }

    /// Returns what is held, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Holds `bytes` for a request and returns whether its level's part of the limit allows it.
    pub fn try_hold(&mut self, level: UrgencyLevel, bytes: u64) -> bool {
        let is_allowed = self.held_bytes + bytes <= self.level_limit_bytes(level);
        if is_allowed {
            self.held_bytes += bytes;
        }
        is_allowed
    }

    /// Holds `bytes` that are in use already, also beyond the limit.
    pub fn hold(&mut self, bytes: u64) {
        self.held_bytes += bytes;
    }

    /// Releases `bytes` that were held.
    pub fn release(&mut self, bytes: u64, now_ms: u64) {
        self.held_bytes -= bytes;
        self.released.add(bytes, now_ms);
    }

    /// Returns when a request that was refused for `bytes` should come back, as a delay in milliseconds.
    ///
    /// Refused requests return one after the other, as fast as memory has been released lately; a less urgent one waits
    /// until memory below its own part of the limit is free.
    pub fn retry_delay_ms(&mut self, level: UrgencyLevel, bytes: u64, now_ms: u64) -> u64 {
        let limit_bytes = self.level_limit_bytes(level);
        let excess_bytes = (self.held_bytes + bytes).saturating_sub(limit_bytes);
        let bytes_per_ms = self.released.bytes_per_ms(now_ms);
        if bytes_per_ms <= 0.0 {
            return RETRY_DELAY_MAX_MS;
        }
        let now_ms = now_ms as f64;
        let latest_ms = now_ms + RETRY_DELAY_MAX_MS as f64;
        let turn_ms = self.returns_until_ms.max(now_ms) + bytes as f64 / bytes_per_ms;
        self.returns_until_ms = turn_ms.min(latest_ms);
        let free_ms = now_ms + excess_bytes as f64 / bytes_per_ms;
        let delay_ms = turn_ms.max(free_ms) - now_ms;
        (delay_ms as u64).clamp(RETRY_DELAY_MIN_MS, RETRY_DELAY_MAX_MS)
    }

    fn level_limit_bytes(&self, level: UrgencyLevel) -> u64 {
        let share = 1.0 - level.index() as f64 * LEVEL_RESERVE_SHARE;
        (self.limit_bytes as f64 * share) as u64
    }
}

/// Bytes released in this period and in the one before it.
#[derive(Clone, Copy, Debug, Default)]
struct ReleaseRate {
    period: u64,
    bytes: u64,
    before_bytes: u64,
}

impl ReleaseRate {
    fn add(&mut self, bytes: u64, now_ms: u64) {
        self.advance(now_ms);
        self.bytes += bytes;
    }

    fn bytes_per_ms(&mut self, now_ms: u64) -> f64 {
        self.advance(now_ms);
        let span_ms = PERIOD_MS + now_ms % PERIOD_MS;
        (self.before_bytes + self.bytes) as f64 / span_ms as f64
    }

    fn advance(&mut self, now_ms: u64) {
        let period = now_ms / PERIOD_MS;
        if period == self.period {
            return;
        }
        self.before_bytes = match period == self.period + 1 {
            true => self.bytes,
            false => 0,
        };
        self.bytes = 0;
        self.period = period;
    }
}
