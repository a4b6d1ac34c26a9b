//! Preemption of running requests for tier 0.

use std::cmp::Reverse;

use super::Effect;
use super::Scheduler;
use super::place;
use super::place::Wish;
use super::running::RunKey;
use super::running::Running;

impl Scheduler {
    /// Asks running requests for their slot, one for each waiting tier 0 request that no free slot suits.
    pub(super) fn preempt(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if self.is_baseline() {
            return;
        }
        let waiting = self.queue.length(0);
        let mut under_way = 0;
        if waiting > 0 {
            let preempting = self.endpoints.values().map(|e| e.preempting as usize);
            under_way = preempting.sum();
        }
        while under_way < waiting {
            let Some(victim) = self.select_victim(now_ms, under_way) else {
                return;
            };
            under_way += 1;
            let running = &mut self.running[victim];
            running.is_preempting = true;
            self.endpoints[running.endpoint].preempting += 1;
            self.counters.preemptions += 1;
            effects.push(Effect::Preempt {
                ticket: running.request.ticket,
            });
        }
    }

    /// Returns the request of the lowest tier that has done the least work where the waiting request may run.
    fn select_victim(&self, now_ms: u64, position: usize) -> Option<RunKey> {
        let (_, waiting) = self.queue.in_tier(0).nth(position)?;
        let lost = self.lost_endpoints(&waiting.request);
        let wish = Wish {
            request: &waiting.request,
            suspect_of: lost.as_deref(),
        };
        let candidates = self
            .running
            .iter()
            .filter(|(_, running)| self.is_preemptible(now_ms, running, &wish));
        candidates
            .min_by_key(|(_, running)| {
                let work = (running.tokens, Reverse(running.granted_ms));
                (Reverse(running.request.tier), work, running.request.ticket)
            })
            .map(|(key, _)| key)
    }

    fn is_preemptible(&self, now_ms: u64, running: &Running, wish: &Wish<'_>) -> bool {
        let request = &running.request;
        if request.tier == 0 || !request.preemptible || !request.idempotent || running.is_preempting
        {
            return false;
        }
        // An aged request would otherwise lose the slot that its age has earned.
        if running.is_aged || running.preemptions >= self.config.preempt_max {
            return false;
        }
        let endpoint = &self.endpoints[running.endpoint];
        let left = endpoint.running - endpoint.preempting - 1;
        endpoint.is_serving()
            && left < endpoint.current_limit(now_ms)
            && place::is_allowed(endpoint, wish)
    }
}
