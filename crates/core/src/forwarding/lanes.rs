//! Divides the engines of a service between streams with unlike gap targets.
//!
//! Answers three load patterns. Reading a long prompt delays the tokens of the streams beside it, so streams that bear only
//! short pauses get engines of their own. Callers of one kind suddenly ask for more than its share of the engines can read
//! or hold, for seconds or minutes, so a lane that is short of engines takes some from the others. Prompts that share long
//! parts are cheap only where these parts are kept, so engines that nobody needs serve as memory for them.

use std::collections::HashMap;
use std::ops::AddAssign;

use crate::Name;
use crate::forwarding::prompt::Prompt;
use crate::hash::mix;

/// Most lanes of a service.
pub const LANES_MAX: usize = 3;

/// Time over which a burst is averaged, in milliseconds: bursts last for seconds.
const BURST_MS: f64 = 3_000.0;

/// Time over which the usual demand is averaged, in milliseconds: each move of a lane makes shared parts be read again.
const USUAL_MS: f64 = 60_000.0;

/// Shares and limits of the division.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Shares of the engines for up to three lanes, the one of the shortest gap targets first: of all while nothing is known
    /// of the demand, later of what no lane needs beside memory.
    pub shares: [f64; LANES_MAX],
    /// Parts of their time that engines of each lane spend on reading in calm times.
    pub calm_reading_shares: [f64; LANES_MAX],
    /// Parts of their time that engines of each lane spend on reading in a burst.
    pub burst_reading_shares: [f64; LANES_MAX],
    /// Part of the slots of a lane's engines that are taken in a burst.
    pub burst_slot_share: f64,
    /// Part of the engines that no lane needs which goes by the shared tokens asked for; the rest goes by the shares.
    pub memory_share: f64,
    /// Part of its share that a lane keeps however much the others need.
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

/// What callers ask of a service, by lane.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Prompt tokens that arrive now, without shared parts, in tokens per millisecond.
    pub burst_tokens_per_ms: [f64; LANES_MAX],
    /// The same over minutes.
    pub usual_tokens_per_ms: [f64; LANES_MAX],
    /// Tokens of shared parts that arrive over minutes, in tokens per millisecond.
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

/// A rate that is averaged over a time, also while less than that time has passed.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    /// Sum of what arrived, of which each part fades with its age.
    faded: f64,
    /// Milliseconds over which it arrived, faded alike.
    faded_ms: f64,
    /// Time of the newest addition, in milliseconds.
    at_ms: Option<u64>,
}

impl Average {
    fn fade(self, over_ms: f64, now_ms: u64) -> Self {
        let age_ms = now_ms.saturating_sub(self.at_ms.unwrap_or(now_ms)) as f64;
        let left = (-age_ms / over_ms).exp();
        Self {
            faded: self.faded * left,
            faded_ms: self.faded_ms * left + over_ms * (1.0 - left),
            at_ms: Some(now_ms),
        }
    }

    fn add(&mut self, amount: f64, over_ms: f64, now_ms: u64) {
        *self = self.fade(over_ms, now_ms);
        self.faded += amount;
    }

    fn rate(self, over_ms: f64, now_ms: u64) -> f64 {
        let faded = self.fade(over_ms, now_ms);
        faded.faded / faded.faded_ms.max(RATE_MIN_MS)
    }
}

/// Shortest time for which a rate is stated, in milliseconds; a single request says little.
const RATE_MIN_MS: f64 = 500.0;

/// What arrives in one lane.
#[derive(Clone, Copy, Debug, Default)]
struct Meter {
    burst_tokens: Average,
    usual_tokens: Average,
    usual_shared_tokens: Average,
    streams: f64,
}

/// What callers ask of each service, here and at the other VMs; services go by the hashes of their names.
#[derive(Debug, Default)]
pub struct DemandTracker {
    own: HashMap<u64, [Meter; LANES_MAX]>,
    peers: HashMap<Name, Vec<(u64, ServiceDemand)>>,
}

impl DemandTracker {
    fn lane_mut(&mut self, service: u64, lane: Lane) -> &mut Meter {
        let meters = self.own.entry(service).or_default();
        &mut meters[lane.index.min(LANES_MAX - 1)]
    }

