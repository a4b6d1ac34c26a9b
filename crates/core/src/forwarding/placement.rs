//! Chooses the endpoint for a request.
//!
//! Answers two load patterns: long prompts that would delay the tokens of short interactive streams, and prompts that
//! share parts, which are cheap only where these parts are kept.

use crate::Name;
use crate::forwarding::endpoints::Endpoint;
use crate::forwarding::endpoints::EndpointKey;
use crate::forwarding::endpoints::Endpoints;
use crate::forwarding::endpoints::Trust;
use crate::forwarding::endpoints::mix;
use crate::forwarding::prompt::Prompt;

/// Costs and shares of the placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Delay that one running request adds to others, in milliseconds.
    pub run_cost_ms: f64,
    /// Cost of an endpoint in another data centre, in milliseconds.
    pub remote_cost_ms: f64,
    /// Prompts of more tokens are kept away from the engines of interactive streams.
    pub long_prompt_tokens: u64,
    /// Share of the engines that interactive streams get.
    pub short_share: f64,
    /// Cost of an interactive engine for a long prompt, in milliseconds.
    pub long_prompt_cost_ms: f64,
    /// Cost of an engine with long prompts for an interactive stream, in milliseconds.
    pub short_prompt_cost_ms: f64,
    /// How much more a shared part costs that is read again although another engine keeps it.
    ///
    /// Reading it again takes time from all requests there and displaces parts that others use.
    pub reread_factor: f64,
    /// Cost of a failure share of 1, in milliseconds.
    pub failure_cost_ms: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            read_tokens_per_ms: 45.0,
            run_cost_ms: 2.0,
            remote_cost_ms: 6.0,
            long_prompt_tokens: 4_096,
            short_share: 0.34,
            long_prompt_cost_ms: 2_000.0,
            short_prompt_cost_ms: 300.0,
            reread_factor: 3.0,
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
    /// Whether it may run more than once, so that it can try an endpoint that failed lately.
    pub is_repeatable: bool,
    /// Data centre of the VM.
    pub data_centre: &'a Name,
    /// Endpoints that it was sent to already.
    pub tried: &'a [EndpointKey],
    /// A random number that breaks ties.
    pub draw: u64,
}

/// Returns the endpoint with the least expected delay, or `None` if there is none to use.
///
/// Endpoints under suspicion are used only if no other is left.
pub fn choose(
    config: &Config,
    endpoints: &Endpoints,
    request: &Request<'_>,
    now_ms: u64,
) -> Option<EndpointKey> {
    let lanes = request
        .prompt
        .map(|_| Lanes::new(config, endpoints, request.service));
    let mut best: Option<((u8, f64), EndpointKey)> = None;
    for (key, endpoint) in endpoints.of_service(request.service) {
        if !endpoint.is_usable() || request.tried.contains(&key) {
            continue;
        }
        let rank = to_rank(endpoint.to_trust(now_ms), request);
        let mut cost_ms = to_cost_ms(config, endpoints, endpoint, request, now_ms);
        if let (Some(lanes), Some(prompt)) = (&lanes, request.prompt) {
            cost_ms += lanes.to_cost_ms(config, endpoint, prompt);
        }
        // A millionth of a millisecond decides between equals only.
        cost_ms += (mix(request.draw ^ endpoint.hash) % 1_000) as f64 * 1e-6;
        let score = (rank, cost_ms);
        if best.is_none_or(|(best, _)| score < best) {
            best = Some((score, key));
        }
    }
    best.map(|(_, key)| key)
}

/// Returns the order of trust; a request that may be repeated tries out an endpoint that failed a while ago.
fn to_rank(trust: Trust, request: &Request<'_>) -> u8 {
    match trust {
        Trust::Full => 1,
        Trust::Trial if request.is_repeatable && request.tried.is_empty() => 0,
        Trust::Trial => 2,
        Trust::Suspect => 3,
    }
}

fn to_cost_ms(
    config: &Config,
    endpoints: &Endpoints,
    endpoint: &Endpoint,
    request: &Request<'_>,
    now_ms: u64,
) -> f64 {
    let demand = endpoints.to_demand(endpoint);
    let load = endpoint.to_load(now_ms);
    let mut runs = demand.runs;
    let mut slowness = 1.0;
    if let Some(load) = load {
        runs = runs.max(load.running + load.waiting);
        slowness = f64::from(load.slowness_percent.max(50)) / 100.0;
    }
    let mut cost_ms = f64::from(runs) * config.run_cost_ms;
    match request.prompt {
        Some(prompt) => {
            let kept = endpoint.kept.to_kept_tokens(prompt);
            let unread = prompt.tokens.saturating_sub(kept) + demand.unread_tokens;
            cost_ms += unread as f64 / config.read_tokens_per_ms;
            // The figure of slowness changes many times a second, so only a part of it will hold.
            cost_ms *= 1.0 + (slowness - 1.0) * 0.5;
        }
        None => {
            let slots = endpoint.entry.slots.max(1);
            let queued = (runs + 1).saturating_sub(slots);
            let service_ms = endpoint.first_byte_ms.max(1.0);
            cost_ms += service_ms * (slowness + f64::from(queued) / f64::from(slots));
        }
    }
    if endpoint.entry.data_centre != *request.data_centre {
        cost_ms += config.remote_cost_ms;
    }
    // Some failures are the requests' own; only what exceeds the usual share speaks against an endpoint.
    cost_ms + (endpoint.failure_share - 0.2).max(0.0) * config.failure_cost_ms
}

/// The division of a service's engines between interactive streams and long prompts.
///
/// It follows from the ids alone, so all VMs that know the same engines divide them alike.
struct Lanes {
    first_long_hash: Option<u64>,
    preferred: Vec<u64>,
}

impl Lanes {
    fn new(config: &Config, endpoints: &Endpoints, service: &Name) -> Self {
        let mut hashes = Vec::new();
        for (_, endpoint) in endpoints.of_service(service) {
            if endpoint.is_usable() {
                hashes.push(endpoint.hash);
            }
        }
        hashes.sort_unstable();
        let short = (hashes.len() as f64 * config.short_share).round() as usize;
        if short == 0 || short >= hashes.len() {
            return Self {
                first_long_hash: None,
                preferred: hashes,
            };
        }
        Self {
            first_long_hash: Some(hashes[short]),
            preferred: hashes[short..].to_vec(),
        }
    }

    fn to_cost_ms(&self, config: &Config, endpoint: &Endpoint, prompt: &Prompt) -> f64 {
        let is_long = prompt.tokens > config.long_prompt_tokens;
        let mut cost_ms = 0.0;
        if let Some(first) = self.first_long_hash {
            cost_ms += match (is_long, endpoint.hash >= first) {
                (true, false) => config.long_prompt_cost_ms,
                (false, true) => config.short_prompt_cost_ms,
                _ => 0.0,
            };
        }
        if !is_long {
            return cost_ms;
        }
        let Some(shared) = prompt.to_shared_part() else {
            return cost_ms;
        };
        let shared_tokens = prompt.to_shared_tokens();
        let unread = shared_tokens.saturating_sub(endpoint.kept.to_kept_tokens(prompt));
        let unread_ms = unread as f64 / config.read_tokens_per_ms;
        // All VMs send prompts with this part to the same engine, so it probably keeps the part.
        let home = self
            .preferred
            .iter()
            .max_by_key(|hash| mix(**hash ^ mix(shared.id)));
        match home == Some(&endpoint.hash) {
            true => cost_ms - unread_ms,
            false => cost_ms + unread_ms * (config.reread_factor - 1.0),
        }
    }
}
