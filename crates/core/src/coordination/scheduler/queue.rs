//! Waiting requests in the order in which they get slots.

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
const SCALE: u64 = 1_024;

/// A request that waits for a slot.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) request: Box<SlotRequest>,
    pub(super) class: ClassKey,
    pub(super) organisation: OrganisationKey,
    /// Organisation that it shares a tier as; the baseline has one for all.
    pub(super) lane: OrganisationKey,
    /// When the request first asked; a preempted request keeps its time.
    pub(super) since_ms: u64,
    pub(super) preemptions: u32,
    /// Place within the organisation; the lowest goes first.
    pub(super) rank: u64,
    /// Queue that it waits in.
    pub(super) tier: u8,
    /// Whether it was preempted and waits outside the bound of the queue, where it is not shed.
    pub(super) is_kept: bool,
    /// Expected slot time in milliseconds.
    pub(super) cost_ms: u64,
    sequence: u64,
}

impl Waiting {
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
            lane: organisation,
            since_ms: now_ms,
            preemptions: 0,
            is_kept: false,
            cost_ms: 1,
            sequence: 0,
        }
    }

    fn aged_at_ms(&self) -> u64 {
        self.since_ms.saturating_add(self.request.ageing_ms)
    }
}

/// Requests of one organisation within a tier, earliest deadline first.
#[derive(Debug, Default)]
struct Lane {
    virtual_time: u64,
    weight: u64,
    cost_ms: u64,
    requests: BTreeSet<(u64, u64, WaitKey)>,
}

/// Requests of one tier.
#[derive(Debug, Default)]
struct Tier {
    virtual_time: u64,
    lanes: HashMap<OrganisationKey, Lane>,
    active: BTreeSet<(u64, OrganisationKey)>,
    /// Weight of all active organisations.
    weight: u64,
    length: usize,
    cost_ms: u64,
    /// Order of shedding, from the end: repeatable before non-idempotent, then the latest deadline.
    sheddable: BTreeSet<(bool, u64, WaitKey)>,
}

