//! Running requests: start, end and the statistics taken from them.

use slotmap::new_key_type;

use super::AttemptEnd;
use super::ClassKey;
use super::Endpoint;
use super::EndpointKey;
use super::EndpointSpec;
use super::OrganisationKey;
use super::RequestState;
use super::Scheduler;
use super::SlotRequest;
use crate::Name;
use crate::TicketId;

new_key_type! {
    /// Key of a running request.
    pub(super) struct RunKey;
}

/// Time past the deadline after which the slot of a running request is freed without an end report, in milliseconds.
const OVERDUE_MS: u64 = 10_000;

/// A request that holds a slot.
#[derive(Debug)]
pub(super) struct RunningRequest {
    pub(super) request: Box<SlotRequest>,
    pub(super) class: ClassKey,
    pub(super) organisation: OrganisationKey,
    pub(super) endpoint: EndpointKey,
    pub(super) first_enqueued_ms: u64,
    pub(super) granted_ms: u64,
    pub(super) first_token_ms: Option<u64>,
    pub(super) tokens: u32,
    pub(super) preemptions: u32,
    pub(super) is_aged: bool,
    pub(super) is_probe: bool,
    pub(super) is_suspect: bool,
    pub(super) is_preempting: bool,
    /// Whether its first token, or the lack of one, was already counted in the latency of the endpoint.
    pub(super) is_first_token_counted: bool,
}

/// An attempt that ended without an answer, kept until the request is enqueued again, cancelled or past its deadline.
#[derive(Debug)]
pub(super) struct EndedAttempt {
    pub(super) tokens: u32,
    pub(super) preemptions: u32,
    pub(super) first_enqueued_ms: u64,
    pub(super) deadline_at_ms: u64,
}

impl Scheduler {
    /// Adds a running request that was granted by a previous owner of the shard.
    pub(super) fn adopt(&mut self, now_ms: u64, request: Box<SlotRequest>, endpoint: Name) {
        self.withdraw(now_ms, request.ticket);
        let endpoint = self.endpoint_key(endpoint);
        let class = self.class_key(&request.class);
        let organisation = self.organisation_key(&request.organisation);
        self.classes[class].in_flight += 1;
        self.organisations[organisation].in_flight += 1;
        self.run(RunningRequest {
            class,
            organisation,
            endpoint,
            first_enqueued_ms: now_ms,
            granted_ms: now_ms,
            first_token_ms: None,
            tokens: 0,
            preemptions: 0,
            is_aged: false,
            is_probe: false,
            is_suspect: self.is_suspect(&request),
            is_preempting: false,
            // The time of its grant is unknown, so its latency says nothing about the endpoint.
            is_first_token_counted: true,
            request,
        });
    }

    /// Counts a request as running.
    pub(super) fn run(&mut self, running: RunningRequest) {
        let endpoint = &mut self.endpoints[running.endpoint];
        endpoint.running += 1;
        endpoint.running_suspects += u32::from(running.is_suspect);
        endpoint.below_tier_0 += u32::from(running.request.tier > 0);
        let ticket = running.request.ticket;
        let cost_ms = self.expected_ms(&running.request, running.class);
        let tier = running.request.tier;
        self.slot_usage.add(running.granted_ms, tier, cost_ms);
        let key = self.running.insert(running);
        self.request_states
            .insert(ticket, RequestState::Running(key));
    }

    /// Frees the slot of a running request and removes it from all counts.
    pub(super) fn release(&mut self, now_ms: u64, key: RunKey) -> Option<RunningRequest> {
        let running = self.running.remove(key)?;
        self.request_states.remove(&running.request.ticket);
        self.slot_usage.remove(now_ms, running.request.tier);
        let endpoint = &mut self.endpoints[running.endpoint];
        endpoint.running -= 1;
        endpoint.running_suspects -= u32::from(running.is_suspect);
        endpoint.preempting -= u32::from(running.is_preempting);
        endpoint.below_tier_0 -= u32::from(running.request.tier > 0);
        self.classes[running.class].in_flight -= 1;
        self.organisations[running.organisation].in_flight -= 1;
        if endpoint.running == 0 && !endpoint.is_listed {
            let name = endpoint.spec.name.clone();
            self.endpoint_keys.remove(&name);
            self.endpoints.remove(running.endpoint);
        }
        Some(running)
    }

