//! What a VM knows of the endpoints: their entries, their load and how far they can be relied on.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::hash_map;
use std::net::SocketAddr;
use std::ops::AddAssign;
use std::ops::SubAssign;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::Name;
use crate::fleet::revisions::Delta;
use crate::fleet::revisions::Revisions;
use crate::forwarding::endpoints::notices::Incarnation;
use crate::forwarding::endpoints::notices::Notices;
use crate::forwarding::prompt::PrefixCache;
use crate::forwarding::prompt::Prompt;
use crate::forwarding::run::RunOutcome;
use crate::hash::hash_name;

pub mod notices;

new_key_type! {
    /// Key of an endpoint; a restarted endpoint gets a new one.
    pub struct EndpointKey;

    /// Key of a run at an endpoint.
    pub struct RunKey;
}

/// First pause before an unreachable endpoint is tried again, in milliseconds; doubles with each failure.
const SUSPICION_MIN_MS: u64 = 500;

/// Longest pause before an unreachable endpoint is tried again, in milliseconds.
const SUSPICION_MAX_MS: u64 = 4_000;

/// Runs in a row without a usable answer after which an endpoint is suspected.
const LOSSES_SUSPECTED: u32 = 2;

/// Time after which a load report says nothing about the present, in milliseconds.
const LOAD_FRESH_MS: u64 = 1_000;

/// Removed entries that are remembered, so that a late record does not bring one back.
const REMOVED_MAX: usize = 4_096;

/// Weight of the newest value in moving averages.
const AVERAGE_WEIGHT: f64 = 0.2;

/// Share of an engine's memory that is expected to hold cached prompts.
const CACHE_SHARE: f64 = 0.6;

/// Memory of an engine whose service does not state it, in tokens.
const MEMORY_DEFAULT_TOKENS: u64 = 400_000;

/// The published entry of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Id of the endpoint.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Time for which it stays slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// Unix time of its start, in milliseconds, if it states that.
    pub born_ms: Option<u64>,
    /// Number of the entry within the incarnation; entries may arrive out of order.
    pub sequence: u64,
}

/// Load that an endpoint states in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// How long work takes at present; 100 is the usual.
    pub slowness_percent: u32,
}

/// Levels of urgency that endpoints tell apart.
pub const URGENCY_LEVELS: usize = 10;

/// Ranks of routes that are told apart among requests of organisations with the same rank.
const ROUTE_RANKS: u8 = 3;

/// How urgent a request is, as endpoints order the requests that wait; 0 comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct UrgencyLevel(u8);

impl From<u8> for UrgencyLevel {
    fn from(level: u8) -> Self {
        Self(level.min(URGENCY_LEVELS as u8 - 1))
    }
}

impl UrgencyLevel {
    /// Combines the rank of an organisation with that of a route.
    ///
    /// The organisation's rank comes first, the route's decides between equals: if all organisations have the same rank,
    /// an engine must still preempt the least urgent routes first. Without a rank of the organisation the route's stands
    /// for both.
    pub fn new(organisation_rank: Option<u8>, route_rank: u8) -> Self {
        let first = organisation_rank.unwrap_or(route_rank);
        let second = route_rank.min(ROUTE_RANKS - 1);
        Self::from(first.saturating_mul(ROUTE_RANKS).saturating_add(second))
    }

    /// Returns the level as a number below [`URGENCY_LEVELS`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl From<UrgencyLevel> for u8 {
    fn from(level: UrgencyLevel) -> Self {
        level.0
    }
}

/// Load that one VM puts on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Requests in progress.
    pub runs: u32,
    /// Prompt tokens still to be read, by [`UrgencyLevel`].
    pub unread_tokens: [u64; URGENCY_LEVELS],
}

impl Demand {
    /// Returns the prompt tokens that are read before those of a new request.
    ///
    /// Engines read the prompts of more urgent requests first.
    pub fn unread_tokens_ahead(&self, level: UrgencyLevel) -> u64 {
        self.unread_tokens[..=level.index()].iter().sum()
    }

    /// Returns the prompt tokens still to be read.
    pub fn total_unread_tokens(&self) -> u64 {
        self.unread_tokens.iter().sum()
    }
}