    /// Counts a request of a caller of this VM by the tokens of its prompt.
    pub fn add(&mut self, service: u64, lane: Lane, prompt: &Prompt, now_ms: u64) {
        let shared_tokens = prompt.shared_tokens();
        let own_tokens = prompt.tokens.saturating_sub(shared_tokens) as f64;
        let meter = self.lane_mut(service, lane);
        meter.burst_tokens.add(own_tokens, BURST_MS, now_ms);
        meter.usual_tokens.add(own_tokens, USUAL_MS, now_ms);
        let shared = &mut meter.usual_shared_tokens;
        shared.add(shared_tokens as f64, USUAL_MS, now_ms);
    }

    /// Counts a request in progress.
    pub fn begin(&mut self, service: u64, lane: Lane) {
        self.lane_mut(service, lane).streams += 1.0;
    }

    /// Ends the count of a request that [`DemandTracker::begin`] counted.
    pub fn end(&mut self, service: u64, lane: Lane) {
        self.lane_mut(service, lane).streams -= 1.0;
    }

    /// Replaces what another VM, or a summary, says of its callers.
    pub fn set_peer(&mut self, peer: Name, asked: Vec<(u64, ServiceDemand)>) {
        self.peers.insert(peer, asked);
    }

    /// Forgets a VM that is gone.
    pub fn drop_peer(&mut self, peer: &Name) {
        self.peers.remove(peer);
    }

    /// Returns what the callers of this VM ask.
    pub fn local_demands(&self, now_ms: u64) -> Vec<(u64, ServiceDemand)> {
        let meters = self.own.iter();
        meters
            .map(|(service, meters)| (*service, measure_demand(meters, now_ms)))
            .collect()
    }

    /// Returns what the callers of this VM and of some others ask together.
    pub fn combined_demands<'a>(
        &self,
        others: impl IntoIterator<Item = &'a Name>,
        now_ms: u64,
    ) -> Vec<(u64, ServiceDemand)> {
        let mut sums: HashMap<u64, ServiceDemand> =
            self.local_demands(now_ms).into_iter().collect();
        for (service, asked) in others
            .into_iter()
            .filter_map(|vm| self.peers.get(vm))
            .flatten()
        {
            *sums.entry(*service).or_default() += *asked;
        }
        sums.into_iter().collect()
    }

    /// Returns what the callers of all VMs ask of a service, as far as known.
    pub fn total_demand(&self, service: u64, now_ms: u64) -> ServiceDemand {
        let own = self.own.get(&service);
        let mut sum = own.map_or(ServiceDemand::default(), |meters| {
            measure_demand(meters, now_ms)
        });
        for (other, asked) in self.peers.values().flatten() {
            if *other == service {
                sum += *asked;
            }
        }
        sum
    }
}

fn measure_demand(meters: &[Meter; LANES_MAX], now_ms: u64) -> ServiceDemand {
    ServiceDemand {
        burst_tokens_per_ms: meters.map(|meter| meter.burst_tokens.rate(BURST_MS, now_ms)),
        usual_tokens_per_ms: meters.map(|meter| meter.usual_tokens.rate(USUAL_MS, now_ms)),
        usual_shared_tokens_per_ms: meters
            .map(|meter| meter.usual_shared_tokens.rate(USUAL_MS, now_ms)),
        streams: meters.map(|meter| meter.streams),
    }
}

/// The engines of each lane; VMs that know the same engines and the same demand divide them alike.
#[derive(Debug)]
pub struct Lanes {
    /// Hashes of the engines in ascending order.
    hashes: Vec<u64>,
    /// Index of the first engine after each lane.
    ends: Vec<usize>,
}

impl Lanes {
    /// Divides engines, given by the hashes of their ids.
    pub fn new(
        config: &Config,
        mut hashes: Vec<u64>,
        count: usize,
        asked: &ServiceDemand,
        engine: Capacity,
    ) -> Self {
        if hashes.is_empty() {
            let ends = vec![0];
            return Self { hashes, ends };
        }
        hashes.sort_unstable();
        let count = count.clamp(1, LANES_MAX);
        let count = if hashes.len() < count { 1 } else { count };
        let sizes = lane_sizes(config, hashes.len(), count, asked, engine);
        let mut ends = Vec::new();
        let mut sum = 0.0;
        for (index, size) in sizes.iter().enumerate() {
            sum += size;
            // Each lane has an engine at least.
            let end = (sum.round() as usize).max(ends.last().copied().unwrap_or(0) + 1);
            ends.push(end.min(hashes.len() - (count - 1 - index)));
        }
        Self { hashes, ends }
    }

