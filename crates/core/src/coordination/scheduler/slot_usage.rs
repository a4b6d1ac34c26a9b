//! Slot usage by tier, and the headroom that long requests leave to shorter ones of higher tiers.
//!
//! Without headroom, short requests wait for the end of a long one whenever lower tiers fill the pool, although the
//! short requests need only a few slots.

use std::collections::BTreeMap;

/// Time constant of the exponentially weighted average of used slots, in milliseconds.
const AVERAGING_WINDOW_MS: f64 = 10_000.0;

/// A request leaves headroom to a higher tier if it takes at least this many times as long as that tier's requests.
const LONG_COST_FACTOR: f64 = 4.0;

/// Standard deviations of slot usage in the headroom, beyond the mean.
///
/// In compare_policies, 2.0 lowers the 99th percentile of the wait of short requests from 218 ms to 128 ms, but also
/// the share of drafts answered from 94 % to 91 %.
const HEADROOM_DEVIATIONS: f64 = 1.0;

/// Maximum headroom as a share of all slots.
const HEADROOM_SHARE_MAX: f64 = 0.25;

/// Slot usage of one tier.
#[derive(Debug, Default)]
struct TierUsage {
    running: u32,
    mean_slots: f64,
    mean_cost_ms: f64,
    updated_at_ms: u64,
}

impl TierUsage {
    fn set_running(&mut self, now_ms: u64, running: u32) {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.mean_slots += (f64::from(self.running) - self.mean_slots)
            * (1.0 - (-age_ms / AVERAGING_WINDOW_MS).exp());
        self.updated_at_ms = now_ms;
        self.running = running;
    }
}

/// Slot usage by tier.
#[derive(Debug, Default)]
pub(super) struct SlotUsage {
    tiers: BTreeMap<u8, TierUsage>,
}

impl SlotUsage {
    /// Counts a request that was granted a slot.
    pub(super) fn add(&mut self, now_ms: u64, tier: u8, cost_ms: u64) {
        let tier = self.tiers.entry(tier).or_default();
        tier.set_running(now_ms, tier.running + 1);
        tier.mean_cost_ms += (cost_ms as f64 - tier.mean_cost_ms) / 8.0;
    }

    /// Counts a request that released its slot.
    pub(super) fn remove(&mut self, now_ms: u64, tier: u8) {
        let tier = self.tiers.entry(tier).or_default();
        tier.set_running(now_ms, tier.running.saturating_sub(1));
    }

    /// Returns the average number of slots used by all higher tiers.
    pub(super) fn mean_above(&self, tier: u8) -> f64 {
        self.tiers
            .range(..tier)
            .map(|(_, higher)| higher.mean_slots)
            .sum()
    }

    /// Returns the number of slots to leave free when a request of the tier is granted.
    ///
    /// This is the average usage by shorter requests of higher tiers plus one standard deviation, less their current
    /// usage. The deviation is the square root of the mean, as for independent (Poisson) arrivals.
    pub(super) fn headroom_slots(&self, tier: u8, cost_ms: u64, limit: u32) -> u32 {
        let mut mean_slots = 0.0;
        let mut running = 0;
        for higher in self.tiers.range(..tier).map(|(_, higher)| higher) {
            if higher.mean_cost_ms * LONG_COST_FACTOR <= cost_ms as f64 {
                mean_slots += higher.mean_slots;
                running += higher.running;
            }
        }
        let headroom = mean_slots + HEADROOM_DEVIATIONS * mean_slots.sqrt() - f64::from(running);
        headroom.clamp(0.0, f64::from(limit) * HEADROOM_SHARE_MAX) as u32
    }
}
