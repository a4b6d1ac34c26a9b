//! Latency observations of endpoints, and the slot limits, ejections and readmissions that follow from them.

use std::collections::HashSet;

use super::Effect;
use super::Endpoint;
use super::EndpointKey;
use super::EndpointSpec;
use super::RequestState;
use super::RunKey;
use super::Scheduler;
use super::class::SAMPLES_MIN;
use super::endpoint::CONSECUTIVE_FAILURES_MAX;
use super::endpoint::Health;
use super::running::RunningRequest;
use crate::Name;
use crate::TicketId;

/// Time between checks of all requests and endpoints, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// Minimum wait for a first token before it can count as missing, in milliseconds.
const MISSING_FIRST_TOKEN_MIN_MS: u64 = 100;

/// Probe intervals without a suitable probe request after which an ejected endpoint is readmitted.
const UNPROBED_INTERVALS_MAX: u64 = 10;

impl Scheduler {
    /// Replaces the endpoints of the shard.
    pub(super) fn set_endpoints(&mut self, specs: Vec<EndpointSpec>) {
        let listed: HashSet<Name> = specs.iter().map(|spec| spec.name.clone()).collect();
        for spec in specs {
            match self.endpoint_keys.get(&spec.name) {
                Some(key) => self.endpoints[*key].update(spec),
                None => {
                    let name = spec.name.clone();
                    let key = self.endpoints.insert(Endpoint::new(spec, true));
                    self.endpoint_keys.insert(name, key);
                }
            }
        }
        for endpoint in self.endpoints.values_mut() {
            endpoint.is_listed = listed.contains(&endpoint.spec.name);
        }
        self.endpoints
            .retain(|_, endpoint| endpoint.is_listed || endpoint.running > 0);
        let endpoints = &self.endpoints;
        self.endpoint_keys
            .retain(|_, key| endpoints.contains_key(*key));
        self.readmit_surplus();
    }

    /// Runs the periodic checks: refusals, overdue requests, missing first tokens and readmissions.
    pub(super) fn tick(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        self.refuse_late(now_ms, effects);
        if now_ms < self.next_check_ms {
            return;
        }
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
        self.refuse_unplaceable(now_ms, effects);
        self.reclaim_overdue(now_ms);
        self.evidence.expire(now_ms);
        self.observe_missing_first_tokens(now_ms);
        self.readmit_unprobed(now_ms);
    }

    /// Applies a load report.
    pub(super) fn observe_load(&mut self, now_ms: u64, name: &Name, running: u32, waiting: u32) {
        if let Some(key) = self.endpoint_keys.get(name) {
            let least = self.config.slots_min;
            self.endpoints[*key].observe_load(now_ms, running, waiting, least);
        }
    }

    /// Records the time to the first token.
    pub(super) fn observe_first_token(&mut self, now_ms: u64, ticket: TicketId, elapsed_ms: u64) {
        let Some(key) = self.run_key(ticket) else {
            return;
        };
        let running = &mut self.running[key];
        running.first_token_ms = Some(elapsed_ms);
        running.tokens = running.tokens.max(1);
        let was_counted = std::mem::replace(&mut running.is_first_token_counted, true);
        let is_late = elapsed_ms > running.request.target_ms;
        let is_probe = running.is_probe;
        let endpoint_key = running.endpoint;
        let class = &mut self.classes[running.class];
        let latency_ratio = match class.first_token_ms.count() {
            0..SAMPLES_MIN => 1.0,
            _ => elapsed_ms as f32 / class.first_token_ms.quantile(0.5).max(1) as f32,
        };
        let endpoint = &mut self.endpoints[endpoint_key];
        if endpoint.health == Health::Serving {
            class.first_token_ms.add(elapsed_ms);
        }
        endpoint.observe_target(now_ms, is_late, &self.config);
        if is_probe {
            self.readmit_if_recovered(endpoint_key, latency_ratio);
        } else if !was_counted {
            self.observe_latency_ratio(now_ms, endpoint_key, latency_ratio);
        }
    }

    /// Records the time between tokens.
    pub(super) fn observe_progress(
        &mut self,
        now_ms: u64,
        ticket: TicketId,
        tokens: u32,
        gap_us: u64,
    ) {
        let Some(key) = self.run_key(ticket) else {
            return;
        };
        let running = &mut self.running[key];
        running.tokens = running.tokens.max(tokens);
        let endpoint_key = running.endpoint;
        let is_probe = running.is_probe;
        let latency_ratio = match self.gaps_us.count() {
            0..SAMPLES_MIN => 1.0,
            _ => gap_us as f32 / self.gaps_us.quantile(0.5).max(1) as f32,
        };
        let endpoint = &mut self.endpoints[endpoint_key];
        if endpoint.health == Health::Serving {
            self.gaps_us.add(gap_us);
        }
        let is_late = gap_us > self.config.gap_target_us;
        endpoint.observe_target(now_ms, is_late, &self.config);
        // A long probe request shows a recovery well before the next probe request could.
        if is_probe {
            self.readmit_if_recovered(endpoint_key, latency_ratio);
        }
        self.observe_latency_ratio(now_ms, endpoint_key, latency_ratio);
    }

    /// Records the duration of an answer for which no first token was reported.
    pub(super) fn observe_duration(&mut self, now_ms: u64, running: &RunningRequest) {
        let elapsed_ms = now_ms.saturating_sub(running.granted_ms);
        let class = &mut self.classes[running.class];
        let latency_ratio = match class.duration_ms.count() {
            0..SAMPLES_MIN => 1.0,
            _ => elapsed_ms as f32 / class.duration_ms.quantile(0.5).max(1) as f32,
        };
        let Some(endpoint) = self.endpoints.get_mut(running.endpoint) else {
            return;
        };
        if endpoint.health == Health::Serving {
            class.duration_ms.add(elapsed_ms);
        }
        let is_late = elapsed_ms > running.request.target_ms;
        endpoint.observe_target(now_ms, is_late, &self.config);
        if running.is_probe {
            self.readmit_if_recovered(running.endpoint, latency_ratio);
        } else if !running.is_first_token_counted {
            self.observe_latency_ratio(now_ms, running.endpoint, latency_ratio);
        }
    }