/// All waiting requests of a shard.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: SlotMap<WaitKey, Waiting>,
    tiers: BTreeMap<u8, Tier>,
    ageing: BTreeSet<(u64, WaitKey)>,
    kept: usize,
    sequence: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of preempted requests that wait outside the bound of the queue.
    pub(super) fn kept(&self) -> usize {
        self.kept
    }

    pub(super) fn get(&self, key: WaitKey) -> Option<&Waiting> {
        self.waiting.get(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (WaitKey, &Waiting)> {
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

    /// Returns the expected slot time that is served before a new request of the organisation, in milliseconds.
    ///
    /// It counts all requests of higher tiers and those of its own tier in proportion to its share, as if the other
    /// organisations that wait now went on to do so.
    pub(super) fn work_ahead_ms(&self, tier: u8, organisation: OrganisationKey) -> u64 {
        let mut sum: u64 = 0;
        for queue in self.tiers.range(..tier).map(|(_, queue)| queue) {
            sum = sum.saturating_add(queue.cost_ms);
        }
        let Some(queue) = self.tiers.get(&tier) else {
            return sum;
        };
        let Some(lane) = queue.lanes.get(&organisation) else {
            return sum;
        };
        let own_ms = lane.cost_ms.saturating_mul(queue.weight) / lane.weight.max(1);
        sum.saturating_add(own_ms)
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, mut waiting: Waiting) -> WaitKey {
        self.sequence += 1;
        waiting.sequence = self.sequence;
        let key = self.waiting.insert(waiting);
        let waiting = &self.waiting[key];
        if waiting.tier > 0 {
            self.ageing.insert((waiting.aged_at_ms(), key));
        }
        let tier = self.tiers.entry(waiting.tier).or_default();
        tier.length += 1;
        tier.cost_ms = tier.cost_ms.saturating_add(waiting.cost_ms);
        match waiting.is_kept {
            true => self.kept += 1,
            false => {
                let entry = (
                    waiting.request.idempotent,
                    waiting.request.deadline_at_ms,
                    key,
                );
                tier.sheddable.insert(entry);
            }
        }
        let lane = tier.lanes.entry(waiting.lane).or_default();
        if lane.requests.is_empty() {
            // An organisation that was idle must not use up the share that it did not ask for.
            lane.virtual_time = lane.virtual_time.max(tier.virtual_time);
            lane.weight = u64::from(waiting.request.weight.max(1));
            tier.weight += lane.weight;
            tier.active.insert((lane.virtual_time, waiting.lane));
        }
        lane.cost_ms = lane.cost_ms.saturating_add(waiting.cost_ms);
        lane.requests.insert((waiting.rank, waiting.sequence, key));
        key
    }

    /// Removes a request that gets no slot.
    pub(super) fn remove(&mut self, key: WaitKey) -> Option<Waiting> {
        self.take(key, false)
    }

    /// Removes a request that gets a slot, and charges its organisation.
    pub(super) fn grant(&mut self, key: WaitKey) -> Option<Waiting> {
        self.take(key, true)
    }

    fn take(&mut self, key: WaitKey, is_charged: bool) -> Option<Waiting> {
        let waiting = self.waiting.remove(key)?;
        self.ageing.remove(&(waiting.aged_at_ms(), key));
        let tier = self.tiers.get_mut(&waiting.tier)?;
        let entry = (
            waiting.request.idempotent,
            waiting.request.deadline_at_ms,
            key,
        );
        tier.sheddable.remove(&entry);
        tier.length -= 1;
        tier.cost_ms = tier.cost_ms.saturating_sub(waiting.cost_ms);
        self.kept -= usize::from(waiting.is_kept);
        let lane = tier.lanes.get_mut(&waiting.lane)?;
        lane.cost_ms = lane.cost_ms.saturating_sub(waiting.cost_ms);
        lane.requests.remove(&(waiting.rank, waiting.sequence, key));
        tier.active.remove(&(lane.virtual_time, waiting.lane));
        if is_charged {
            tier.virtual_time = tier.virtual_time.max(lane.virtual_time);
            let weight = u64::from(waiting.request.weight.max(1));
            let charge = waiting.cost_ms.saturating_mul(SCALE) / weight;
            lane.virtual_time = lane.virtual_time.saturating_add(charge.max(1));
        }
        if !lane.requests.is_empty() {
            tier.active.insert((lane.virtual_time, waiting.lane));
        } else {
            tier.weight -= lane.weight;
            if lane.virtual_time <= tier.virtual_time {
                tier.lanes.remove(&waiting.lane);
            }
        }
        if tier.length == 0 {
            self.tiers.remove(&waiting.tier);
        }
        Some(waiting)
    }

    /// Returns the requests of one tier in order of service.
    pub(super) fn in_tier(&self, tier: u8) -> impl Iterator<Item = (WaitKey, &Waiting)> {
        let queue = self.tiers.get(&tier);
        let lanes = queue.into_iter().flat_map(|queue| {
            let lane = |(_, organisation): &(u64, OrganisationKey)| queue.lanes.get(organisation);
            queue.active.iter().filter_map(lane)
        });
        lanes
            .flat_map(|lane| lane.requests.iter())
            .filter_map(|(_, _, key)| Some((*key, self.waiting.get(*key)?)))
    }

    /// Returns the tiers that have waiting requests, most urgent first.
    pub(super) fn tiers(&self) -> impl Iterator<Item = u8> {
        self.tiers.keys().copied()
    }

    /// Returns the requests below tier 0 that have aged, the longest aged first.
    pub(super) fn aged(&self, now_ms: u64) -> impl Iterator<Item = (WaitKey, &Waiting)> {
        let aged = self.ageing.iter();
        aged.take_while(move |(at_ms, _)| *at_ms <= now_ms)
            .filter_map(|(_, key)| Some((*key, self.waiting.get(*key)?)))
    }

    /// Returns the request that is shed first: lowest tier, repeatable, latest deadline.
    pub(super) fn next_to_shed(&self) -> Option<(WaitKey, &Waiting)> {
        let mut tiers = self.tiers.values().rev();
        let (_, _, key) = tiers.find_map(|tier| tier.sheddable.last())?;
        Some((*key, self.waiting.get(*key)?))
    }
}
