//! The order in which free slots are granted.

use rand::Rng;

use super::Effect;
use super::EndpointKey;
use super::Scheduler;
use super::endpoint::Health;
use super::place;
use super::place::Wish;
use super::queue::WaitKey;
use super::queue::Waiting;
use super::running::Running;
use crate::Name;
use crate::Reason;

/// Requests of a tier that are tried for a free slot; only suspects and excluded endpoints make one fail.
const TRIES_MAX: usize = 64;

/// What happens to the next waiting request.
#[derive(Clone, Copy, Debug)]
enum Next {
    Grant {
        key: WaitKey,
        endpoint: EndpointKey,
        is_aged: bool,
        is_probe: bool,
    },
    Late {
        key: WaitKey,
        reason: Reason,
    },
}

/// Slots of the shard at one moment.
#[derive(Debug, Default)]
struct Slots {
    limit: u32,
    /// Slots in use below tier 0.
    ordinary: u32,
    free: u32,
    has_free: bool,
    has_probe: bool,
}

impl Scheduler {
    /// Grants free slots until there is none or nobody can use one.
    pub(super) fn grant(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        while self.queue.len() > 0 {
            let next = match self.is_baseline() {
                true => self.next_baseline(now_ms),
                false => self.select_next(now_ms),
            };
            match next {
                Some(Next::Grant {
                    key,
                    endpoint,
                    is_aged,
                    is_probe,
                }) => self.start(now_ms, key, endpoint, is_aged, is_probe, effects),
                Some(Next::Late { key, reason }) => {
                    self.refuse_waiting(now_ms, key, reason, effects);
                }
                None => return,
            }
        }
    }

    fn count_slots(&self, now_ms: u64) -> Slots {
        let mut slots = Slots::default();
        for endpoint in self.endpoints.values() {
            if endpoint.is_serving() {
                let limit = endpoint.current_limit(now_ms);
                slots.limit += limit;
                slots.ordinary += endpoint.ordinary.min(limit);
                slots.free += limit.saturating_sub(endpoint.running);
                slots.has_free |= place::has_slot(endpoint, now_ms);
            } else {
                slots.has_probe |= endpoint.is_probe_due(now_ms);
            }
        }
        slots
    }

    fn select_next(&self, now_ms: u64) -> Option<Next> {
        let slots = self.count_slots(now_ms);
        if !slots.has_free && !slots.has_probe {
            return None;
        }
        if slots.has_free && self.grants_since_aged + 1 >= self.config.ageing_share {
            for (key, waiting) in self.queue.aged(now_ms).take(TRIES_MAX) {
                let next = self.try_next(now_ms, key, waiting, &slots, true);
                if next.is_some() {
                    return next;
                }
            }
        }
        for tier in self.queue.tiers() {
            for (key, waiting) in self.queue.in_tier(tier).take(TRIES_MAX) {
                let next = self.try_next(now_ms, key, waiting, &slots, false);
                if next.is_some() {
                    return next;
                }
                if !slots.has_probe && !self.may_use(waiting, &slots) {
                    break;
                }
            }
        }
        None
    }

    /// Returns whether the reserve leaves a slot to the tier of the request.
    fn may_use(&self, waiting: &Waiting, slots: &Slots) -> bool {
        // With a reserve as large as the pool, the other tiers would never be served.
        let ordinary_max = slots
            .limit
            .saturating_sub(self.config.reserved_slots)
            .max(1);
        waiting.request.tier == 0 || slots.ordinary < ordinary_max
    }

    fn try_next(
        &self,
        now_ms: u64,
        key: WaitKey,
        waiting: &Waiting,
        slots: &Slots,
        is_aged: bool,
    ) -> Option<Next> {
        if let Some(reason) = self.lateness_reason(now_ms, &waiting.request, waiting.class) {
            return Some(Next::Late { key, reason });
        }
        let lost = self.lost_endpoints(&waiting.request);
        let wish = Wish {
            request: &waiting.request,
            suspect_of: lost.as_deref(),
        };
        if slots.has_probe
            && let Some(endpoint) = self.select_probe(now_ms, &wish)
        {
            return Some(Next::Grant {
                key,
                endpoint,
                is_aged,
                is_probe: true,
            });
        }
        if !slots.has_free || !self.may_use(waiting, slots) {
            return None;
        }
        let cost_ms = waiting.cost_ms;
        let headroom = self
            .headroom
            .headroom_slots(waiting.tier, cost_ms, slots.limit);
        if !is_aged && slots.free <= headroom {
            return None;
        }
        let endpoint = place::choose(&self.endpoints, &self.prefixes, &wish, now_ms)?;
        Some(Next::Grant {
            key,
            endpoint,
            is_aged,
            is_probe: false,
        })
    }

    /// Returns an ejected endpoint to probe with the request; urgent requests are used only when no other came.
    fn select_probe(&self, now_ms: u64, wish: &Wish<'_>) -> Option<EndpointKey> {
        let spare_ms = match wish.request.tier {
            0 => self.config.probe_interval_ms,
            _ => 0,
        };
        place::choose_probe(&self.endpoints, wish, now_ms.checked_sub(spare_ms)?)
    }

    fn next_baseline(&mut self, now_ms: u64) -> Option<Next> {
        let (key, waiting) = self.queue.in_tier(0).next()?;
        if let Some(reason) = self.lateness_reason(now_ms, &waiting.request, waiting.class) {
            return Some(Next::Late { key, reason });
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
        Some(Next::Grant {
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
        endpoint.granted_at = self.counters.grants;
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
        self.run(Running {
            class: waiting.class,
            organisation: waiting.organisation,
            endpoint: endpoint_key,
            since_ms: waiting.since_ms,
            granted_ms: now_ms,
            first_token_ms: None,
            tokens: 0,
            preemptions: waiting.preemptions,
            is_aged,
            is_probe,
            is_suspect,
            is_preempting: false,
            is_late: false,
            request: waiting.request,
        });
    }

    /// Returns the endpoints that a suspect must avoid, or `None` if the request is no suspect.
    pub(super) fn lost_endpoints(&self, request: &super::SlotRequest) -> Option<Vec<Name>> {
        if !self.is_suspect(request) {
            return None;
        }
        let mut lost = Vec::new();
        let mut has_other = false;
        for endpoint in self.endpoints.values().filter(|e| e.is_usable()) {
            let name = &endpoint.spec.name;
            if self.has_lost(&request.content_hash, endpoint) {
                lost.push(name.clone());
            } else if !request.excluded.contains(name) {
                has_other = true;
            }
        }
        // Where no other endpoint is left, running on the same one again is better than never.
        if !has_other {
            lost.clear();
        }
        Some(lost)
    }
}