impl AddAssign for Demand {
    fn add_assign(&mut self, other: Self) {
        self.runs += other.runs;
        for (sum, tokens) in self.unread_tokens.iter_mut().zip(other.unread_tokens) {
            *sum += tokens;
        }
    }
}

impl SubAssign for Demand {
    fn sub_assign(&mut self, other: Self) {
        self.runs -= other.runs;
        for (sum, tokens) in self.unread_tokens.iter_mut().zip(other.unread_tokens) {
            *sum -= tokens;
        }
    }
}

/// Changes of the list that the caller may have to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint is new.
    Added(EndpointKey),
    /// The endpoint has a new incarnation; connections to `old` are of no use.
    Restarted {
        /// Key of the earlier incarnation.
        old: EndpointKey,
        /// Key of the new incarnation.
        new: EndpointKey,
    },
    /// The endpoint began to leave.
    Draining(EndpointKey),
    /// The endpoint is gone.
    Removed(EndpointKey),
}

/// An endpoint and what was learned of it.
#[derive(Debug)]
pub struct Endpoint {
    /// Its published entry.
    pub entry: Entry,
    /// Hash of its id, the same on all VMs.
    pub hash: u64,
    /// Prompt parts that it probably keeps.
    pub cached_parts: PrefixCache,
    /// Time until the first byte of an answer, as a moving average in milliseconds.
    pub first_byte_ms: f64,
    /// Share of runs that ended with a failure, as a moving average.
    pub failure_rate: f64,
    own: Demand,
    heard_at_ms: u64,
    load: Option<(Load, u64)>,
    is_misdirected: bool,
    is_leaving: bool,
    paused_until_ms: u64,
    losses: u32,
    suspicion_ms: u64,
    suspect_until_ms: u64,
}

impl Endpoint {
    /// Returns the load stated lately.
    pub fn fresh_load(&self, now_ms: u64) -> Option<Load> {
        let (load, at_ms) = self.load?;
        (now_ms.saturating_sub(at_ms) < LOAD_FRESH_MS).then_some(load)
    }

    /// Returns whether the endpoint takes requests in general, if not at this moment.
    pub fn is_usable(&self) -> bool {
        !self.entry.is_draining && !self.is_misdirected && !self.is_leaving
    }

    /// Returns whether a request may be sent now.
    pub fn is_available(&self, now_ms: u64) -> bool {
        self.is_usable() && now_ms >= self.paused_until_ms
    }

    /// Returns the time until which the endpoint wants no requests; 0 if it has not said so.
    pub fn paused_until_ms(&self) -> u64 {
        self.paused_until_ms
    }

    /// Returns how far the endpoint can be relied on.
    pub fn health(&self, now_ms: u64) -> EndpointHealth {
        if self.suspicion_ms == 0 {
            return EndpointHealth::Healthy;
        }
        if now_ms < self.suspect_until_ms || self.own.runs > 0 {
            return EndpointHealth::Suspect;
        }
        EndpointHealth::Probation
    }

    fn suspect(&mut self, now_ms: u64) {
        let doubled = self.suspicion_ms.saturating_mul(2);
        self.suspicion_ms = doubled.clamp(SUSPICION_MIN_MS, SUSPICION_MAX_MS);
        self.suspect_until_ms = now_ms + self.suspicion_ms;
    }

    fn clear_suspicion(&mut self) {
        self.losses = 0;
        self.suspicion_ms = 0;
        self.suspect_until_ms = 0;
    }
}

/// How far an endpoint can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointHealth {
    /// Nothing speaks against it.
    Healthy,
    /// It failed a while ago; one request that may be repeated can try it.
    Probation,
    /// It failed just now.
    Suspect,
}

#[derive(Debug)]
struct Run {
    endpoint: EndpointKey,
    level: UrgencyLevel,
    unread_tokens: u64,
}

