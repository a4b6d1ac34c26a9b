//! Divides the engines of a service between streams with unlike gap targets.
//!
//! Answers two load patterns. Reading a long prompt delays the tokens of the streams beside it, so streams that bear only
//! short pauses get engines of their own. Callers of one kind that ask for more than its share of the engines reads, so a
//! lane that is short of engines for long takes some from the others while these have more than they need.

use std::collections::HashMap;
use std::ops::AddAssign;

use crate::Name;
use crate::hash::mix;

/// Most lanes of a service.
pub const LANES_MAX: usize = 3;

/// Time over which the demand of a lane is averaged, in milliseconds.
///
/// Lanes follow what callers ask for minutes, not bursts of seconds: each move of a lane makes shared parts be read again,
/// and mixes long prompts with the streams that still run there.
const AVERAGE_MS: f64 = 60_000.0;

/// Shares and limits of the division.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Shares of the engines for up to three lanes, the one of the shortest gap targets first.
    pub shares: [f64; LANES_MAX],
    /// Parts of their time that engines of each lane may spend on reading before the lane takes more engines.
    pub reading_shares: [f64; LANES_MAX],
}

impl Default for Config {
    fn default() -> Self {
        Self {
            shares: [0.34, 0.14, 0.52],
            reading_shares: [0.25, 0.4, 0.6],
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

/// What callers ask of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Asked {
    /// Prompt tokens that arrive for each lane, in tokens per millisecond.
    pub tokens_per_ms: [f64; LANES_MAX],
}

impl Asked {
    fn scale(self, factor: f64) -> Self {
        Self {
            tokens_per_ms: self.tokens_per_ms.map(|value| value * factor),
        }
    }
}

impl AddAssign for Asked {
    fn add_assign(&mut self, other: Self) {
        for (sum, value) in self.tokens_per_ms.iter_mut().zip(other.tokens_per_ms) {
            *sum += value;
        }
    }
}

/// Averages that decay with time, so that a burst is forgotten.
#[derive(Clone, Copy, Debug, Default)]
struct Meter {
    asked: Asked,
    at_ms: u64,
}

impl Meter {
    fn to_asked(self, now_ms: u64) -> Asked {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.asked.scale((-age_ms / AVERAGE_MS).exp())
    }
}

/// What callers ask of each service, here and at the other VMs; services go by the hashes of their names.
#[derive(Debug, Default)]
pub struct ReadingDemand {
    own: HashMap<u64, Meter>,
    peers: HashMap<Name, Vec<(u64, Asked)>>,
}

impl ReadingDemand {
    /// Counts a request of a caller of this VM by the prompt tokens that it asks an engine to read.
    pub fn add(&mut self, service: u64, lane: Lane, tokens: u64, now_ms: u64) {
        let lane = lane.index.min(LANES_MAX - 1);
        let meter = self.own.entry(service).or_default();
        meter.asked = meter.to_asked(now_ms);
        meter.at_ms = now_ms;
        meter.asked.tokens_per_ms[lane] += tokens as f64 / AVERAGE_MS;
    }

    /// Replaces what another VM, or a summary, says of its callers.
    pub fn set_peer(&mut self, peer: Name, asked: Vec<(u64, Asked)>) {
        self.peers.insert(peer, asked);
    }

    /// Forgets a VM that is gone.
    pub fn drop_peer(&mut self, peer: &Name) {
        self.peers.remove(peer);
    }

    /// Returns what the callers of this VM ask.
    pub fn to_own(&self, now_ms: u64) -> Vec<(u64, Asked)> {
        let meters = self.own.iter();
        meters
            .map(|(service, meter)| (*service, meter.to_asked(now_ms)))
            .collect()
    }

    /// Returns what the callers of this VM and of some others ask together.
    pub fn to_sum<'a>(
        &self,
        others: impl IntoIterator<Item = &'a Name>,
        now_ms: u64,
    ) -> Vec<(u64, Asked)> {
        let mut sums: HashMap<u64, Asked> = self.to_own(now_ms).into_iter().collect();
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
    pub fn to_asked(&self, service: u64, now_ms: u64) -> Asked {
        let own = self.own.get(&service);
        let mut sum = own.map_or(Asked::default(), |meter| meter.to_asked(now_ms));
        for (other, asked) in self.peers.values().flatten() {
            if *other == service {
                sum += *asked;
            }
        }
        sum
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
    /// Divides engines, given by the hashes of their ids, of which each reads `tokens_per_ms`.
    pub fn new(
        config: &Config,
        mut hashes: Vec<u64>,
        count: usize,
        asked: &Asked,
        tokens_per_ms: f64,
    ) -> Self {
        if hashes.is_empty() {
            let ends = vec![0];
            return Self { hashes, ends };
        }
        hashes.sort_unstable();
        let count = count.clamp(1, LANES_MAX);
        let count = if hashes.len() < count { 1 } else { count };
        let sizes = to_sizes(config, hashes.len(), count, asked, tokens_per_ms);
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
    pub fn to_last(&self) -> usize {
        self.ends.len() - 1
    }

    /// Returns the lane of an engine.
    pub fn to_lane(&self, hash: u64) -> usize {
        let index = self.hashes.partition_point(|other| *other < hash);
        self.ends.iter().position(|end| index < *end).unwrap_or(0)
    }

    /// Returns the homes of a part in each lane.
    pub fn to_homes(&self, part_id: u64) -> Vec<Homes> {
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

/// Returns the number of engines of each lane, not rounded.
fn to_sizes(
    config: &Config,
    engines: usize,
    count: usize,
    asked: &Asked,
    tokens_per_ms: f64,
) -> Vec<f64> {
    let engines = engines as f64;
    let total: f64 = config.shares[..count].iter().sum();
    let mut sizes = Vec::new();
    for share in &config.shares[..count] {
        sizes.push(engines * share / total);
    }
    let mut needs = Vec::new();
    let rates = &asked.tokens_per_ms[..count];
    for (rate, reading_share) in rates.iter().zip(&config.reading_shares) {
        needs.push(rate / (tokens_per_ms * reading_share));
    }
    let needed: f64 = needs.iter().sum();
    if needed >= engines {
        return needs.iter().map(|need| need * engines / needed).collect();
    }
    let mut missing = 0.0;
    let mut spare = 0.0;
    for (size, need) in sizes.iter().zip(&needs) {
        missing += (need - size).max(0.0);
        spare += (size - need).max(0.0);
    }
    for (size, need) in sizes.iter_mut().zip(&needs) {
        if *size < *need {
            *size = *need;
        } else if spare > 0.0 {
            *size -= (*size - need) * missing / spare;
        }
    }
    sizes
}
