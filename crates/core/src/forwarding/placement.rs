//! Chooses the endpoint for a request.
//!
//! A prompt that shares parts with others is cheap only on an engine that has these parts in its prefix cache, and in a
//! burst each repeated prefill delays all requests that wait on that engine. Placement therefore weighs cache affinity
//! against load. [`lanes`] separates long prompts from interactive streams.

use crate::Name;
use crate::forwarding::endpoints::Endpoint;
use crate::forwarding::endpoints::EndpointHealth;
use crate::forwarding::endpoints::EndpointKey;
use crate::forwarding::endpoints::Endpoints;
use crate::forwarding::endpoints::UrgencyLevel;
use crate::forwarding::endpoints::limits::RateLimit;
use crate::forwarding::lanes;
use crate::forwarding::lanes::Capacity;
use crate::forwarding::lanes::Homes;
use crate::forwarding::lanes::Lane;
use crate::forwarding::lanes::Lanes;
use crate::forwarding::lanes::ServiceDemand;
use crate::forwarding::prompt::Prompt;
use crate::forwarding::stream_origins::SoftwareKey;
use crate::hash::mix;

/// Parameters of the placement cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Prefill rate of an engine, in tokens per millisecond.
    pub read_tokens_per_ms: f64,
    /// Cost of each running request, in milliseconds.
    pub run_cost_ms: f64,
    /// Cost of each request that waits for a slot or for memory, in milliseconds.
    pub queued_cost_ms: f64,
    /// Cost of an endpoint in another data centre, in milliseconds.
    pub remote_cost_ms: f64,
    /// Partition of the engines into lanes.
    pub lanes: lanes::Config,
    /// Cost of an engine in a lane with a shorter gap target, in milliseconds.
    pub tighter_lane_cost_ms: f64,
    /// Cost of an engine in a lane with a longer gap target, in milliseconds per lane of distance.
    pub looser_lane_cost_ms: f64,
    /// Multiplier of the prefill time of a shared part on an engine that is not one of its homes.
    ///
    /// Repeating the prefill delays all requests on that engine and evicts other parts from its cache.
    pub reread_factor: f64,
    /// Multiplier for the second home of a part in the request's lane.
    pub second_home_factor: f64,
    /// Multiplier for the first home of a part in another lane.
    pub looser_home_factor: f64,
    /// Minimum number of shared tokens for which home engines are used.
    pub shared_min_tokens: u64,
    /// Whether an engine that is not the home of a shared part fetches it from the home.
    pub fetches_shared_parts: bool,
    /// Cost per unit of failure rate above the usual rate, in milliseconds.
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
    /// Rank of its route's gap target among those of the service.
    pub lane: Lane,
    /// Demand for the service in each lane.
    pub demand: ServiceDemand,
    /// Whether engines can fetch shared parts from each other.
    pub can_fetch: bool,
    /// How urgent it is.
    pub level: UrgencyLevel,
    /// Whether it may run more than once, so that it can probe an endpoint that failed recently.
    pub is_repeatable: bool,
    /// Data centre of the VM.
    pub data_centre: &'a Name,
    /// The only software version that may run it, if it goes on with a stream.
    pub software: Option<SoftwareKey>,
    /// Endpoints that it was already sent to.
    pub tried: &'a [EndpointKey],
    /// Whether endpoints with a rate limit are left out.
    pub avoids_limited: bool,
    /// Whether it may crash its endpoint, so that the one with the fewest runs is chosen.
    pub is_trial: bool,
    /// A random number that breaks ties.
    pub draw: u64,
}

/// The endpoint chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The endpoint that runs it.
    pub endpoint: EndpointKey,
    /// The engine from which that endpoint fetches the shared part of the prompt instead of repeating its prefill.
    pub source: Option<EndpointKey>,
}

