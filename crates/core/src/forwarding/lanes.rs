//! Partitions the engines of a service into lanes, one per gap target.
//!
//! The prefill of a long prompt delays the tokens of other streams on the same engine, so streams with short gap targets
//! get separate engines. When a burst of seconds or minutes exceeds the prefill rate or the slots of a lane, the lane
//! borrows engines from the others. Prompts that share a long prefix are cheap only on engines that have it cached, so
//! spare engines are assigned where they add prefix cache.

use std::collections::HashMap;
use std::ops::AddAssign;

use crate::Name;
use crate::forwarding::prompt::Prompt;
use crate::hash::mix;

/// Maximum number of lanes of a service.
pub const LANES_MAX: usize = 3;

/// Time constant of the average that detects bursts, in milliseconds; bursts last for seconds.
const BURST_WINDOW_MS: f64 = 3_000.0;

/// Time constant of the average of the usual demand, in milliseconds.
///
/// It is long because each change of the lanes makes engines prefill shared parts again.
const USUAL_WINDOW_MS: f64 = 60_000.0;

/// Parameters of the partition into lanes.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Shares of the engines by lane, the shortest gap target first. They divide all engines until there is demand, and
    /// then the spare engines that are not assigned as prefix cache.
    pub shares: [f64; LANES_MAX],
    /// Fractions of time that the engines of each lane may spend on prefill under usual demand.
    pub calm_reading_shares: [f64; LANES_MAX],
    /// Fractions of time that the engines of each lane may spend on prefill in a burst.
    pub burst_reading_shares: [f64; LANES_MAX],
    /// Target slot utilization of a lane's engines in a burst.
    pub burst_slot_share: f64,
    /// Fraction of the spare engines that is divided by demand for shared tokens; the rest is divided by `shares`.
    pub memory_share: f64,
    /// Fraction of its share that a lane keeps when there are too few engines for all lanes.
    pub kept_share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            shares: [0.34, 0.14, 0.52],
            calm_reading_shares: [0.12, 0.6, 0.6],
            burst_reading_shares: [0.8, 0.8, 0.8],
            burst_slot_share: 0.7,
            memory_share: 0.5,
            kept_share: 0.3,
        }
    }
}

/// Rank of a route's gap target among those of the routes to a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lane {
    /// Rank; 0 is the shortest target.
    pub index: usize,
    /// Number of ranks.
    pub count: usize,
}

/// Demand of callers for a service, by lane.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Arrival rate of unshared prompt tokens over the last seconds, in tokens per millisecond.
    pub burst_tokens_per_ms: [f64; LANES_MAX],
    /// Arrival rate of unshared prompt tokens over the last minutes, in tokens per millisecond.
    pub usual_tokens_per_ms: [f64; LANES_MAX],
    /// Arrival rate of shared prompt tokens over the last minutes, in tokens per millisecond.
    pub usual_shared_tokens_per_ms: [f64; LANES_MAX],
    /// Requests in progress.
    pub streams: [f64; LANES_MAX],
}

impl AddAssign for ServiceDemand {
    fn add_assign(&mut self, other: Self) {
        let sums = [
            (&mut self.burst_tokens_per_ms, other.burst_tokens_per_ms),
            (&mut self.usual_tokens_per_ms, other.usual_tokens_per_ms),
            (
                &mut self.usual_shared_tokens_per_ms,
                other.usual_shared_tokens_per_ms,
            ),
            (&mut self.streams, other.streams),
        ];
        for (sum, values) in sums {
            for (sum, value) in sum.iter_mut().zip(values) {
                *sum += value;
            }
        }
    }
}

/// An exponentially decaying average rate, corrected for the time before the first sample.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingRate {
    /// Sum of the amounts, decayed by age.
    decayed_sum: f64,
    /// Observed time, decayed in the same way, in milliseconds.
    decayed_ms: f64,
    /// Time of the last update, in milliseconds.
    at_ms: Option<u64>,
}

