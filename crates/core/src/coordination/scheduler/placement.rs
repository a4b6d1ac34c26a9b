//! Placement: the choice of an endpoint for a request.

use std::collections::HashMap;

use slotmap::SlotMap;

use super::SlotRequest;
use super::endpoint::Endpoint;
use super::endpoint::EndpointKey;
use crate::Name;

/// Load relative to the average above which the endpoint with the cached prompt prefix is no longer preferred.
const PREFIX_LOAD_FACTOR_MAX: f64 = 1.25;

/// Endpoint that last served each prompt prefix; the older half is dropped when the map is full.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    recent: HashMap<u64, EndpointKey>,
    older: HashMap<u64, EndpointKey>,
}

impl Prefixes {
    pub(super) fn insert(&mut self, prefix: u64, endpoint: EndpointKey, max: usize) {
        if prefix == 0 {
            return;
        }
        if self.recent.len() >= max.div_ceil(2) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(prefix, endpoint);
    }

    fn get(&self, prefix: u64) -> Option<EndpointKey> {
        let known = self.recent.get(&prefix);
        known.or_else(|| self.older.get(&prefix)).copied()
    }
}

/// Returns whether the endpoint is in service and has a free slot.
pub(super) fn has_slot(endpoint: &Endpoint, now_ms: u64) -> bool {
    endpoint.is_serving() && endpoint.running < endpoint.current_limit(now_ms)
}

/// A request to place, and the endpoints that it must avoid.
#[derive(Debug)]
pub(super) struct PlacementConstraints<'a> {
    pub(super) request: &'a SlotRequest,
    /// Endpoints lost while they ran the content, if it is suspected of crashing endpoints.
    pub(super) lost_endpoints: Option<&'a [Name]>,
}

/// Returns the endpoint for a request, or `None` if no suitable one has a free slot.
pub(super) fn choose(
    endpoints: &SlotMap<EndpointKey, Endpoint>,
    prefixes: &Prefixes,
    constraints: &PlacementConstraints<'_>,
    now_ms: u64,
) -> Option<EndpointKey> {
    let request = constraints.request;
    let cached = prefixes.get(request.prefix_hash);
    let average = average_running(endpoints);
    let mut best: Option<(Rank, EndpointKey)> = None;
    for (key, endpoint) in endpoints {
        if !has_slot(endpoint, now_ms) || !is_allowed(endpoint, constraints) {
            continue;
        }
        let load = f64::from(endpoint.running);
        // With a bound below one running request, a nearly idle pool would hardly ever reuse a cached prefix.
        let is_cached = cached == Some(key) && load <= (average * PREFIX_LOAD_FACTOR_MAX).max(1.0);
        let rank = Rank {
            is_remote: endpoint.spec.data_centre != request.data_centre,
            is_uncached: !is_cached,
            load: relative_load(endpoint, now_ms),
            last_grant: endpoint.last_grant,
        };
        if best.as_ref().is_none_or(|(least, _)| rank < *least) {
            best = Some((rank, key));
        }
    }
    best.map(|(_, key)| key)
}

/// Order of preference; the endpoint with the least rank is chosen.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_remote: bool,
    is_uncached: bool,
    load: u32,
    last_grant: u64,
}

/// Returns the share of the limit in use, in thousandths.
fn relative_load(endpoint: &Endpoint, now_ms: u64) -> u32 {
    endpoint.running.saturating_mul(1_000) / endpoint.current_limit(now_ms).max(1)
}

fn average_running(endpoints: &SlotMap<EndpointKey, Endpoint>) -> f64 {
    let mut running = 0;
    let mut serving = 0;
    for endpoint in endpoints.values().filter(|endpoint| endpoint.is_serving()) {
        running += endpoint.running;
        serving += 1;
    }
    f64::from(running) / f64::from(serving.max(1))
}

/// Returns whether the endpoint is suitable for the request, whatever its load.
pub(super) fn is_allowed(endpoint: &Endpoint, constraints: &PlacementConstraints<'_>) -> bool {
    if constraints.request.excluded.contains(&endpoint.spec.name) {
        return false;
    }
    match constraints.lost_endpoints {
        None => true,
        Some(lost) => endpoint.running_suspects == 0 && !lost.contains(&endpoint.spec.name),
    }
}

/// Returns an ejected endpoint that is due for a probe with this request.
pub(super) fn choose_probe(
    endpoints: &SlotMap<EndpointKey, Endpoint>,
    constraints: &PlacementConstraints<'_>,
    now_ms: u64,
) -> Option<EndpointKey> {
    if !constraints.request.idempotent || constraints.lost_endpoints.is_some() {
        return None;
    }
    for (key, endpoint) in endpoints {
        if endpoint.is_probe_due(now_ms) && is_allowed(endpoint, constraints) {
            return Some(key);
        }
    }
    None
}
