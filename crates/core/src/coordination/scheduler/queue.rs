//! Queue of waiting requests: weighted fair queueing by organisation within each tier.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use slotmap::SlotMap;
use slotmap::new_key_type;

use super::SlotRequest;
use super::class::ClassKey;

new_key_type! {
    /// Key of a waiting request.
    pub(super) struct WaitKey;
    /// Key of an organisation.
    pub(super) struct OrganisationKey;
}

/// Fixed-point scale of virtual time.
const VIRTUAL_TIME_SCALE: u64 = 1_024;

/// A request that waits for a slot.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) request: Box<SlotRequest>,
    pub(super) class: ClassKey,
    pub(super) organisation: OrganisationKey,
    /// Organisation whose flow the request joins; the baseline policy has one flow for all.
    pub(super) flow: OrganisationKey,
    /// Time of the first enqueue, kept across preemptions and retries.
    pub(super) first_enqueued_ms: u64,
    pub(super) preemptions: u32,
    /// Order within the flow; the lowest is served first.
    pub(super) rank: u64,
    /// Tier whose queue it waits in; the baseline policy uses one for all requests.
    pub(super) tier: u8,
    /// Whether it was preempted and is exempt from the queue bound and from shedding.
    pub(super) is_shed_exempt: bool,
    /// Expected slot time in milliseconds.
    pub(super) cost_ms: u64,
    sequence: u64,
}

impl WaitingRequest {
    /// Creates a waiting request; the queue sets its sequence.
    pub(super) fn new(
        request: Box<SlotRequest>,
        class: ClassKey,
        organisation: OrganisationKey,
        now_ms: u64,
    ) -> Self {
        Self {
            tier: request.tier,
            rank: request.deadline_at_ms,
            request,
            class,
            organisation,
            flow: organisation,
            first_enqueued_ms: now_ms,
            preemptions: 0,
            is_shed_exempt: false,
            cost_ms: 1,
            sequence: 0,
        }
    }

    fn aged_at_ms(&self) -> u64 {
        self.first_enqueued_ms
            .saturating_add(self.request.ageing_ms)
    }
}

/// Waiting requests of one organisation within a tier, earliest deadline first.
#[derive(Debug, Default)]
struct Flow {
    virtual_time: u64,
    weight: u64,
    cost_ms: u64,
    requests: BTreeSet<(u64, u64, WaitKey)>,
}

/// Requests of one tier.
#[derive(Debug, Default)]
struct Tier {
    virtual_time: u64,
    flows: HashMap<OrganisationKey, Flow>,
    active: BTreeSet<(u64, OrganisationKey)>,
    /// Sum of the weights of all active organisations.
    weight: u64,
    length: usize,
    cost_ms: u64,
    /// Shedding order from last to first: idempotent before non-idempotent, then the latest deadline.
    sheddable: BTreeSet<(bool, u64, WaitKey)>,
}