/// All endpoints known to a VM.
#[derive(Debug, Default)]
pub struct Endpoints {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    runs: SlotMap<RunKey, Run>,
    by_id: HashMap<Name, EndpointKey>,
    by_service: HashMap<Name, Vec<EndpointKey>>,
    peer_demand: HashMap<Name, Vec<(u64, Demand)>>,
    /// Sum of `peer_demand` over the VMs, kept since each request looks at it for all endpoints.
    peer_sums: HashMap<u64, Demand>,
    removals_due_ms: HashMap<Name, u64>,
    removed: HashMap<Name, (Option<u64>, u64)>,
    backlog_since_ms: Option<u64>,
    is_source_lost: bool,
    revisions: Revisions,
    notices: Notices,
}

/// Records of one endpoint that a source which was away cannot hold: one from before and one from after its return.
const RECORDS_ALIVE: usize = 3;

/// Time after the return of the list's source in which missing endpoints are expected back, in milliseconds.
///
/// Entries may lapse while the source is away, although their endpoints live.
pub const EXPIRY_GRACE_MS: u64 = 2_000;

impl Entry {
    /// Returns whether another entry of the same endpoint says the same; only its number and its warming up differ.
    fn is_like(&self, other: &Self) -> bool {
        let renumbered = Self {
            sequence: other.sequence,
            cold_ms: other.cold_ms,
            ..self.clone()
        };
        renumbered == *other
    }
}

impl Endpoints {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or updates an entry; one that is older than what is known of the same incarnation is ignored.
    pub fn update(&mut self, entry: Entry) -> Option<Change> {
        let Some(key) = self.by_id.get(&entry.id).copied() else {
            let removed = self.removed.get(&entry.id);
            let is_old = removed.is_some_and(|(born_ms, sequence)| {
                *born_ms == entry.born_ms && entry.sequence <= *sequence
            });
            return (!is_old).then(|| Change::Added(self.insert(entry)));
        };
        let known = &mut self.endpoints[key];
        let is_older = match (entry.born_ms, known.entry.born_ms) {
            (Some(born), Some(known)) if born != known => born < known,
            _ => entry.sequence < known.entry.sequence,
        };
        if is_older {
            return None;
        }
        self.removals_due_ms.remove(&entry.id);
        let is_same = known.entry.born_ms == entry.born_ms
            && known.entry.address == entry.address
            && known.entry.service == entry.service;
        if !is_same {
            self.take(&entry.id.clone());
            let new = self.insert(entry);
            return Some(Change::Restarted { old: key, new });
        }
        let starts_draining = entry.is_draining && !known.entry.is_draining;
        if !known.entry.is_like(&entry) {
            self.revisions.note_change(&entry.id);
        }
        known.entry = entry;
        starts_draining.then_some(Change::Draining(key))
    }

    /// Removes an entry; a removal that was recorded while the source was away waits until [`Endpoints::remove_due`].
    pub fn remove(&mut self, id: &Name, now_ms: u64) -> Option<Change> {
        if let Some(due_ms) = self.grace_end_ms(now_ms) {
            if self.by_id.contains_key(id) {
                self.removals_due_ms.entry(id.clone()).or_insert(due_ms);
            }
            return None;
        }
        self.take(id).map(Change::Removed)
    }

    /// Stops the use of an endpoint whose newest entry cannot be understood, until the next good one.
    pub fn disable(&mut self, id: &Name) -> Option<Change> {
        let key = self.find(id)?;
        let known = self.endpoints.get_mut(key)?;
        let starts_draining = !known.entry.is_draining;
        known.entry.is_draining = true;
        if starts_draining {
            self.revisions.note_change(id);
        }
        starts_draining.then_some(Change::Draining(key))
    }

    /// Removes all entries that a complete list does not contain; returns the changes by id.
    pub fn retain(&mut self, listed: &[Name], now_ms: u64) -> Vec<(Name, Change)> {
        let listed: HashSet<&Name> = listed.iter().collect();
        let mut missing = Vec::new();
        for id in self.by_id.keys() {
            if !listed.contains(id) {
                missing.push(id.clone());
            }
        }
        let mut changes = Vec::new();
        for id in missing {
            if let Some(change) = self.remove(&id, now_ms) {
                changes.push((id, change));
            }
        }
        changes
    }

    /// Records that the source of the list cannot be read.
    pub fn mark_source_lost(&mut self) {
        self.is_source_lost = true;
    }

