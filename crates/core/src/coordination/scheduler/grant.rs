//! Selection of the next request for a free slot.

use rand::Rng;

use super::Effect;
use super::EndpointKey;
use super::Scheduler;
use super::endpoint::Health;
use super::placement;
use super::placement::PlacementConstraints;
use super::queue::WaitKey;
use super::queue::WaitingRequest;
use super::running::RunningRequest;
use crate::Name;
use crate::Reason;

/// Maximum number of requests of a tier that are tried for a free slot.
///
/// A request is skipped mainly because it is a suspect or excludes the free endpoints.
const CANDIDATES_MAX: usize = 64;

/// Decision about a waiting request.
#[derive(Clone, Copy, Debug)]
enum NextAction {
    Grant {
        key: WaitKey,
        endpoint: EndpointKey,
        is_aged: bool,
        is_probe: bool,
    },
    Refuse {
        key: WaitKey,
        reason: Reason,
    },
}

/// Slot counts over all endpoints of the shard.
#[derive(Debug, Default)]
struct SlotCounts {
    limit: u32,
    /// Slots in use below tier 0.
    below_tier_0: u32,
    free: u32,
    has_free_slot: bool,
    has_due_probe: bool,
}

impl Scheduler {
    /// Grants free slots until none is left or no waiting request can use one.
    pub(super) fn grant(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        while self.queue.len() > 0 {
            let next = match self.is_baseline() {
                true => self.next_baseline(now_ms),
                false => self.select_next(now_ms),
            };
            match next {
                Some(NextAction::Grant {
                    key,
                    endpoint,
                    is_aged,
                    is_probe,
                }) => self.start(now_ms, key, endpoint, is_aged, is_probe, effects),
                Some(NextAction::Refuse { key, reason }) => {
                    self.refuse_waiting(now_ms, key, reason, effects);
                }
                None => return,
            }
        }
    }

    fn count_slots(&self, now_ms: u64) -> SlotCounts {
        let mut slots = SlotCounts::default();
        for endpoint in self.endpoints.values() {
            if endpoint.is_serving() {
                let limit = endpoint.current_limit(now_ms);
                slots.limit += limit;
                slots.below_tier_0 += endpoint.below_tier_0.min(limit);
                slots.free += limit.saturating_sub(endpoint.running);
                slots.has_free_slot |= placement::has_slot(endpoint, now_ms);
            } else {
                slots.has_due_probe |= endpoint.is_probe_due(now_ms);
            }
        }
        slots
    }

    fn select_next(&self, now_ms: u64) -> Option<NextAction> {
        let slots = self.count_slots(now_ms);
        if !slots.has_free_slot && !slots.has_due_probe {
            return None;
        }
        if slots.has_free_slot && self.grants_since_aged + 1 >= self.config.ageing_share {
            for (key, waiting) in self.queue.aged(now_ms).take(CANDIDATES_MAX) {
                let next = self.try_candidate(now_ms, key, waiting, &slots, true);
                if next.is_some() {
                    return next;
                }
            }
        }
        for tier in self.queue.tiers() {
            for (key, waiting) in self.queue.in_tier(tier).take(CANDIDATES_MAX) {
                let next = self.try_candidate(now_ms, key, waiting, &slots, false);
                if next.is_some() {
                    return next;
                }
                if !slots.has_due_probe && !self.may_use_slot(waiting, &slots) {
                    break;
                }
            }
        }
        None
    }

    /// Returns whether the slots reserved for tier 0 leave one to the request.
    fn may_use_slot(&self, waiting: &WaitingRequest, slots: &SlotCounts) -> bool {
        // A reserve as large as the pool must not starve the other tiers.
        let below_tier_0_max = slots
            .limit
            .saturating_sub(self.config.reserved_slots)
            .max(1);
        waiting.request.tier == 0 || slots.below_tier_0 < below_tier_0_max
    }

    fn try_candidate(
        &self,
        now_ms: u64,
        key: WaitKey,
        waiting: &WaitingRequest,
        slots: &SlotCounts,
        is_aged: bool,
    ) -> Option<NextAction> {
        if let Some(reason) = self.deadline_refusal(now_ms, &waiting.request, waiting.class) {
            return Some(NextAction::Refuse { key, reason });
        }
        let lost = self.lost_endpoints(&waiting.request);
        let constraints = PlacementConstraints {
            request: &waiting.request,
            lost_endpoints: lost.as_deref(),
        };
        if slots.has_due_probe
            && let Some(endpoint) = self.select_probe(now_ms, &constraints)
        {
            return Some(NextAction::Grant {
                key,
                endpoint,
                is_aged,
                is_probe: true,
            });
        }
        if !slots.has_free_slot || !self.may_use_slot(waiting, slots) {
            return None;
        }
        let cost_ms = waiting.cost_ms;
        let headroom = self
            .slot_usage
            .headroom_slots(waiting.tier, cost_ms, slots.limit);
        if !is_aged && slots.free <= headroom {
            return None;
        }
        let endpoint = placement::choose(&self.endpoints, &self.prefixes, &constraints, now_ms)?;
        Some(NextAction::Grant {
            key,
            endpoint,
            is_aged,
            is_probe: false,
        })
    }