    /// Returns the last lane, for ranks beyond the number of lanes.
    pub fn last_lane(&self) -> usize {
        self.ends.len() - 1
    }

    /// Returns the lane of an engine.
    pub fn lane(&self, hash: u64) -> usize {
        let index = self.hashes.partition_point(|other| *other < hash);
        self.ends.iter().position(|end| index < *end).unwrap_or(0)
    }

    /// Returns the homes of a part in each lane.
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

/// The engines that come first and second in the rendezvous order of a part, by the hashes of their ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    /// The first engine.
    pub first: Option<u64>,
    /// The second engine.
    pub second: Option<u64>,
}

impl Homes {
    fn new(hashes: &[u64], part: u64) -> Self {
        let mut first: Option<(u64, u64)> = None;
        let mut second = None;
        for hash in hashes {
            let scored = Some((mix(hash ^ part), *hash));
            if scored > first {
                second = first;
                first = scored;
            } else if scored > second {
                second = scored;
            }
        }
        Self {
            first: first.map(|(_, hash)| hash),
            second: second.map(|(_, hash)| hash),
        }
    }
}

/// What one engine can do.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Prompt tokens that it reads in a millisecond.
    pub tokens_per_ms: f64,
    /// Requests that it works on at once.
    pub slots: f64,
}

/// Returns the engines that each lane needs for the present burst, not rounded.
fn burst_needs(config: &Config, count: usize, asked: &ServiceDemand, engine: Capacity) -> Vec<f64> {
    let slots = engine.slots * config.burst_slot_share;
    let mut needs = Vec::new();
    for lane in 0..count {
        let tokens_per_ms = engine.tokens_per_ms * config.burst_reading_shares[lane];
        let reading = asked.burst_tokens_per_ms[lane] / tokens_per_ms;
        needs.push(reading.max(asked.streams[lane] / slots));
    }
    needs
}

/// Returns the engines of each lane for the usual demand, not rounded.
fn calm_sizes(
    config: &Config,
    engines: f64,
    count: usize,
    asked: &ServiceDemand,
    engine: Capacity,
) -> Vec<f64> {
    let mut needs = Vec::new();
    for lane in 0..count {
        let tokens_per_ms = engine.tokens_per_ms * config.calm_reading_shares[lane];
        needs.push(asked.usual_tokens_per_ms[lane] / tokens_per_ms);
    }
    let needed: f64 = needs.iter().sum();
    if needed == 0.0 {
        return split_proportionally(engines, &config.shares[..count]);
    }
    if needed > engines {
        return split_proportionally(engines, &needs);
    }
    // Engines that nobody needs are room for what comes, by the usual shares, and memory for shared parts.
    let memory = (engines - needed) * config.memory_share;
    let room = split_proportionally(engines - needed - memory, &config.shares[..count]);
    let memory = split_proportionally(memory, &asked.usual_shared_tokens_per_ms[..count]);
    let mut sizes = Vec::new();
    for ((need, room), memory) in needs.iter().zip(room).zip(memory) {
        sizes.push(need + room + memory);
    }
    sizes
}

/// Returns the number of engines of each lane, not rounded.
///
/// Lanes move only while one is short of what a burst needs: each move makes shared parts be read again.
fn lane_sizes(
    config: &Config,
    engines: usize,
    count: usize,
    asked: &ServiceDemand,
    engine: Capacity,
) -> Vec<f64> {
    let engines = engines as f64;
    let calm = calm_sizes(config, engines, count, asked, engine);
    let needs = burst_needs(config, count, asked, engine);
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

/// Returns the number of engines of each lane if there are fewer than a burst needs.
///
/// The lanes of the shortest gap targets come first: their streams suffer most beside those of others. Each later one
/// keeps a part of its share.
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

/// Splits a number of engines in proportion to weights; evenly if there are none.
fn split_proportionally(engines: f64, weights: &[f64]) -> Vec<f64> {
    let sum: f64 = weights.iter().sum();
    if sum <= 0.0 {
        return vec![engines / weights.len() as f64; weights.len()];
    }
    let parts = weights.iter().map(|weight| engines * weight / sum);
    parts.collect()
}
