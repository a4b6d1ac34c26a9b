//! Requests that hold a slot: their start, their end and what is learned from them.

use slotmap::new_key_type;

use super::AttemptEnd;
use super::ClassKey;
use super::Endpoint;
use super::EndpointKey;
use super::EndpointSpec;
use super::OrganisationKey;
use super::Place;
use super::Scheduler;
use super::SlotRequest;
use crate::Name;
use crate::TicketId;

new_key_type! {
    /// Key of a running request.
    pub(super) struct RunKey;
}

/// Time after its deadline at which a running request is taken to have ended without a report, in milliseconds.
const OVERDUE_MS: u64 = 10_000;

/// A request that holds a slot.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) request: Box<SlotRequest>,
    pub(super) class: ClassKey,
    pub(super) organisation: OrganisationKey,
    pub(super) endpoint: EndpointKey,
    pub(super) since_ms: u64,
    pub(super) granted_ms: u64,
    pub(super) first_token_ms: Option<u64>,
    pub(super) tokens: u32,
    pub(super) preemptions: u32,
    pub(super) is_aged: bool,
    pub(super) is_probe: bool,
    pub(super) is_suspect: bool,
    pub(super) is_preempting: bool,
    /// Whether its late first token was already held against the endpoint.
    pub(super) is_late: bool,
}

/// An attempt that ended without an answer, until the request asks again or leaves.
#[derive(Debug)]
pub(super) struct Ended {
    pub(super) tokens: u32,
    pub(super) preemptions: u32,
    pub(super) since_ms: u64,
    pub(super) until_ms: u64,
}

impl Scheduler {
    /// Adds a request that was granted by an earlier owner of the shard.
    pub(super) fn adopt(&mut self, now_ms: u64, request: Box<SlotRequest>, endpoint: Name) {
        self.withdraw(now_ms, request.ticket);
        let endpoint = self.endpoint_key(endpoint);
        let class = self.class_key(&request.class);
        let organisation = self.organisation_key(&request.organisation);
        self.classes[class].in_flight += 1;
        self.organisations[organisation].in_flight += 1;
        self.run(Running {
            class,
            organisation,
            endpoint,
            since_ms: now_ms,
            granted_ms: now_ms,
            first_token_ms: None,
            tokens: 0,
            preemptions: 0,
            is_aged: false,
            is_probe: false,
            is_suspect: self.is_suspect(&request),
            is_preempting: false,
            // The time of its grant is not known, so its first token proves nothing.
            is_late: true,
            request,
        });
    }

    /// Counts a request as running.
    pub(super) fn run(&mut self, running: Running) {
        let endpoint = &mut self.endpoints[running.endpoint];
        endpoint.running += 1;
        endpoint.suspects += u32::from(running.is_suspect);
        endpoint.ordinary += u32::from(running.request.tier > 0);
        let ticket = running.request.ticket;
        let cost_ms = self.expected_ms(&running.request, running.class);
        let tier = running.request.tier;
        self.headroom.add(running.granted_ms, tier, cost_ms);
        let key = self.running.insert(running);
        self.places.insert(ticket, Place::Running(key));
    }

    /// Takes a running request out of all counts.
    pub(super) fn release(&mut self, now_ms: u64, key: RunKey) -> Option<Running> {
        let running = self.running.remove(key)?;
        self.places.remove(&running.request.ticket);
        self.headroom.remove(now_ms, running.request.tier);
        let endpoint = &mut self.endpoints[running.endpoint];
        endpoint.running -= 1;
        endpoint.suspects -= u32::from(running.is_suspect);
        endpoint.preempting -= u32::from(running.is_preempting);
        endpoint.ordinary -= u32::from(running.request.tier > 0);
        self.classes[running.class].in_flight -= 1;
        self.organisations[running.organisation].in_flight -= 1;
        if endpoint.running == 0 && !endpoint.is_listed {
            let name = endpoint.spec.name.clone();
            self.endpoint_keys.remove(&name);
            self.endpoints.remove(running.endpoint);
        }
        Some(running)
    }