    /// Ends an attempt and updates the statistics.
    pub(super) fn finish(&mut self, now_ms: u64, ticket: TicketId, end: AttemptEnd, tokens: u32) {
        let Some(RequestState::Running(key)) = self.request_states.get(&ticket).copied() else {
            return;
        };
        // This reads the contents running on the endpoint, so it comes before the request is released.
        if end == AttemptEnd::Lost {
            self.record_connection_loss(now_ms, key);
        }
        let Some(mut running) = self.release(now_ms, key) else {
            return;
        };
        running.tokens = running.tokens.max(tokens);
        if let Some(endpoint) = self.endpoints.get_mut(running.endpoint)
            && running.is_probe
        {
            endpoint.end_probe(now_ms, ticket, &self.config);
        }
        let total = running
            .request
            .generated_tokens
            .saturating_add(running.tokens);
        match end {
            AttemptEnd::Done => self.record_completion(now_ms, &running),
            AttemptEnd::Cancelled => self.counters.wasted_tokens += u64::from(total),
            AttemptEnd::Failed => self.add_ended_attempt(&running, total, 0),
            AttemptEnd::NotSent | AttemptEnd::Lost => {
                self.add_ended_attempt(&running, total, 0);
                self.observe_failure(now_ms, running.endpoint);
            }
            AttemptEnd::Preempted => {
                // The next attempt repeats the prefill.
                self.counters.wasted_prefill_ms += running
                    .first_token_ms
                    .unwrap_or(now_ms.saturating_sub(running.granted_ms));
                self.add_ended_attempt(&running, total, 1);
            }
        }
    }

    fn add_ended_attempt(&mut self, running: &RunningRequest, tokens: u32, preempted: u32) {
        let ended = EndedAttempt {
            tokens,
            preemptions: running.preemptions + preempted,
            first_enqueued_ms: running.first_enqueued_ms,
            deadline_at_ms: running.request.deadline_at_ms,
        };
        self.ended_attempts.insert(running.request.ticket, ended);
    }

    fn record_completion(&mut self, now_ms: u64, running: &RunningRequest) {
        self.rate.add(now_ms);
        self.classes[running.class].rate.add(now_ms);
        self.organisations[running.organisation].rate.add(now_ms);
        self.clear_content(now_ms, &running.request.content_hash);
        if let Some(endpoint) = self.endpoints.get_mut(running.endpoint) {
            endpoint.consecutive_failures = 0;
        }
        let total = running
            .request
            .generated_tokens
            .saturating_add(running.tokens);
        if running.tokens > 0 {
            self.classes[running.class].lengths.add(u64::from(total));
        }
        if running.first_token_ms.is_none() {
            self.observe_duration(now_ms, running);
        }
        self.classes[running.class].refresh(&self.gaps_us);
    }

    /// Cancels a waiting or running request.
    pub(super) fn cancel(&mut self, now_ms: u64, ticket: TicketId) {
        let mut generated_tokens = 0;
        if let Some(RequestState::Waiting(key)) = self.request_states.get(&ticket)
            && let Some(waiting) = self.queue.get(*key)
        {
            generated_tokens = waiting.request.generated_tokens;
        }
        self.counters.wasted_tokens += u64::from(generated_tokens);
        self.withdraw(now_ms, ticket);
        if let Some(ended) = self.ended_attempts.remove(&ticket) {
            self.counters.wasted_tokens += u64::from(ended.tokens);
        }
    }

    /// Removes a request from the queue or its slot without emitting an effect.
    pub(super) fn withdraw(&mut self, now_ms: u64, ticket: TicketId) {
        match self.request_states.get(&ticket).copied() {
            Some(RequestState::Waiting(key)) => {
                self.leave_queue(key);
            }
            Some(RequestState::Running(_)) => self.finish(now_ms, ticket, AttemptEnd::Cancelled, 0),
            None => {}
        }
    }

    /// Cancels all requests of a process.
    pub(super) fn cancel_member_requests(&mut self, now_ms: u64, incarnation: u64) {
        let known = self.request_states.keys().chain(self.ended_attempts.keys());
        let of_member = known.filter(|ticket| ticket.incarnation == incarnation);
        let mut tickets: Vec<TicketId> = of_member.copied().collect();
        tickets.sort();
        for ticket in tickets {
            self.cancel(now_ms, ticket);
        }
    }

    /// Frees the slots and records of requests whose end was never reported.
    pub(super) fn reclaim_overdue(&mut self, now_ms: u64) {
        let mut overdue = Vec::new();
        for (key, running) in &self.running {
            if running.request.deadline_at_ms.saturating_add(OVERDUE_MS) < now_ms {
                overdue.push(key);
            }
        }
        for key in overdue {
            if let Some(running) = self.release(now_ms, key) {
                self.counters.overdue_requests += 1;
                if let Some(endpoint) = self.endpoints.get_mut(running.endpoint) {
                    endpoint.end_probe(now_ms, running.request.ticket, &self.config);
                }
            }
        }
        let counters = &mut self.counters;
        self.ended_attempts.retain(|_, ended| {
            let is_before_deadline = ended.deadline_at_ms > now_ms;
            if !is_before_deadline {
                counters.wasted_tokens += u64::from(ended.tokens);
            }
            is_before_deadline
        });
    }

    /// Returns the key of an endpoint; an unknown one is added as unlisted, so that it gets no new requests.
    pub(super) fn endpoint_key(&mut self, name: Name) -> EndpointKey {
        if let Some(key) = self.endpoint_keys.get(&name) {
            return *key;
        }
        let spec = EndpointSpec {
            name: name.clone(),
            address: String::new(),
            data_centre: Name::from(""),
            slots_max: 0,
            leaving: true,
        };
        let key = self.endpoints.insert(Endpoint::new(spec, false));
        self.endpoint_keys.insert(name, key);
        key
    }
}