/// Returns the endpoint with the lowest cost, or `None` if none is available and untried.
///
/// Suspect endpoints are chosen only if no other is left.
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
    for (key, endpoint) in endpoints.of_service(request.service) {
        if !endpoint.is_available(request.level, now_ms) || request.tried.contains(&key) {
            continue;
        }
        if request
            .software
            .is_some_and(|software| software != endpoint.software)
        {
            continue;
        }
        if request.avoids_limited && endpoint.limit() != RateLimit::Unlimited {
            continue;
        }
        let rank = health_rank(endpoint.health(now_ms), request);
        let mut cost_ms = match request.is_trial {
            true => f64::from(endpoints.total_demand(endpoint).runs),
            false => placement_cost_ms(config, endpoints, endpoint, request, now_ms),
        };
        let mut choice = Choice {
            endpoint: key,
            source: None,
        };
        if let Some((lanes, prompt)) = lanes.as_ref().filter(|_| !request.is_trial) {
            let (part_cost_ms, fetches) = lanes.lane_cost_ms(config, endpoint, prompt);
            cost_ms += part_cost_ms;
            choice.source = source.filter(|_| fetches);
        }
        // Breaks ties at random; the term is below a microsecond.
        cost_ms += (mix(request.draw ^ endpoint.hash) % 1_000) as f64 * 1e-6;
        let score = (rank, cost_ms);
        if best.is_none_or(|(best, _)| score < best) {
            best = Some((score, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// When an endpoint of a service is available again, and why none is now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opening {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Time until then, in milliseconds.
    pub wait_ms: u64,
    /// Whether a rate limit is the reason; otherwise it is a pause.
    pub is_limited: bool,
}

/// Returns when the first endpoint is available again for a request of this level; `None` if an endpoint is available
/// now or none is usable.
pub fn next_opening(
    endpoints: &Endpoints,
    service: &Name,
    level: UrgencyLevel,
    now_ms: u64,
) -> Option<Opening> {
    let mut next: Option<Opening> = None;
    for (key, endpoint) in endpoints.of_service(service) {
        if endpoint.is_available(level, now_ms) {
            return None;
        }
        if !endpoint.is_usable() {
            continue;
        }
        let (paused_until_ms, denied_until_ms) =
            (endpoint.paused_until_ms(), endpoint.denied_until_ms(level));
        let opening = Opening {
            endpoint: key,
            wait_ms: paused_until_ms.max(denied_until_ms) - now_ms,
            is_limited: denied_until_ms > paused_until_ms,
        };
        if next.is_none_or(|known| opening.wait_ms < known.wait_ms) {
            next = Some(opening);
        }
    }
    next
}

/// Returns the time that an endpoint needs to prefill the prompts ahead of a new one of this level, in milliseconds.
pub fn backlog_ms(
    config: &Config,
    endpoints: &Endpoints,
    endpoint: &Endpoint,
    level: UrgencyLevel,
) -> f64 {
    let ahead = endpoints.total_demand(endpoint).unread_tokens_ahead(level);
    ahead as f64 / config.read_tokens_per_ms
}

/// Returns the sort rank of an endpoint's health; the first attempt of a repeatable request prefers an endpoint on
/// probation, to probe it.
fn health_rank(health: EndpointHealth, request: &Request<'_>) -> u8 {
    match health {
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
            let cached = endpoint.prefix_cache.cached_tokens(prompt);
            let ahead = demand.unread_tokens_ahead(request.level);
            let unread = prompt.tokens.saturating_sub(cached) + ahead;
            cost_ms += unread as f64 / config.read_tokens_per_ms;
            // An engine with a full memory queues requests even while slots are free.
            let queued = load.map_or(0, |load| load.waiting).max(beyond_slots);
            let share_ahead = match demand.total_unread_tokens() {
                0 => 1.0,
                unread => ahead as f64 / unread as f64,
            };
            cost_ms += f64::from(queued) * share_ahead * config.queued_cost_ms;
            // The reported slowness changes many times a second, so it is weighted by half.
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
    // Some failures are caused by the requests themselves, so only a failure rate above the usual one adds cost.
    cost_ms + (endpoint.failure_rate - 0.2).max(0.0) * config.failure_cost_ms
}

/// The lanes of a service and the homes of one request's shared part.
struct LaneView {
    lanes: Lanes,
    /// Lane of the request.
    request_lane: usize,
    /// Homes of its shared part in each lane; empty if the part is below the minimum size.
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
            request_lane: request.lane.index.min(lanes.last_lane()),
            lanes,
            homes,
            shared_tokens,
        }
    }

    /// Returns the first home of the shared part in the request's lane, from which other engines can fetch the part;
    /// `None` if fetching is disabled or the home is not healthy.
    fn find_source(
        &self,
        config: &Config,
        endpoints: &Endpoints,
        request: &Request<'_>,
        now_ms: u64,
    ) -> Option<EndpointKey> {
        let home = self.homes.get(self.request_lane)?.first?;
        let (key, endpoint) = endpoints
            .of_service(request.service)
            .find(|(_, endpoint)| endpoint.hash == home)?;
        let is_reliable =
            endpoint.is_usable() && endpoint.health(now_ms) == EndpointHealth::Healthy;
        (config.fetches_shared_parts && request.can_fetch && is_reliable).then_some(key)
    }

    /// Returns the cost that the lane and the shared part add for an endpoint, and whether it should fetch that part.
    fn lane_cost_ms(&self, config: &Config, endpoint: &Endpoint, prompt: &Prompt) -> (f64, bool) {
        let lane = self.lanes.lane(endpoint.hash);
        let mut cost_ms = 0.0;
        if lane < self.request_lane {
            cost_ms += config.tighter_lane_cost_ms;
        }
        cost_ms += lane.saturating_sub(self.request_lane) as f64 * config.looser_lane_cost_ms;
        let Some(homes) = self.homes.get(lane) else {
            return (cost_ms, false);
        };
        let cached = endpoint.prefix_cache.cached_tokens(prompt);
        let unread = self.shared_tokens.saturating_sub(cached);
        let unread_ms = unread as f64 / config.read_tokens_per_ms;
        // All VMs compute the same homes for a part. The first home probably has it cached; the second home has it if
        // the first was overloaded, and the first home of another lane has it if the request's lane was overloaded.
        let hash = Some(endpoint.hash);
        let is_home = hash == homes.first && lane == self.request_lane;
        let factor = if is_home {
            0.0
        } else if hash == homes.first {
            config.looser_home_factor
        } else if hash == homes.second && lane == self.request_lane {
            config.second_home_factor
        } else {
            config.reread_factor
        };
        let fetches = !is_home && unread > 0;
        (cost_ms + unread_ms * (factor - 1.0), fetches)
    }
}