impl DecayingRate {
    fn decay(self, window_ms: f64, now_ms: u64) -> Self {
        let age_ms = now_ms.saturating_sub(self.at_ms.unwrap_or(now_ms)) as f64;
        let decay = (-age_ms / window_ms).exp();
        Self {
            decayed_sum: self.decayed_sum * decay,
            decayed_ms: self.decayed_ms * decay + window_ms * (1.0 - decay),
            at_ms: Some(now_ms),
        }
    }

    fn add(&mut self, amount: f64, window_ms: f64, now_ms: u64) {
        *self = self.decay(window_ms, now_ms);
        self.decayed_sum += amount;
    }

    fn rate(self, window_ms: f64, now_ms: u64) -> f64 {
        let average = self.decay(window_ms, now_ms);
        average.decayed_sum / average.decayed_ms.max(RATE_MIN_MS)
    }
}

/// Shortest time over which a rate is computed, in milliseconds, so that a single request does not count as a high rate.
const RATE_MIN_MS: f64 = 500.0;

/// Arrival rates and requests in progress of one lane.
#[derive(Clone, Copy, Debug, Default)]
struct LaneMeter {
    burst_tokens: DecayingRate,
    usual_tokens: DecayingRate,
    usual_shared_tokens: DecayingRate,
    streams: f64,
}

/// Demand for each service at this VM and at the other VMs, keyed by the hash of the service's name.
#[derive(Debug, Default)]
pub struct DemandTracker {
    local: HashMap<u64, [LaneMeter; LANES_MAX]>,
    peers: HashMap<Name, Vec<(u64, ServiceDemand)>>,
}

impl DemandTracker {
    fn lane_mut(&mut self, service: u64, lane: Lane) -> &mut LaneMeter {
        let meters = self.local.entry(service).or_default();
        &mut meters[lane.index.min(LANES_MAX - 1)]
    }

    /// Adds the prompt tokens of a request that a caller sent to this VM.
    pub fn add(&mut self, service: u64, lane: Lane, prompt: &Prompt, now_ms: u64) {
        let shared_tokens = prompt.shared_tokens();
        let unshared_tokens = prompt.tokens.saturating_sub(shared_tokens) as f64;
        let meter = self.lane_mut(service, lane);
        meter
            .burst_tokens
            .add(unshared_tokens, BURST_WINDOW_MS, now_ms);
        meter
            .usual_tokens
            .add(unshared_tokens, USUAL_WINDOW_MS, now_ms);
        let shared = &mut meter.usual_shared_tokens;
        shared.add(shared_tokens as f64, USUAL_WINDOW_MS, now_ms);
    }

    /// Counts a request in progress.
    pub fn begin(&mut self, service: u64, lane: Lane) {
        self.lane_mut(service, lane).streams += 1.0;
    }

    /// Ends a request that [`DemandTracker::begin`] counted.
    pub fn end(&mut self, service: u64, lane: Lane) {
        self.lane_mut(service, lane).streams -= 1.0;
    }

    /// Replaces the demand that another VM or a summary reports.
    pub fn set_peer(&mut self, peer: Name, demand: Vec<(u64, ServiceDemand)>) {
        self.peers.insert(peer, demand);
    }

    /// Removes the demand of a VM that is gone.
    pub fn drop_peer(&mut self, peer: &Name) {
        self.peers.remove(peer);
    }

    /// Returns the demand of the callers of this VM.
    pub fn local_demands(&self, now_ms: u64) -> Vec<(u64, ServiceDemand)> {
        let meters = self.local.iter();
        meters
            .map(|(service, meters)| (*service, measure_demand(meters, now_ms)))
            .collect()
    }

    /// Returns the total demand of the callers of this VM and of `others`.
    pub fn combined_demands<'a>(
        &self,
        others: impl IntoIterator<Item = &'a Name>,
        now_ms: u64,
    ) -> Vec<(u64, ServiceDemand)> {
        let mut sums: HashMap<u64, ServiceDemand> =
            self.local_demands(now_ms).into_iter().collect();
        for (service, demand) in others
            .into_iter()
            .filter_map(|vm| self.peers.get(vm))
            .flatten()
        {
            *sums.entry(*service).or_default() += *demand;
        }
        sums.into_iter().collect()
    }

    /// Returns the total demand for a service over all known VMs.
    pub fn total_demand(&self, service: u64, now_ms: u64) -> ServiceDemand {
        let local = self.local.get(&service);
        let mut sum = local.map_or(ServiceDemand::default(), |meters| {
            measure_demand(meters, now_ms)
        });
        for (other, demand) in self.peers.values().flatten() {
            if *other == service {
                sum += *demand;
            }
        }
        sum
    }
}

