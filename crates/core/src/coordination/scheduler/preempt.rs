//! Preemption of running requests for tier 0.

use std::cmp::Reverse;

use super::Effect;
use super::Scheduler;
use super::placement;
use super::placement::PlacementConstraints;
use super::running::RunKey;
use super::running::RunningRequest;

impl Scheduler {
    /// Preempts one running request for each waiting tier 0 request that no free slot suits.
    pub(super) fn preempt(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if self.is_baseline() {
            return;
        }
        let waiting = self.queue.length(0);
        let mut in_progress = 0;
        if waiting > 0 {
            let preempting = self.endpoints.values().map(|e| e.preempting as usize);
            in_progress = preempting.sum();
        }
        while in_progress < waiting {
            let Some(victim) = self.select_victim(now_ms, in_progress) else {
                return;
            };
            in_progress += 1;
            let running = &mut self.running[victim];
            running.is_preempting = true;
            self.endpoints[running.endpoint].preempting += 1;
            self.counters.preemptions += 1;
            effects.push(Effect::Preempt {
                ticket: running.request.ticket,
            });
        }
    }

    /// Returns the request to preempt: the lowest tier first, then the fewest generated tokens.
    ///
    /// It must run on an endpoint that the waiting request may use.
    fn select_victim(&self, now_ms: u64, position: usize) -> Option<RunKey> {
        let (_, waiting) = self.queue.in_tier(0).nth(position)?;
        let lost = self.lost_endpoints(&waiting.request);
        let constraints = PlacementConstraints {
            request: &waiting.request,
            lost_endpoints: lost.as_deref(),
        };
        let candidates = self
            .running
            .iter()
            .filter(|(_, running)| self.is_preemptible(now_ms, running, &constraints));
        candidates
            .min_by_key(|(_, running)| {
                let work = (running.tokens, Reverse(running.granted_ms));
                (Reverse(running.request.tier), work, running.request.ticket)
            })
            .map(|(key, _)| key)
    }

    fn is_preemptible(
        &self,
        now_ms: u64,
        running: &RunningRequest,
        constraints: &PlacementConstraints<'_>,
    ) -> bool {
        let request = &running.request;
        if request.tier == 0 || !request.preemptible || !request.idempotent || running.is_preempting
        {
            return false;
        }
        // Preempting an aged request would undo the grant that ageing gave it.
        if running.is_aged || running.preemptions >= self.config.preempt_max {
            return false;
        }
        let endpoint = &self.endpoints[running.endpoint];
        let left = endpoint.running - endpoint.preempting - 1;
        endpoint.is_serving()
            && left < endpoint.current_limit(now_ms)
            && placement::is_allowed(endpoint, constraints)
    }
}