    /// Counts an attempt that failed because of the endpoint.
    pub(super) fn observe_failure(&mut self, now_ms: u64, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        endpoint.consecutive_failures += 1;
        if endpoint.consecutive_failures >= CONSECUTIVE_FAILURES_MAX {
            self.eject(now_ms, key);
        }
    }

    /// Counts first tokens that are long overdue as slow before they arrive.
    fn observe_missing_first_tokens(&mut self, now_ms: u64) {
        let mut missing = Vec::new();
        for (key, running) in &self.running {
            if running.is_first_token_counted {
                continue;
            }
            let class = &self.classes[running.class];
            let typical = match class.first_token_ms.count() {
                0..SAMPLES_MIN => &class.duration_ms,
                _ => &class.first_token_ms,
            };
            if typical.count() < SAMPLES_MIN {
                continue;
            }
            let typical_ms = typical.quantile(0.5).max(1) as f32;
            let elapsed_ms = now_ms.saturating_sub(running.granted_ms);
            if elapsed_ms >= MISSING_FIRST_TOKEN_MIN_MS
                && elapsed_ms as f32 >= typical_ms * self.config.slow_factor
            {
                missing.push((key, elapsed_ms as f32 / typical_ms));
            }
        }
        for (key, latency_ratio) in missing {
            let running = &mut self.running[key];
            running.is_first_token_counted = true;
            let endpoint = running.endpoint;
            self.observe_latency_ratio(now_ms, endpoint, latency_ratio);
        }
    }

    fn observe_latency_ratio(&mut self, now_ms: u64, key: EndpointKey, latency_ratio: f32) {
        let endpoint = &mut self.endpoints[key];
        endpoint.observe_latency_ratio(latency_ratio);
        let Some(median_ratio) = endpoint.median_latency_ratio() else {
            return;
        };
        if median_ratio < self.config.slow_factor || endpoint.health != Health::Serving {
            return;
        }
        let mut others = Vec::new();
        for (_, endpoint) in self.endpoints.iter().filter(|(other, _)| *other != key) {
            if endpoint.is_serving() {
                others.push(endpoint.recent_latency_ratio());
            }
        }
        others.sort_by(f32::total_cmp);
        let median = others.get(others.len() / 2).copied().unwrap_or(f32::MAX);
        // Older samples were relative to the pool's median at their time, so the recent ones must be slow too.
        let least = median_ratio.min(self.endpoints[key].recent_latency_ratio());
        if least >= self.config.slow_factor * median {
            self.eject(now_ms, key);
        }
    }

    fn eject(&mut self, now_ms: u64, key: EndpointKey) {
        if self.is_baseline() || self.endpoints[key].health != Health::Serving {
            return;
        }
        if self.ejected_endpoints().len() < self.ejected_max() {
            self.endpoints[key].eject(now_ms, &self.config);
            self.counters.ejections += 1;
        }
    }

    /// Returns the ejected endpoints, the longest ejected first.
    fn ejected_endpoints(&self) -> Vec<EndpointKey> {
        let mut ejected = Vec::new();
        for (key, endpoint) in &self.endpoints {
            if let Health::Ejected { since_ms, .. } = endpoint.health
                && endpoint.is_usable()
            {
                ejected.push((since_ms, key));
            }
        }
        ejected.sort();
        ejected.into_iter().map(|(_, key)| key).collect()
    }

    fn ejected_max(&self) -> usize {
        let usable = self.endpoints.values().filter(|e| e.is_usable()).count();
        let share = usable as f64 * self.config.eject_share_max;
        // Without the tolerance, rounding could turn a third of three endpoints into zero.
        let max = (share + 1e-9) as usize;
        max.min(usable.saturating_sub(1))
    }

    /// Readmits endpoints when too many are ejected because others left or died.
    pub(super) fn readmit_surplus(&mut self) {
        let ejected = self.ejected_endpoints();
        let surplus = ejected.len().saturating_sub(self.ejected_max());
        for key in ejected.into_iter().take(surplus) {
            self.readmit(key);
        }
    }

    /// Readmits endpoints that no suitable request has probed for a long time.
    fn readmit_unprobed(&mut self, now_ms: u64) {
        let unprobed_ms = self.config.probe_interval_ms * UNPROBED_INTERVALS_MAX;
        for key in self.ejected_endpoints() {
            if let Health::Ejected {
                next_probe_ms,
                probe: None,
                ..
            } = self.endpoints[key].health
                && now_ms >= next_probe_ms.saturating_add(unprobed_ms)
            {
                self.readmit(key);
            }
        }
    }

    fn readmit_if_recovered(&mut self, key: EndpointKey, latency_ratio: f32) {
        let endpoint = &self.endpoints[key];
        if endpoint.health != Health::Serving && latency_ratio < self.config.slow_factor {
            self.readmit(key);
        }
    }

    fn readmit(&mut self, key: EndpointKey) {
        self.endpoints[key].readmit();
        self.counters.readmissions += 1;
    }

    fn run_key(&self, ticket: TicketId) -> Option<RunKey> {
        match self.request_states.get(&ticket) {
            Some(RequestState::Running(key)) => Some(*key),
            _ => None,
        }
    }
}
