//! Chooses the endpoint for a request.
//!
//! Answers prompts that share parts, which are cheap only where these parts are kept; also in a burst, when each part that
//! is read again delays all requests that wait there. Long prompts beside interactive streams are kept apart by
//! [`lanes`].

use crate::Name;
use crate::forwarding::endpoints::Endpoint;
use crate::forwarding::endpoints::EndpointHealth;
use crate::forwarding::endpoints::EndpointKey;
use crate::forwarding::endpoints::Endpoints;
use crate::forwarding::endpoints::UrgencyLevel;
use crate::forwarding::lanes;
use crate::forwarding::lanes::Capacity;
use crate::forwarding::lanes::Homes;
use crate::forwarding::lanes::Lane;
use crate::forwarding::lanes::Lanes;
use crate::forwarding::lanes::ServiceDemand;
use crate::forwarding::prompt::Prompt;
use crate::hash::mix;

/// Costs and shares of the placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Delay that one running request adds to others, in milliseconds.
    pub run_cost_ms: f64,
    /// Delay that one request which waits for a slot or for memory adds to others, in milliseconds.
    pub queued_cost_ms: f64,
    /// Cost of an endpoint in another data centre, in milliseconds.
    pub remote_cost_ms: f64,
    /// Division of the engines into lanes.
    pub lanes: lanes::Config,
    /// Cost of an engine in a lane of shorter gap targets, in milliseconds.
    pub tighter_lane_cost_ms: f64,
    /// Cost of an engine in a lane of longer gap targets, in milliseconds for each lane between.
    pub looser_lane_cost_ms: f64,
    /// How much more a shared part costs that is read again although another engine keeps it.
    ///
    /// Reading it again takes time from all requests there and displaces parts that others use.
    pub reread_factor: f64,
    /// The same for the engine that comes second in the order of a part.
    pub second_home_factor: f64,
    /// The same for the engine that comes first in a lane of longer gap targets.
    pub looser_home_factor: f64,
    /// Shared prompts of fewer tokens are not worth a certain engine.
    pub shared_min_tokens: u64,
    /// Whether an engine that gets a prompt away from its home fetches the shared part from there.
    pub fetches_shared_parts: bool,
    /// Cost of a failure share of 1, in milliseconds.
    pub failure_cost_ms: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            read_tokens_per_ms: 45.0,
            run_cost_ms: 2.0,
            queued_cost_ms: 40.0,
            remote_cost_ms: 6.0,
            lanes: lanes::Config::default(),
            tighter_lane_cost_ms: 30_000.0,
            looser_lane_cost_ms: 300.0,
            reread_factor: 30.0,
            second_home_factor: 8.0,
            looser_home_factor: 3.0,
            shared_min_tokens: 1_024,
            fetches_shared_parts: true,
            failure_cost_ms: 400.0,
        }
    }
}

/// A request to place.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Service that runs it.
    pub service: &'a Name,
    /// Its prompt, for services with a model.
    pub prompt: Option<&'a Prompt>,
    /// Rank of its gap target among those of the service.
    pub lane: Lane,
    /// What callers ask of the service in each lane.
    pub demand: ServiceDemand,
    /// Whether engines can fetch shared parts from each other.
    pub can_fetch: bool,
    /// How urgent it is.
    pub level: UrgencyLevel,
    /// Whether it may run more than once, so that it can try an endpoint that failed lately.
    pub is_repeatable: bool,
    /// Data centre of the VM.
    pub data_centre: &'a Name,
    /// Endpoints that it was sent to already.
    pub tried: &'a [EndpointKey],
    /// A random number that breaks ties.
    pub draw: u64,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The endpoint that runs it.
    pub endpoint: EndpointKey,
    /// The engine from which that endpoint fetches the shared part of the prompt, instead of reading it again.
    pub source: Option<EndpointKey>,
}