    /// Ends an attempt and learns from it.
    pub(super) fn finish(&mut self, now_ms: u64, ticket: TicketId, end: AttemptEnd, tokens: u32) {
        let Some(Place::Running(key)) = self.places.get(&ticket).copied() else {
            return;
        };
        // The contents on the endpoint are collected before the request leaves it.
        if end == AttemptEnd::Lost {
            self.note_loss(now_ms, key);
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
            AttemptEnd::Done => self.learn_done(now_ms, &running),
            AttemptEnd::Cancelled => self.counters.wasted_tokens += u64::from(total),
            AttemptEnd::Failed => self.remember(&running, total, 0),
            AttemptEnd::NotSent | AttemptEnd::Lost => {
                self.remember(&running, total, 0);
                self.observe_failure(now_ms, running.endpoint);
            }
            AttemptEnd::Preempted => {
                // The next endpoint has to process the prompt again.
                self.counters.wasted_ms += running
                    .first_token_ms
                    .unwrap_or(now_ms.saturating_sub(running.granted_ms));
                self.remember(&running, total, 1);
            }
        }
    }

    fn remember(&mut self, running: &Running, tokens: u32, preempted: u32) {
        let ended = Ended {
            tokens,
            preemptions: running.preemptions + preempted,
            since_ms: running.since_ms,
            until_ms: running.request.deadline_at_ms,
        };
        self.ended.insert(running.request.ticket, ended);
    }

    fn learn_done(&mut self, now_ms: u64, running: &Running) {
        self.rate.add(now_ms);
        self.classes[running.class].rate.add(now_ms);
        self.organisations[running.organisation].rate.add(now_ms);
        self.clear_content(now_ms, &running.request.content_hash);
        if let Some(endpoint) = self.endpoints.get_mut(running.endpoint) {
            endpoint.failures = 0;
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

    /// Gives up a request that waits or runs.
    pub(super) fn cancel(&mut self, now_ms: u64, ticket: TicketId) {
        let mut kept = 0;
        if let Some(Place::Waiting(key)) = self.places.get(&ticket)
            && let Some(waiting) = self.queue.get(*key)
        {
            kept = waiting.request.generated_tokens;
        }
        self.counters.wasted_tokens += u64::from(kept);
        self.withdraw(now_ms, ticket);
        if let Some(ended) = self.ended.remove(&ticket) {
            self.counters.wasted_tokens += u64::from(ended.tokens);
        }
    }

    /// Takes a request out of the queue or its slot without an effect.
    pub(super) fn withdraw(&mut self, now_ms: u64, ticket: TicketId) {
        match self.places.get(&ticket).copied() {
            Some(Place::Waiting(key)) => {
                self.leave_queue(key);
            }
            Some(Place::Running(_)) => self.finish(now_ms, ticket, AttemptEnd::Cancelled, 0),
            None => {}
        }
    }

    /// Gives up all requests of a process.
    pub(super) fn forget_member(&mut self, now_ms: u64, incarnation: u64) {
        let known = self.places.keys().chain(self.ended.keys());
        let of_member = known.filter(|ticket| ticket.incarnation == incarnation);
        let mut tickets: Vec<TicketId> = of_member.copied().collect();
        tickets.sort();
        for ticket in tickets {
            self.cancel(now_ms, ticket);
        }
    }

    /// Frees slots and memory of requests whose end was never reported.
    pub(super) fn drop_overdue(&mut self, now_ms: u64) {
        let mut overdue = Vec::new();
        for (key, running) in &self.running {
            if running.request.deadline_at_ms.saturating_add(OVERDUE_MS) < now_ms {
                overdue.push(key);
            }
        }
        for key in overdue {
            if let Some(running) = self.release(now_ms, key) {
                self.counters.overdue += 1;
                if let Some(endpoint) = self.endpoints.get_mut(running.endpoint) {
                    endpoint.end_probe(now_ms, running.request.ticket, &self.config);
                }
            }
        }
        let counters = &mut self.counters;
        self.ended.retain(|_, ended| {
            let is_open = ended.until_ms > now_ms;
            if !is_open {
                counters.wasted_tokens += u64::from(ended.tokens);
            }
            is_open
        });
    }

    /// Returns the key of an endpoint; one that is not listed may only finish its requests.
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