/// All waiting requests of a shard.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: SlotMap<WaitKey, WaitingRequest>,
    tiers: BTreeMap<u8, Tier>,
    by_ageing_time: BTreeSet<(u64, WaitKey)>,
    exempt_count: usize,
    sequence: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests that are exempt from the queue bound.
    pub(super) fn exempt_count(&self) -> usize {
        self.exempt_count
    }

    pub(super) fn get(&self, key: WaitKey) -> Option<&WaitingRequest> {
        self.waiting.get(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (WaitKey, &WaitingRequest)> {
        self.waiting.iter()
    }

    /// Returns the length of the queue of each tier.
    pub(super) fn lengths(&self) -> BTreeMap<u8, usize> {
        let mut lengths = BTreeMap::new();
        for (tier, queue) in &self.tiers {
            lengths.insert(*tier, queue.length);
        }
        lengths
    }

    /// Returns the number of waiting requests of a tier.
    pub(super) fn length(&self, tier: u8) -> usize {
        self.tiers.get(&tier).map_or(0, |queue| queue.length)
    }

    /// Returns the expected slot time served before a new request of the organisation, in milliseconds.
    ///
    /// This is the work of all higher tiers, plus the organisation's work in the tier divided by its current share.
    /// It assumes that the other organisations with waiting requests stay backlogged.
    pub(super) fn work_ahead_ms(&self, tier: u8, organisation: OrganisationKey) -> u64 {
        let mut sum: u64 = 0;
        for queue in self.tiers.range(..tier).map(|(_, queue)| queue) {
            sum = sum.saturating_add(queue.cost_ms);
        }
        let Some(queue) = self.tiers.get(&tier) else {
            return sum;
        };
        let Some(flow) = queue.flows.get(&organisation) else {
            return sum;
        };
        let flow_ms = flow.cost_ms.saturating_mul(queue.weight) / flow.weight.max(1);
        sum.saturating_add(flow_ms)
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, mut waiting: WaitingRequest) -> WaitKey {
        self.sequence += 1;
        waiting.sequence = self.sequence;
        let key = self.waiting.insert(waiting);
        let waiting = &self.waiting[key];
        if waiting.tier > 0 {
            self.by_ageing_time.insert((waiting.aged_at_ms(), key));
        }
        let tier = self.tiers.entry(waiting.tier).or_default();
        tier.length += 1;
        tier.cost_ms = tier.cost_ms.saturating_add(waiting.cost_ms);
        match waiting.is_shed_exempt {
            true => self.exempt_count += 1,
            false => {
                let entry = (
                    waiting.request.idempotent,
                    waiting.request.deadline_at_ms,
                    key,
                );
                tier.sheddable.insert(entry);
            }
        }
        let flow = tier.flows.entry(waiting.flow).or_default();
        if flow.requests.is_empty() {
            // An idle organisation accumulates no credit: its virtual time catches up with that of the tier.
            flow.virtual_time = flow.virtual_time.max(tier.virtual_time);
            flow.weight = u64::from(waiting.request.weight.max(1));
            tier.weight += flow.weight;
            tier.active.insert((flow.virtual_time, waiting.flow));
        }
        flow.cost_ms = flow.cost_ms.saturating_add(waiting.cost_ms);
        flow.requests.insert((waiting.rank, waiting.sequence, key));
        key
    }

    /// Removes a request that gets no slot.
    pub(super) fn remove(&mut self, key: WaitKey) -> Option<WaitingRequest> {
        self.remove_entry(key, false)
    }

    /// Removes a request that gets a slot, and charges its cost to the flow.
    pub(super) fn grant(&mut self, key: WaitKey) -> Option<WaitingRequest> {
        self.remove_entry(key, true)
    }

    fn remove_entry(&mut self, key: WaitKey, is_charged: bool) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(key)?;
        self.by_ageing_time.remove(&(waiting.aged_at_ms(), key));
        let tier = self.tiers.get_mut(&waiting.tier)?;
        let entry = (
            waiting.request.idempotent,
            waiting.request.deadline_at_ms,
            key,
        );
        tier.sheddable.remove(&entry);
        tier.length -= 1;
        tier.cost_ms = tier.cost_ms.saturating_sub(waiting.cost_ms);
        self.exempt_count -= usize::from(waiting.is_shed_exempt);
        let flow = tier.flows.get_mut(&waiting.flow)?;
        flow.cost_ms = flow.cost_ms.saturating_sub(waiting.cost_ms);
        flow.requests.remove(&(waiting.rank, waiting.sequence, key));
        tier.active.remove(&(flow.virtual_time, waiting.flow));
        if is_charged {
            tier.virtual_time = tier.virtual_time.max(flow.virtual_time);
            let weight = u64::from(waiting.request.weight.max(1));
            let charge = waiting.cost_ms.saturating_mul(VIRTUAL_TIME_SCALE) / weight;
            flow.virtual_time = flow.virtual_time.saturating_add(charge.max(1));
        }
        if !flow.requests.is_empty() {
            tier.active.insert((flow.virtual_time, waiting.flow));
        } else {
            tier.weight -= flow.weight;
            if flow.virtual_time <= tier.virtual_time {
                tier.flows.remove(&waiting.flow);
            }
        }
        if tier.length == 0 {
            self.tiers.remove(&waiting.tier);
        }
        Some(waiting)
    }

    /// Returns the requests of one tier in order of service.
    pub(super) fn in_tier(&self, tier: u8) -> impl Iterator<Item = (WaitKey, &WaitingRequest)> {
        let queue = self.tiers.get(&tier);
        let flows = queue.into_iter().flat_map(|queue| {
            let flow = |(_, organisation): &(u64, OrganisationKey)| queue.flows.get(organisation);
            queue.active.iter().filter_map(flow)
        });
        flows
            .flat_map(|flow| flow.requests.iter())
            .filter_map(|(_, _, key)| Some((*key, self.waiting.get(*key)?)))
    }

    /// Returns the tiers that have waiting requests, most urgent first.
    pub(super) fn tiers(&self) -> impl Iterator<Item = u8> {
        self.tiers.keys().copied()
    }

    /// Returns the aged requests below tier 0, the longest aged first.
    pub(super) fn aged(&self, now_ms: u64) -> impl Iterator<Item = (WaitKey, &WaitingRequest)> {
        let aged = self.by_ageing_time.iter();
        aged.take_while(move |(at_ms, _)| *at_ms <= now_ms)
            .filter_map(|(_, key)| Some((*key, self.waiting.get(*key)?)))
    }

    /// Returns the request to shed first: lowest tier, then idempotent, then latest deadline.
    pub(super) fn next_to_shed(&self) -> Option<(WaitKey, &WaitingRequest)> {
        let mut tiers = self.tiers.values().rev();
        let (_, _, key) = tiers.find_map(|tier| tier.sheddable.last())?;
        Some((*key, self.waiting.get(*key)?))
    }
}