    /// Returns an ejected endpoint to probe with the request.
    ///
    /// Tier 0 requests serve as probes only if no other request did within a probe interval.
    fn select_probe(
        &self,
        now_ms: u64,
        constraints: &PlacementConstraints<'_>,
    ) -> Option<EndpointKey> {
        let delay_ms = match constraints.request.tier {
            0 => self.config.probe_interval_ms,
            _ => 0,
        };
        placement::choose_probe(&self.endpoints, constraints, now_ms.checked_sub(delay_ms)?)
    }

    fn next_baseline(&mut self, now_ms: u64) -> Option<NextAction> {
        let (key, waiting) = self.queue.in_tier(0).next()?;
        if let Some(reason) = self.deadline_refusal(now_ms, &waiting.request, waiting.class) {
            return Some(NextAction::Refuse { key, reason });
        }
        let mut free = Vec::new();
        for (endpoint_key, endpoint) in &self.endpoints {
            let is_excluded = waiting.request.excluded.contains(&endpoint.spec.name);
            let has_slot = endpoint.running < endpoint.spec.slots_max;
            if endpoint.is_usable() && has_slot && !is_excluded {
                free.push(endpoint_key);
            }
        }
        if free.is_empty() {
            return None;
        }
        let endpoint = free[self.random.random_range(0..free.len())];
        Some(NextAction::Grant {
            key,
            endpoint,
            is_aged: false,
            is_probe: false,
        })
    }

    fn start(
        &mut self,
        now_ms: u64,
        key: WaitKey,
        endpoint_key: EndpointKey,
        is_aged: bool,
        is_probe: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(waiting) = self.queue.grant(key) else {
            return;
        };
        let class = &mut self.classes[waiting.class];
        class
            .deadlines
            .remove(&(waiting.request.deadline_at_ms, key));
        self.counters.grants += 1;
        self.grants_since_aged = self.grants_since_aged.saturating_add(1);
        if is_aged {
            self.counters.aged_grants += 1;
            self.grants_since_aged = 0;
        }
        let is_suspect = self.is_suspect(&waiting.request);
        let ticket = waiting.request.ticket;
        let endpoint = &mut self.endpoints[endpoint_key];
        endpoint.last_grant = self.counters.grants;
        if is_probe && let Health::Ejected { probe, .. } = &mut endpoint.health {
            *probe = Some(ticket);
        }
        effects.push(Effect::Grant {
            ticket,
            endpoint: endpoint.spec.name.clone(),
            address: endpoint.spec.address.clone(),
        });
        let prefix = waiting.request.prefix_hash;
        self.prefixes
            .insert(prefix, endpoint_key, self.config.prefixes_max);
        self.run(RunningRequest {
            class: waiting.class,
            organisation: waiting.organisation,
            endpoint: endpoint_key,
            first_enqueued_ms: waiting.first_enqueued_ms,
            granted_ms: now_ms,
            first_token_ms: None,
            tokens: 0,
            preemptions: waiting.preemptions,
            is_aged,
            is_probe,
            is_suspect,
            is_preempting: false,
            is_first_token_counted: false,
            request: waiting.request,
        });
    }

    /// Returns the endpoints that a suspect must avoid, or `None` if the request is not a suspect.
    pub(super) fn lost_endpoints(&self, request: &super::SlotRequest) -> Option<Vec<Name>> {
        if !self.is_suspect(request) {
            return None;
        }
        let mut lost = Vec::new();
        let mut has_other = false;
        for endpoint in self.endpoints.values().filter(|e| e.is_usable()) {
            let name = &endpoint.spec.name;
            if self.has_crashed(&request.content_hash, endpoint) {
                lost.push(name.clone());
            } else if !request.excluded.contains(name) {
                has_other = true;
            }
        }
        // If no other endpoint is left, the suspect may run on the same ones again rather than never.
        if !has_other {
            lost.clear();
        }
        Some(lost)
    }
}