    /// Records that the source of the list can be read again; what it recorded meanwhile follows.
    ///
    /// `records_max` is the most records of one endpoint in what follows. Endpoints write at a steady pace, so several
    /// records of one show that the source lived on and only this VM was cut off; its removals are current then.
    pub fn mark_source_recovered(&mut self, records_max: usize, now_ms: u64) {
        if std::mem::take(&mut self.is_source_lost) && records_max < RECORDS_ALIVE {
            self.backlog_since_ms = Some(now_ms);
        }
    }

    /// Records that all that was recorded while the source was away has been taken in; later removals are current.
    pub fn finish_backlog(&mut self) {
        self.backlog_since_ms = None;
    }

    /// Carries out the removals that are due; returns the changes by id.
    pub fn remove_due(&mut self, now_ms: u64) -> Vec<(Name, Change)> {
        let mut due = Vec::new();
        for (id, due_ms) in &self.removals_due_ms {
            if *due_ms <= now_ms {
                due.push(id.clone());
            }
        }
        let mut changes = Vec::new();
        for id in due {
            self.removals_due_ms.remove(&id);
            if let Some(key) = self.take(&id) {
                changes.push((id, Change::Removed(key)));
            }
        }
        changes
    }

    fn grace_end_ms(&self, now_ms: u64) -> Option<u64> {
        let due_ms = self.backlog_since_ms? + EXPIRY_GRACE_MS;
        (now_ms < due_ms).then_some(due_ms)
    }

    fn insert(&mut self, entry: Entry) -> EndpointKey {
        let id = entry.id.clone();
        let service = entry.service.clone();
        self.revisions.note_change(&id);
        let incarnation = Incarnation::from(&entry);
        let endpoint = Endpoint {
            hash: hash_name(id.as_str()),
            entry,
            cached_parts: PrefixCache::default(),
            first_byte_ms: 0.0,
            failure_rate: 0.0,
            own: Demand::default(),
            heard_at_ms: 0,
            load: None,
            is_misdirected: false,
            is_leaving: self.notices.is_leaving(incarnation),
            paused_until_ms: self.notices.paused_until_ms(incarnation),
            losses: 0,
            suspicion_ms: 0,
            suspect_until_ms: 0,
        };
        let key = self.endpoints.insert(endpoint);
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    fn take(&mut self, id: &Name) -> Option<EndpointKey> {
        let key = self.by_id.remove(id)?;
        let endpoint = self.endpoints.remove(key)?;
        self.revisions.note_removal(id);
        if self.removed.len() >= REMOVED_MAX {
            self.removed.clear();
        }
        let last = (endpoint.entry.born_ms, endpoint.entry.sequence);
        self.removed.insert(id.clone(), last);
        if let Some(keys) = self.by_service.get_mut(&endpoint.entry.service) {
            keys.retain(|other| *other != key);
        }
        Some(key)
    }

    /// Returns whether removals are held back, so that the list is not what its source says.
    pub fn has_pending_removals(&self) -> bool {
        !self.removals_due_ms.is_empty()
    }

    /// Returns what changed in the list after a revision; `None` asks for the whole list.
    pub fn delta_since(&self, since: Option<u64>) -> Delta<'_> {
        self.revisions.delta_since(since)
    }

    /// Returns the number of the last change of the list.
    pub fn revision(&self) -> u64 {
        self.revisions.newest()
    }

