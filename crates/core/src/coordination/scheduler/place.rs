//! Choice of the endpoint for a request.

use std::collections::HashMap;

use slotmap::SlotMap;

use super::SlotRequest;
use super::endpoint::Endpoint;
use super::endpoint::EndpointKey;
use crate::Name;

/// Load above the average at which a cached prompt prefix no longer attracts requests.
const PREFIX_LOAD_MAX: f64 = 1.25;

/// Endpoints that most recently served each prompt prefix; it forgets the older half when it is full.
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

/// Returns whether the endpoint may take one more ordinary request.
pub(super) fn has_slot(endpoint: &Endpoint, now_ms: u64) -> bool {
    endpoint.is_serving() && endpoint.running < endpoint.current_limit(now_ms)
}

/// What counts when an endpoint is chosen.
#[derive(Debug)]
pub(super) struct Wish<'a> {
    pub(super) request: &'a SlotRequest,
    /// Endpoints already lost to the content, if it is suspected of crashing endpoints.
    pub(super) suspect_of: Option<&'a [Name]>,
}

/// Returns the endpoint for a request, or `None` if no suitable one has a free slot.
pub(super) fn choose(
    endpoints: &SlotMap<EndpointKey, Endpoint>,
    prefixes: &Prefixes,
    wish: &Wish<'_>,
    now_ms: u64,
) -> Option<EndpointKey> {
    let request = wish.request;
    let cached = prefixes.get(request.prefix_hash);
    let average = average_running(endpoints);
    let mut best: Option<(Rank, EndpointKey)> = None;
    for (key, endpoint) in endpoints {
        if !has_slot(endpoint, now_ms) || !is_allowed(endpoint, wish) {
            continue;
        }
        let load = f64::from(endpoint.running);
        // Below one request above the average the bound would forbid every reuse in an idle pool.
        let is_cached = cached == Some(key) && load <= (average * PREFIX_LOAD_MAX).max(1.0);
        let rank = Rank {
            is_remote: endpoint.spec.data_centre != request.data_centre,
            is_uncached: !is_cached,
            load: relative_load(endpoint, now_ms),
            granted_at: endpoint.granted_at,
        };
        if best.as_ref().is_none_or(|(least, _)| rank < *least) {
            best = Some((rank, key));
        }
    }
    best.map(|(_, key)| key)
}

/// Order of preference; the least is chosen.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_remote: bool,
    is_uncached: bool,
    load: u32,
    granted_at: u64,
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
pub(super) fn is_allowed(endpoint: &Endpoint, wish: &Wish<'_>) -> bool {
    if wish.request.excluded.contains(&endpoint.spec.name) {
        return false;
    }
    match wish.suspect_of {
        None => true,
        Some(lost) => endpoint.suspects == 0 && !lost.contains(&endpoint.spec.name),
    }
}

/// Returns an ejected endpoint that is due for a probe with this request.
pub(super) fn choose_probe(
    endpoints: &SlotMap<EndpointKey, Endpoint>,
    wish: &Wish<'_>,
    now_ms: u64,
) -> Option<EndpointKey> {
    if !wish.request.idempotent || wish.suspect_of.is_some() {
        return None;
    }
    for (key, endpoint) in endpoints {
        if endpoint.is_probe_due(now_ms) && is_allowed(endpoint, wish) {
            return Some(key);
        }
    }
    None
}