fn measure_demand(meters: &[LaneMeter; LANES_MAX], now_ms: u64) -> ServiceDemand {
    ServiceDemand {
        burst_tokens_per_ms: meters.map(|meter| meter.burst_tokens.rate(BURST_WINDOW_MS, now_ms)),
        usual_tokens_per_ms: meters.map(|meter| meter.usual_tokens.rate(USUAL_WINDOW_MS, now_ms)),
        usual_shared_tokens_per_ms: meters
            .map(|meter| meter.usual_shared_tokens.rate(USUAL_WINDOW_MS, now_ms)),
        streams: meters.map(|meter| meter.streams),
    }
}

/// The partition of a service's engines into lanes.
///
/// It is deterministic: VMs with the same engines and the same demand compute the same lanes.
#[derive(Debug)]
pub struct Lanes {
    /// Hashes of the engine ids in ascending order.
    hashes: Vec<u64>,
    /// End index of each lane in `hashes`, exclusive.
    ends: Vec<usize>,
}

impl Lanes {
    /// Partitions engines, given by the hashes of their ids, into at most `count` lanes.
    pub fn new(
        config: &Config,
        mut hashes: Vec<u64>,
        count: usize,
        demand: &ServiceDemand,
        engine: Capacity,
    ) -> Self {
        if hashes.is_empty() {
            let ends = vec![0];
            return Self { hashes, ends };
        }
        hashes.sort_unstable();
        let count = count.clamp(1, LANES_MAX);
        let count = if hashes.len() < count { 1 } else { count };
        let sizes = lane_sizes(config, hashes.len(), count, demand, engine);
        let mut ends = Vec::new();
        let mut sum = 0.0;
        for (index, size) in sizes.iter().enumerate() {
            sum += size;
            // Each lane has at least one engine.
            let end = (sum.round() as usize).max(ends.last().copied().unwrap_or(0) + 1);
            ends.push(end.min(hashes.len() - (count - 1 - index)));
        }
        Self { hashes, ends }
    }

    /// Returns the index of the last lane, which also serves ranks beyond the number of lanes.
    pub fn last_lane(&self) -> usize {
        self.ends.len() - 1
    }

    /// Returns the lane of an engine.
    pub fn lane(&self, hash: u64) -> usize {
        let index = self.hashes.partition_point(|other| *other < hash);
        self.ends.iter().position(|end| index < *end).unwrap_or(0)
    }

    /// Returns the home engines of a prompt part in each lane.
    pub fn homes(&self, part_id: u64) -> Vec<Homes> {
        let part = mix(part_id);
        let mut homes = Vec::new();
        let mut start = 0;
        for end in &self.ends {
            homes.push(Homes::new(&self.hashes[start..*end], part));
            start = *end;
        }
        homes
    }
}

/// The home engines of a prompt part: the top two in its rendezvous order, by the hashes of their ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    /// Engine with the highest score.
    pub first: Option<u64>,
    /// Engine with the second highest score.
    pub second: Option<u64>,
}

impl Homes {
    fn new(hashes: &[u64], part: u64) -> Self {
        let mut first: Option<(u64, u64)> = None;
        let mut second = None;
        for hash in hashes {
            let candidate = Some((mix(hash ^ part), *hash));
            if candidate > first {
                second = first;
                first = candidate;
            } else if candidate > second {
                second = candidate;
            }
        }
        Self {
            first: first.map(|(_, hash)| hash),
            second: second.map(|(_, hash)| hash),
        }
    }
}

/// Capacity of one engine.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Prefill rate, in tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Maximum number of concurrent requests.
    pub slots: f64,
}