    /// Returns an endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns the key of the endpoint with this id.
    pub fn find(&self, id: &Name) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the endpoints of a service.
    pub fn of_service(&self, service: &Name) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter_map(|key| Some((*key, self.endpoints.get(*key)?)))
    }

    /// Records the start of a run and returns its key; `fetched_tokens` of the prompt come from another engine.
    pub fn begin_run(
        &mut self,
        key: EndpointKey,
        prompt: Option<&Prompt>,
        fetched_tokens: u64,
        memory_tokens: Option<u64>,
        level: UrgencyLevel,
        now_ms: u64,
    ) -> RunKey {
        let mut unread_tokens = 0;
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            if let Some(prompt) = prompt {
                let known = endpoint
                    .cached_parts
                    .cached_tokens(prompt)
                    .max(fetched_tokens);
                unread_tokens = prompt.tokens.saturating_sub(known);
                let memory = memory_tokens.unwrap_or(MEMORY_DEFAULT_TOKENS);
                let capacity = (memory as f64 * CACHE_SHARE) as u64;
                endpoint.cached_parts.record(prompt, now_ms, capacity);
            }
            endpoint.own.runs += 1;
            endpoint.own.unread_tokens[level.index()] += unread_tokens;
        }
        self.runs.insert(Run {
            endpoint: key,
            level,
            unread_tokens,
        })
    }

    /// Records the first byte of an answer, `waited_ms` after the request was sent.
    pub fn record_first_byte(&mut self, run: RunKey, waited_ms: u64) {
        let Some(run) = self.runs.get_mut(run) else {
            return;
        };
        let unread_tokens = std::mem::take(&mut run.unread_tokens);
        let Some(endpoint) = self.endpoints.get_mut(run.endpoint) else {
            return;
        };
        endpoint.own.unread_tokens[run.level.index()] -= unread_tokens;
        let average = &mut endpoint.first_byte_ms;
        let weight = if *average == 0.0 { 1.0 } else { AVERAGE_WEIGHT };
        *average += (waited_ms as f64 - *average) * weight;
    }

    /// Records that bytes of an answer arrived from an endpoint.
    pub fn record_response(&mut self, key: EndpointKey, now_ms: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.heard_at_ms = now_ms;
        }
    }

    /// Returns whether any answer arrived from an endpoint since a time.
    pub fn has_responded_since(&self, key: EndpointKey, since_ms: u64) -> bool {
        self.endpoints
            .get(key)
            .is_some_and(|endpoint| endpoint.heard_at_ms > since_ms)
    }

    /// Records the load that an endpoint stated.
    pub fn record_load(&mut self, key: EndpointKey, load: Load, now_ms: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.load = Some((load, now_ms));
        }
    }

    /// Records that an endpoint said that it leaves; returns whether that is news.
    pub fn record_leaving(&mut self, key: EndpointKey) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return false;
        };
        endpoint.is_leaving = true;
        self.notices.add_leaving(Incarnation::from(&endpoint.entry))
    }

    /// Takes over from another VM which endpoints leave; returns those for which it is news.
    pub fn merge_leaving(&mut self, incarnations: &[Incarnation]) -> Vec<EndpointKey> {
        let mut news = Vec::new();
        for incarnation in incarnations {
            if !self.notices.add_leaving(*incarnation) {
                continue;
            }
            // It may not be known yet; the notice holds for an entry that comes later.
            for (key, endpoint) in &mut self.endpoints {
                if Incarnation::from(&endpoint.entry) == *incarnation {
                    endpoint.is_leaving = true;
                    news.push(key);
                }
            }
        }
        news
    }

    /// Returns the endpoints of the list that said that they leave, at most `max`.
    pub fn leaving_endpoints(&self, max: usize) -> Vec<Incarnation> {
        let endpoints = self.endpoints.values();
        let leaving = endpoints.filter(|endpoint| endpoint.is_leaving);
        leaving
            .map(|endpoint| Incarnation::from(&endpoint.entry))
            .take(max)
            .collect()
    }

    /// Records that an endpoint wants no requests from this VM for a time.
    pub fn pause(&mut self, key: EndpointKey, for_ms: u64, now_ms: u64) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let until_ms = now_ms.saturating_add(for_ms);
        endpoint.paused_until_ms = endpoint.paused_until_ms.max(until_ms);
        let incarnation = Incarnation::from(&endpoint.entry);
        self.notices.pause(incarnation, until_ms, now_ms);
    }

    /// Releases a run whose caller left; it says nothing about the endpoint.
    pub fn release_run(&mut self, run: RunKey) {
        let Some(run) = self.runs.remove(run) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(run.endpoint) {
            endpoint.own.runs -= 1;
            endpoint.own.unread_tokens[run.level.index()] -= run.unread_tokens;
        }
    }

    /// Releases a run and learns from its end; returns whether the endpoint came under suspicion.
    pub fn end_run(&mut self, run: RunKey, end: RunOutcome, now_ms: u64) -> bool {
        let key = self.runs.get(run).map(|run| run.endpoint);
        self.release_run(run);
        let Some(endpoint) = key.and_then(|key| self.endpoints.get_mut(key)) else {
            return false;
        };
        let failed = match end {
            RunOutcome::Failed | RunOutcome::Lost | RunOutcome::Stalled => 1.0,
            _ => 0.0,
        };
        match end {
            RunOutcome::NotWritten => return false,
            _ => endpoint.failure_rate += (failed - endpoint.failure_rate) * AVERAGE_WEIGHT,
        }
        let was_suspect = endpoint.suspicion_ms > 0;
        match end {
            RunOutcome::Answered | RunOutcome::Failed | RunOutcome::Rejected => {
                endpoint.clear_suspicion()
            }
            RunOutcome::Misdirected => endpoint.is_misdirected = true,
            RunOutcome::Unreachable => endpoint.suspect(now_ms),
            RunOutcome::Lost | RunOutcome::Stalled => {
                endpoint.losses += 1;
                if was_suspect || endpoint.losses >= LOSSES_SUSPECTED {
                    endpoint.suspect(now_ms);
                }
            }
            RunOutcome::NotWritten | RunOutcome::Expired => {}
        }
        !was_suspect && endpoint.suspicion_ms > 0
    }

    /// Puts an endpoint under suspicion.
    pub fn suspect(&mut self, key: EndpointKey, now_ms: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.suspect(now_ms);
        }
    }

    /// Replaces what another VM says of the load that it puts on endpoints, by the hashes of their ids.
    pub fn set_peer_demand(&mut self, peer: Name, demands: Vec<(u64, Demand)>) {
        self.drop_peer(&peer);
        for (hash, demand) in &demands {
            *self.peer_sums.entry(*hash).or_default() += *demand;
        }
        self.peer_demand.insert(peer, demands);
    }

    /// Forgets the load of a VM that is gone.
    pub fn drop_peer(&mut self, peer: &Name) {
        for (hash, demand) in self.peer_demand.remove(peer).unwrap_or_default() {
            let hash_map::Entry::Occupied(mut sum) = self.peer_sums.entry(hash) else {
                continue;
            };
            *sum.get_mut() -= demand;
            if *sum.get() == Demand::default() {
                sum.remove();
            }
        }
    }

    /// Returns the load that this VM and some others together put on endpoints, by the hashes of their ids.
    pub fn combined_demands<'a>(
        &self,
        others: impl IntoIterator<Item = &'a Name>,
    ) -> Vec<(u64, Demand)> {
        let mut sums: HashMap<u64, Demand> = self.local_demands().into_iter().collect();
        for vm in others {
            for (hash, demand) in self.peer_demand.get(vm).into_iter().flatten() {
                *sums.entry(*hash).or_default() += *demand;
            }
        }
        sums.into_iter().collect()
    }

    /// Returns the load that all VMs together put on an endpoint, as far as known.
    pub fn total_demand(&self, endpoint: &Endpoint) -> Demand {
        let mut sum = endpoint.own;
        if let Some(peers) = self.peer_sums.get(&endpoint.hash) {
            sum += *peers;
        }
        sum
    }

    /// Returns the prompt tokens that an endpoint has still to read, as far as known.
    pub fn unread_tokens(&self, key: EndpointKey) -> u64 {
        let endpoint = self.endpoints.get(key);
        endpoint.map_or(0, |endpoint| {
            self.total_demand(endpoint).total_unread_tokens()
        })
    }

    /// Returns the load that this VM puts on endpoints, by the hashes of their ids; idle endpoints are left out.
    pub fn local_demands(&self) -> Vec<(u64, Demand)> {
        let mut demands = Vec::new();
        for endpoint in self.endpoints.values() {
            if endpoint.own != Demand::default() {
                demands.push((endpoint.hash, endpoint.own));
            }
        }
        demands
    }

    /// Returns the mean time to the first byte over the endpoints of a service, in milliseconds.
    pub fn mean_first_byte_ms(&self, service: &Name) -> f64 {
        let mut sum = 0.0;
        let mut count = 0.0;
        for (_, endpoint) in self.of_service(service) {
            if endpoint.first_byte_ms > 0.0 {
                sum += endpoint.first_byte_ms;
                count += 1.0;
            }
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }
}