/// Returns the endpoint with the least expected delay, or `None` if there is none to use.
///
/// Endpoints under suspicion are used only if no other is left.
pub fn choose(
    config: &Config,
    endpoints: &Endpoints,
    request: &Request<'_>,
    now_ms: u64,
) -> Option<Choice> {
    let lanes = request
        .prompt
        .map(|prompt| (LaneView::new(config, endpoints, request, prompt), prompt));
    let source = lanes
        .as_ref()
        .and_then(|(lanes, _)| lanes.find_source(config, endpoints, request, now_ms));
    let mut best: Option<((u8, f64), Choice)> = None;
    for (key, endpoint) in usable_candidates(endpoints, request.service, request.tried, now_ms) {
        let rank = reliability_rank(endpoint.health(now_ms), request);
        let mut cost_ms = placement_cost_ms(config, endpoints, endpoint, request, now_ms);
        let mut choice = Choice {
            endpoint: key,
            source: None,
        };
        if let Some((lanes, prompt)) = &lanes {
            let (part_cost_ms, fetches) = lanes.lane_cost_ms(config, endpoint, prompt);
            cost_ms += part_cost_ms;
            choice.source = source.filter(|_| fetches);
        }
        // A millionth of a millisecond decides between equals only.
        cost_ms += (mix(request.draw ^ endpoint.hash) % 1_000) as f64 * 1e-6;
        let score = (rank, cost_ms);
        if best.is_none_or(|(best, _)| score < best) {
            best = Some((score, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Returns whether any endpoint is left to choose.
pub fn can_choose(
    endpoints: &Endpoints,
    service: &Name,
    tried: &[EndpointKey],
    now_ms: u64,
) -> bool {
    let mut candidates = usable_candidates(endpoints, service, tried, now_ms);
    candidates.next().is_some()
}

/// Returns the time until the first of the endpoints that turned requests away for a time takes them again, in milliseconds;
/// `None` if there is no such endpoint or others take requests now.
pub fn next_opening_ms(endpoints: &Endpoints, service: &Name, now_ms: u64) -> Option<u64> {
    let mut opening_ms: Option<u64> = None;
    for (_, endpoint) in endpoints.of_service(service) {
        if endpoint.is_available(now_ms) {
            return None;
        }
        if !endpoint.is_usable() {
            continue;
        }
        let wait_ms = endpoint.paused_until_ms() - now_ms;
        opening_ms = Some(opening_ms.map_or(wait_ms, |known| known.min(wait_ms)));
    }
    opening_ms
}

fn usable_candidates<'a>(
    endpoints: &'a Endpoints,
    service: &Name,
    tried: &'a [EndpointKey],
    now_ms: u64,
) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> {
    let known = endpoints.of_service(service);
    known.filter(move |(key, endpoint)| endpoint.is_available(now_ms) && !tried.contains(key))
}

/// Returns the time until an endpoint has read the prompts that it reads before one of this level, in milliseconds.
pub fn backlog_ms(
    config: &Config,
    endpoints: &Endpoints,
    endpoint: &Endpoint,
    level: UrgencyLevel,
) -> f64 {
    let ahead = endpoints.total_demand(endpoint).unread_tokens_ahead(level);
    ahead as f64 / config.read_tokens_per_ms
}

/// Returns the order of trust; a request that may be repeated tries out an endpoint that failed a while ago.
fn reliability_rank(trust: EndpointHealth, request: &Request<'_>) -> u8 {
    match trust {
        EndpointHealth::Healthy => 1,
        EndpointHealth::Probation if request.is_repeatable && request.tried.is_empty() => 0,
        EndpointHealth::Probation => 2,
        EndpointHealth::Suspect => 3,
    }
}

fn placement_cost_ms(
    config: &Config,
    endpoints: &Endpoints,
    endpoint: &Endpoint,
    request: &Request<'_>,
    now_ms: u64,
) -> f64 {
    let demand = endpoints.total_demand(endpoint);
    let load = endpoint.fresh_load(now_ms);
    let mut runs = demand.runs;
    let mut slowness = 1.0;
    if let Some(load) = load {
        runs = runs.max(load.running + load.waiting);
        slowness = f64::from(load.slowness_percent.max(50)) / 100.0;
    }
    let slots = endpoint.entry.slots.max(1);
    let beyond_slots = (runs + 1).saturating_sub(slots);
    let mut cost_ms = f64::from(runs) * config.run_cost_ms;
    match request.prompt {
        Some(prompt) => {
            let kept = endpoint.prefix_cache.cached_tokens(prompt);
            let ahead = demand.unread_tokens_ahead(request.level);
            let unread = prompt.tokens.saturating_sub(kept) + ahead;
            cost_ms += unread as f64 / config.read_tokens_per_ms;
            // An engine whose memory is full makes requests wait although slots are free.
            let queued = load.map_or(0, |load| load.waiting).max(beyond_slots);
            let share_ahead = match demand.total_unread_tokens() {
                0 => 1.0,
                unread => ahead as f64 / unread as f64,
            };
            cost_ms += f64::from(queued) * share_ahead * config.queued_cost_ms;
            // The figure of slowness changes many times a second, so only a part of it will hold.
            cost_ms *= 1.0 + (slowness - 1.0) * 0.5;
        }
        None => {
            let service_ms = endpoint.first_byte_ms.max(1.0);
            cost_ms += service_ms * (slowness + f64::from(beyond_slots) / f64::from(slots));
        }
    }
    if endpoint.entry.data_centre != *request.data_centre {
        cost_ms += config.remote_cost_ms;
    }
    // Some failures are the requests' own; only what exceeds the usual share speaks against an endpoint.
    cost_ms + (endpoint.failure_rate - 0.2).max(0.0) * config.failure_cost_ms
}

/// What placing one request needs to know of the lanes of its service.
struct LaneView {
    lanes: Lanes,
    /// Lane of the request.
    own: usize,
    /// Homes of its shared part in each lane; empty if the part is not worth one.
    homes: Vec<Homes>,
    shared_tokens: u64,
}

impl LaneView {
    fn new(config: &Config, endpoints: &Endpoints, request: &Request<'_>, prompt: &Prompt) -> Self {
        let mut hashes = Vec::new();
        let mut slots = 0;
        for (_, endpoint) in endpoints.of_service(request.service) {
            if endpoint.is_usable() {
                hashes.push(endpoint.hash);
                slots += endpoint.entry.slots.max(1);
            }
        }
        let engine = Capacity {
            tokens_per_ms: config.read_tokens_per_ms,
            slots: f64::from(slots.max(1)) / hashes.len().max(1) as f64,
        };
        let lanes = Lanes::new(
            &config.lanes,
            hashes,
            request.lane.count,
            &request.demand,
            engine,
        );
        let shared_tokens = prompt.shared_tokens();
        let homes = match prompt.shared_part() {
            Some(part) if shared_tokens >= config.shared_min_tokens => lanes.homes(part.id),
            _ => Vec::new(),
        };
        Self {
            own: request.lane.index.min(lanes.last_lane()),
            lanes,
            homes,
            shared_tokens,
        }
    }

    /// Returns the engine that other engines of the lane can fetch the shared part from: its home, if that can be relied on.
    fn find_source(
        &self,
        config: &Config,
        endpoints: &Endpoints,
        request: &Request<'_>,
        now_ms: u64,
    ) -> Option<EndpointKey> {
        let home = self.homes.get(self.own)?.first?;
        let (key, endpoint) = endpoints
            .of_service(request.service)
            .find(|(_, endpoint)| endpoint.hash == home)?;
        let is_reliable =
            endpoint.is_usable() && endpoint.health(now_ms) == EndpointHealth::Healthy;
        (config.fetches_shared_parts && request.can_fetch && is_reliable).then_some(key)
    }

    /// Returns what the lane and the shared part add to the cost of an endpoint, and whether it is to fetch that part.
    fn lane_cost_ms(&self, config: &Config, endpoint: &Endpoint, prompt: &Prompt) -> (f64, bool) {
        let lane = self.lanes.lane(endpoint.hash);
        let mut cost_ms = 0.0;
        if lane < self.own {
            cost_ms += config.tighter_lane_cost_ms;
        }
        cost_ms += lane.saturating_sub(self.own) as f64 * config.looser_lane_cost_ms;
        let Some(homes) = self.homes.get(lane) else {
            return (cost_ms, false);
        };
        let kept = endpoint.prefix_cache.cached_tokens(prompt);
        let unread = self.shared_tokens.saturating_sub(kept);
        let unread_ms = unread as f64 / config.read_tokens_per_ms;
        // All VMs rank the engines of a lane alike for this part. The first one probably keeps it; the second one does
        // if the first was overloaded, and the first one of another lane if all of the own lane were.
        let hash = Some(endpoint.hash);
        let is_home = hash == homes.first && lane == self.own;
        let factor = if is_home {
            0.0
        } else if hash == homes.first {
            config.looser_home_factor
        } else if hash == homes.second && lane == self.own {
            config.second_home_factor
        } else {
            config.reread_factor
        };
        let fetches = !is_home && unread > 0;
        (cost_ms + unread_ms * (factor - 1.0), fetches)
    }
}