/// Returns the number of engines that each lane needs for the current burst demand, not rounded.
fn burst_needs(
    config: &Config,
    count: usize,
    demand: &ServiceDemand,
    engine: Capacity,
) -> Vec<f64> {
    let slots = engine.slots * config.burst_slot_share;
    let mut needs = Vec::new();
    for lane in 0..count {
        let tokens_per_ms = engine.tokens_per_ms * config.burst_reading_shares[lane];
        let prefill = demand.burst_tokens_per_ms[lane] / tokens_per_ms;
        needs.push(prefill.max(demand.streams[lane] / slots));
    }
    needs
}

/// Returns the number of engines of each lane for the usual demand, not rounded.
fn calm_sizes(
    config: &Config,
    engines: f64,
    count: usize,
    demand: &ServiceDemand,
    engine: Capacity,
) -> Vec<f64> {
    let mut needs = Vec::new();
    for lane in 0..count {
        let tokens_per_ms = engine.tokens_per_ms * config.calm_reading_shares[lane];
        needs.push(demand.usual_tokens_per_ms[lane] / tokens_per_ms);
    }
    let needed: f64 = needs.iter().sum();
    if needed == 0.0 {
        return split_proportionally(engines, &config.shares[..count]);
    }
    if needed > engines {
        return split_proportionally(engines, &needs);
    }
    // The spare engines are divided into headroom, by the configured shares, and prefix cache, by the shared tokens.
    let cache = (engines - needed) * config.memory_share;
    let headroom = split_proportionally(engines - needed - cache, &config.shares[..count]);
    let cache = split_proportionally(cache, &demand.usual_shared_tokens_per_ms[..count]);
    let mut sizes = Vec::new();
    for ((need, headroom), cache) in needs.iter().zip(headroom).zip(cache) {
        sizes.push(need + headroom + cache);
    }
    sizes
}

/// Returns the number of engines of each lane, not rounded.
///
/// Lanes change from their usual sizes only while one has fewer engines than its burst demand needs, since each change
/// makes engines prefill shared parts again.
fn lane_sizes(
    config: &Config,
    engines: usize,
    count: usize,
    demand: &ServiceDemand,
    engine: Capacity,
) -> Vec<f64> {
    let engines = engines as f64;
    let calm = calm_sizes(config, engines, count, demand, engine);
    let needs = burst_needs(config, count, demand, engine);
    let needed: f64 = needs.iter().sum();
    if needed > engines {
        return overload_sizes(config, engines, &needs);
    }
    let lanes = calm.iter().zip(&needs);
    let spare: Vec<f64> = lanes.map(|(size, need)| (size - need).max(0.0)).collect();
    let kept = split_proportionally(engines - needed, &spare);
    needs
        .iter()
        .zip(kept)
        .map(|(need, kept)| need + kept)
        .collect()
}

/// Returns the number of engines of each lane when there are fewer than the burst demand needs, not rounded.
///
/// Lanes with shorter gap targets are served first, since their streams suffer most from sharing an engine with long
/// prompts. Each later lane keeps at least `kept_share` of its share.
fn overload_sizes(config: &Config, engines: f64, needs: &[f64]) -> Vec<f64> {
    let count = needs.len();
    let total: f64 = config.shares[..count].iter().sum();
    let mut sizes = Vec::new();
    let mut left = engines;
    for (lane, need) in needs.iter().enumerate().take(count - 1) {
        let later: f64 = config.shares[lane + 1..count].iter().sum();
        let kept = engines * later / total * config.kept_share;
        let size = need.min(left - kept);
        sizes.push(size);
        left -= size;
    }
    sizes.push(left);
    sizes
}

/// Splits a number of engines in proportion to weights, or evenly if all weights are 0.
fn split_proportionally(engines: f64, weights: &[f64]) -> Vec<f64> {
    let sum: f64 = weights.iter().sum();
    if sum <= 0.0 {
        return vec![engines / weights.len() as f64; weights.len()];
    }
    let parts = weights.iter().map(|weight| engines * weight / sum);
    parts.collect()
}
