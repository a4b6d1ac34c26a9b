//! Registry of endpoints: their published entries, load, pauses and health.

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
use crate::forwarding::endpoints::limits::LimitNotice;
use crate::forwarding::endpoints::limits::LimitReport;
use crate::forwarding::endpoints::limits::Limits;
use crate::forwarding::endpoints::limits::RateLimit;
use crate::forwarding::endpoints::notices::Incarnation;
use crate::forwarding::endpoints::notices::Notices;
use crate::forwarding::prompt::PrefixCache;
use crate::forwarding::prompt::Prompt;
use crate::forwarding::run::RunOutcome;
use crate::forwarding::software_history::ListSource;
use crate::forwarding::software_history::SoftwareHistory;
use crate::forwarding::stream_origins::SoftwareKey;
use crate::hash::hash_name;

pub mod limits;
pub mod notices;

new_key_type! {
    /// Key of an endpoint; a restarted endpoint gets a new key.
    pub struct EndpointKey;

    /// Key of a run at an endpoint.
    pub struct RunKey;
}

/// Initial backoff of a suspect endpoint, in milliseconds; it doubles with each failure.
const SUSPECT_BACKOFF_MIN_MS: u64 = 500;

/// Maximum backoff of a suspect endpoint, in milliseconds.
const SUSPECT_BACKOFF_MAX_MS: u64 = 4_000;

/// Lost or stalled runs since the last response after which an endpoint is suspect.
const SUSPECT_LOSSES: u32 = 2;

/// Age at which a load report is stale, in milliseconds.
const LOAD_REPORT_STALE_MS: u64 = 1_000;

/// Capacity for removed entries, which are kept so that a late record does not bring an endpoint back.
const REMOVED_ENTRIES_MAX: usize = 4_096;

/// Weight of the newest value in exponentially weighted averages.
const AVERAGE_WEIGHT: f64 = 0.2;

/// Fraction of an engine's memory that is expected to hold cached prompts.
const CACHE_FRACTION: f64 = 0.6;

/// Memory of an engine whose service does not configure it, in tokens.
const DEFAULT_MEMORY_TOKENS: u64 = 400_000;

/// The published entry of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Endpoint id.
    pub id: Name,
    /// Service that the endpoint belongs to.
    pub service: Name,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: Name,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Warm-up time after its start, in milliseconds.
    pub cold_ms: u64,
    /// Unix time of its start, in milliseconds, if published.
    pub born_ms: Option<u64>,
    /// Version of its software; empty if it states none.
    pub version: Name,
    /// Sequence number of the entry within the incarnation; entries may arrive out of order.
    pub sequence: u64,
}

/// Load that an endpoint reports in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Current processing time relative to normal, in percent; 100 is normal.
    pub slowness_percent: u32,
}

/// Number of urgency levels that endpoints distinguish.
pub const URGENCY_LEVELS: usize = 10;

/// Route ranks that are distinguished within the same organisation rank.
const ROUTE_RANKS: u8 = 3;

/// Urgency by which endpoints order waiting requests; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct UrgencyLevel(u8);

impl From<u8> for UrgencyLevel {
    fn from(level: u8) -> Self {
        Self(level.min(URGENCY_LEVELS as u8 - 1))
    }
}

impl UrgencyLevel {
    /// The most urgent level.
    pub const MOST_URGENT: Self = Self(0);

    /// Combines the rank of an organisation with the rank of a route.
    ///
    /// The organisation's rank is compared first. The route's rank breaks ties, so that an engine preempts the least
    /// urgent routes first even if all organisations have the same rank. Without an organisation's rank, the route's
    /// rank is used for both.
    pub fn new(organisation_rank: Option<u8>, route_rank: u8) -> Self {
        let major = organisation_rank.unwrap_or(route_rank);
        let minor = route_rank.min(ROUTE_RANKS - 1);
        Self::from(major.saturating_mul(ROUTE_RANKS).saturating_add(minor))
    }

    /// Returns the level as an array index below [`URGENCY_LEVELS`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl From<UrgencyLevel> for u8 {
    fn from(level: UrgencyLevel) -> Self {
        level.0
    }
}

/// Load that a VM places on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Runs in progress.
    pub runs: u32,
    /// Prompt tokens whose prefill is pending, by [`UrgencyLevel`].
    pub unread_tokens: [u64; URGENCY_LEVELS],
}

impl Demand {
    /// Returns the pending prompt tokens whose prefill precedes that of a new request.
    ///
    /// Engines prefill the prompts of more urgent requests first; pending ones of the same level also come first.
    pub fn unread_tokens_ahead(&self, level: UrgencyLevel) -> u64 {
        self.unread_tokens[..=level.index()].iter().sum()
    }

    /// Returns the prompt tokens whose prefill is pending, over all levels.
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

/// Change of the registry that the caller may have to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// An endpoint was added.
    Added(EndpointKey),
    /// The endpoint has a new incarnation; connections to `old` can no longer be used.
    Restarted {
        /// Key of the previous incarnation.
        old: EndpointKey,
        /// Key of the new incarnation.
        new: EndpointKey,
    },
    /// The endpoint started to drain.
    Draining(EndpointKey),
    /// The endpoint was removed.
    Removed(EndpointKey),
}

/// An endpoint's entry and its observed state.
#[derive(Debug)]
pub struct Endpoint {
    /// Published entry.
    pub entry: Entry,
    /// Hash of the id, the same on all VMs.
    pub hash: u64,
    /// Hash of the id and start time, the same on all VMs.
    pub incarnation: Incarnation,
    /// Version of its service's software.
    pub software: SoftwareKey,
    /// Estimated contents of the prefix cache.
    pub prefix_cache: PrefixCache,
    /// Exponentially weighted average of the time to first byte, in milliseconds; 0 before the first response.
    pub first_byte_ms: f64,
    /// Exponentially weighted average of the fraction of runs that failed.
    pub failure_rate: f64,
    local_demand: Demand,
    responded_at_ms: u64,
    load: Option<(Load, u64)>,
    is_misdirected: bool,
    is_leaving: bool,
    paused_until_ms: u64,
    limit_report: LimitReport,
    /// Times until which this VM was denied permits, in milliseconds, by urgency level.
    denied_until_ms: [u64; URGENCY_LEVELS],
    losses: u32,
    backoff_ms: u64,
    suspect_until_ms: u64,
}

impl Endpoint {
    /// Returns the reported load, unless the report is stale.
    pub fn fresh_load(&self, now_ms: u64) -> Option<Load> {
        let (load, at_ms) = self.load?;
        (now_ms.saturating_sub(at_ms) < LOAD_REPORT_STALE_MS).then_some(load)
    }

    /// Returns whether the endpoint takes requests, apart from a temporary pause or a rate limit.
    pub fn is_usable(&self) -> bool {
        !self.entry.is_draining && !self.is_misdirected && !self.is_leaving
    }

    /// Returns whether the endpoint may take a request of this level now; with a rate limit it needs a permit too.
    pub fn is_available(&self, level: UrgencyLevel, now_ms: u64) -> bool {
        self.is_usable() && now_ms >= self.paused_until_ms && now_ms >= self.denied_until_ms(level)
    }

    /// Returns the end of the pause that the endpoint requested; 0 if it requested none.
    pub fn paused_until_ms(&self) -> u64 {
        self.paused_until_ms
    }

    /// Returns the time at which this VM may ask for a permit for a request of this level; 0 if it may do so now.
    ///
    /// Less urgent requests get no permit while more urgent ones are denied.
    pub fn denied_until_ms(&self, level: UrgencyLevel) -> u64 {
        let more_urgent = &self.denied_until_ms[..=level.index()];
        more_urgent.iter().copied().max().unwrap_or(0)
    }

    /// Returns the rate of requests that the endpoint takes from all VMs together.
    pub fn limit(&self) -> RateLimit {
        self.limit_report.limit
    }

    /// Returns the time at which the response arrived that stated the limit, in milliseconds.
    pub fn limit_received_ms(&self) -> u64 {
        self.limit_report.received_ms
    }

    /// Merges a report and returns the previous limit if it changed.
    fn merge_limit(&mut self, report: LimitReport) -> Option<RateLimit> {
        let before = self.limit();
        self.limit_report = self.limit_report.merge(report);
        if self.limit() == before {
            return None;
        }
        self.denied_until_ms = [0; URGENCY_LEVELS];
        Some(before)
    }

    /// Returns the health of the endpoint.
    pub fn health(&self, now_ms: u64) -> EndpointHealth {
        if self.backoff_ms == 0 {
            return EndpointHealth::Healthy;
        }
        if now_ms < self.suspect_until_ms || self.local_demand.runs > 0 {
            return EndpointHealth::Suspect;
        }
        EndpointHealth::Probation
    }

    fn suspect(&mut self, now_ms: u64) {
        let doubled = self.backoff_ms.saturating_mul(2);
        self.backoff_ms = doubled.clamp(SUSPECT_BACKOFF_MIN_MS, SUSPECT_BACKOFF_MAX_MS);
        self.suspect_until_ms = now_ms + self.backoff_ms;
    }

    fn clear_suspicion(&mut self) {
        self.losses = 0;
        self.backoff_ms = 0;
        self.suspect_until_ms = 0;
    }
}

/// Health of an endpoint, as seen by this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointHealth {
    /// The endpoint is not suspect.
    Healthy,
    /// The backoff has passed; a single repeatable request may probe the endpoint.
    Probation,
    /// The endpoint failed, and the backoff has not passed or a run is in progress.
    Suspect,
}

#[derive(Debug)]
struct Run {
    endpoint: EndpointKey,
    level: UrgencyLevel,
    unread_tokens: u64,
}

/// Registry of all known endpoints and the runs in progress.
#[derive(Debug, Default)]
pub struct Endpoints {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    runs: SlotMap<RunKey, Run>,
    by_id: HashMap<Name, EndpointKey>,
    by_incarnation: HashMap<Incarnation, EndpointKey>,
    by_service: HashMap<Name, Vec<EndpointKey>>,
    peer_demand: HashMap<Name, Vec<(u64, Demand)>>,
    /// Sum of `peer_demand` over the VMs; maintained incrementally because each request reads it for all endpoints.
    peer_sums: HashMap<u64, Demand>,
    deferred: HashMap<Name, Deferral>,
    removed: HashMap<Name, (Option<u64>, u64)>,
    backlog_since_ms: Option<u64>,
    is_source_lost: bool,
    /// Time until which a list may lack entries of living endpoints, in milliseconds.
    incomplete_until_ms: u64,
    revisions: Revisions,
    notices: Notices,
    limits: Limits,
    software_history: SoftwareHistory,
}

/// A removal that is carried out unless the entry is renewed before.
#[derive(Clone, Copy, Debug)]
struct Deferral {
    due_ms: u64,
    cause: DeferralCause,
}

/// Reason why an entry may be missing although its endpoint is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DeferralCause {
    /// It may have expired while this VM could not read the source.
    SourceLost,
    /// The source continues from an older copy of its data, for all VMs.
    SourceRestored,
}

/// Records of one endpoint that show that the source was available during the gap.
///
/// A source that was unavailable itself holds at most two: one from before its outage and one from after it.
const SOURCE_ALIVE_RECORDS: usize = 3;

/// Time after the recovery of the registry's source in which missing entries may be renewed, in milliseconds.
///
/// Entries can expire while the source is unavailable, or be lost with its latest data, even though their endpoints are
/// alive.
pub const EXPIRY_GRACE_MS: u64 = 2_000;

impl Entry {
    /// Returns whether another entry of the same endpoint differs at most in its sequence number and warm-up time.
    fn has_same_content(&self, other: &Self) -> bool {
        let renumbered = Self {
            sequence: other.sequence,
            cold_ms: other.cold_ms,
            ..self.clone()
        };
        renumbered == *other
    }
}

impl Endpoints {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty registry of endpoints that renew their entries every `report_ms`.
    pub fn with_reports(report_ms: u64) -> Self {
        Self {
            software_history: SoftwareHistory::new(report_ms),
            ..Self::default()
        }
    }

    /// Adds or updates an entry; an entry that is older than the known one is ignored.
    pub fn update(&mut self, entry: Entry) -> Option<Change> {
        let Some(key) = self.by_id.get(&entry.id).copied() else {
            let removed = self.removed.get(&entry.id);
            let is_old =
                removed.is_some_and(|(born_ms, sequence)| match (entry.born_ms, *born_ms) {
                    (Some(born), Some(removed)) if born != removed => born < removed,
                    (born, removed) => born == removed && entry.sequence <= *sequence,
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
        let is_renewed = self.deferred.remove(&entry.id).is_some();
        let is_same = known.entry.born_ms == entry.born_ms
            && known.entry.address == entry.address
            && known.entry.service == entry.service
            && known.entry.version == entry.version;
        if !is_same {
            self.remove_now(&entry.id.clone());
            let new = self.insert(entry);
            return Some(Change::Restarted { old: key, new });
        }
        let starts_draining = entry.is_draining && !known.entry.is_draining;
        if is_renewed || !known.entry.has_same_content(&entry) {
            self.revisions.note_change(&entry.id);
        }
        known.entry = entry;
        starts_draining.then_some(Change::Draining(key))
    }

    /// Removes an entry.
    ///
    /// A removal that was recorded while the source was unavailable is deferred to [`Endpoints::remove_due`].
    pub fn remove(&mut self, id: &Name, now_ms: u64) -> Option<Change> {
        if let Some(due_ms) = self.deferral_end_ms(now_ms) {
            self.defer(id, due_ms, DeferralCause::SourceLost);
            return None;
        }
        self.remove_now(id).map(Change::Removed)
    }

    fn defer(&mut self, id: &Name, due_ms: u64, cause: DeferralCause) {
        if self.by_id.contains_key(id) {
            let deferral = Deferral { due_ms, cause };
            self.deferred.entry(id.clone()).or_insert(deferral);
        }
    }

    /// Drains an endpoint whose newest entry cannot be decoded, until a valid entry arrives.
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

    /// Removes all entries that are missing from a complete list of ids; returns the changes by id.
    ///
    /// After [`Endpoints::mark_source_restored`] such removals are deferred too.
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
            if now_ms < self.incomplete_until_ms {
                self.defer(&id, self.incomplete_until_ms, DeferralCause::SourceRestored);
                continue;
            }
            if let Some(change) = self.remove(&id, now_ms) {
                changes.push((id, change));
            }
        }
        changes
    }

    /// Records that the source of the registry cannot be read.
    pub fn mark_source_lost(&mut self) {
        self.is_source_lost = true;
    }

    /// Records that the source of the registry can be read again; the records of the gap (the backlog) follow.
    ///
    /// `records_max` is the largest number of backlog records of any one endpoint. Endpoints write at a steady rate, so
    /// several records of one endpoint show that the source was available and only this VM was cut off. The removals in
    /// the backlog are current in that case and are not deferred.
    pub fn mark_source_recovered(&mut self, records_max: usize, now_ms: u64) {
        if std::mem::take(&mut self.is_source_lost) && records_max < SOURCE_ALIVE_RECORDS {
            self.backlog_since_ms = Some(now_ms);
        }
    }

    /// Records that the source continues from an older copy of its data, so that lists lack entries of living endpoints
    /// until these are renewed.
    pub fn mark_source_restored(&mut self, now_ms: u64) {
        self.incomplete_until_ms = now_ms + EXPIRY_GRACE_MS;
    }

    /// Records that the backlog has been processed; later removals are current.
    pub fn finish_backlog(&mut self) {
        self.backlog_since_ms = None;
    }

    /// Carries out the deferred removals that are due; returns the changes by id.
    pub fn remove_due(&mut self, now_ms: u64) -> Vec<(Name, Change)> {
        let mut due = Vec::new();
        for (id, deferral) in &self.deferred {
            if deferral.due_ms <= now_ms {
                due.push(id.clone());
            }
        }
        let mut changes = Vec::new();
        for id in due {
            self.deferred.remove(&id);
            if let Some(key) = self.remove_now(&id) {
                changes.push((id, Change::Removed(key)));
            }
        }
        changes
    }

    fn deferral_end_ms(&self, now_ms: u64) -> Option<u64> {
        let due_ms = self.backlog_since_ms? + EXPIRY_GRACE_MS;
        (now_ms < due_ms).then_some(due_ms)
    }

    fn insert(&mut self, entry: Entry) -> EndpointKey {
        let id = entry.id.clone();
        let service = entry.service.clone();
        self.revisions.note_change(&id);
        let incarnation = Incarnation::from(&entry);
        let software = SoftwareKey::new(&service, &entry.version);
        self.software_history.record_change(&service, software);
        let endpoint = Endpoint {
            hash: hash_name(id.as_str()),
            incarnation,
            software,
            entry,
            prefix_cache: PrefixCache::default(),
            first_byte_ms: 0.0,
            failure_rate: 0.0,
            local_demand: Demand::default(),
            responded_at_ms: 0,
            load: None,
            is_misdirected: false,
            is_leaving: self.notices.is_leaving(incarnation),
            paused_until_ms: self.notices.paused_until_ms(incarnation),
            limit_report: self.limits.report(incarnation),
            denied_until_ms: [0; URGENCY_LEVELS],
            losses: 0,
            backoff_ms: 0,
            suspect_until_ms: 0,
        };
        let key = self.endpoints.insert(endpoint);
        self.by_id.insert(id, key);
        self.by_incarnation.insert(incarnation, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    fn remove_now(&mut self, id: &Name) -> Option<EndpointKey> {
        let key = self.by_id.remove(id)?;
        let endpoint = self.endpoints.remove(key)?;
        self.by_incarnation.remove(&endpoint.incarnation);
        self.revisions.note_removal(id);
        if self.removed.len() >= REMOVED_ENTRIES_MAX {
            self.removed.clear();
        }
        let last = (endpoint.entry.born_ms, endpoint.entry.sequence);
        self.removed.insert(id.clone(), last);
        if let Some(keys) = self.by_service.get_mut(&endpoint.entry.service) {
            keys.retain(|other| *other != key);
        }
        self.software_history
            .record_change(&endpoint.entry.service, endpoint.software);
        Some(key)
    }

    /// Returns whether removals are deferred that VMs which could read the source all the time have carried out.
    pub fn withholds_removals(&self) -> bool {
        let mut deferrals = self.deferred.values();
        deferrals.any(|deferral| deferral.cause == DeferralCause::SourceLost)
    }

    /// Returns the changes after a revision, or the whole registry for `None`.
    ///
    /// Entries whose removal is deferred are left out: an entry that another VM reports counts as renewed. So are
    /// removals of endpoints that were added again, whose new entry the other VM may know already.
    pub fn delta_since(&self, since: Option<u64>) -> Delta<'_> {
        let mut delta = self.revisions.delta_since(since);
        delta.removed.retain(|id| !self.by_id.contains_key(*id));
        delta.changed.retain(|id| !self.deferred.contains_key(*id));
        delta
    }

    /// Returns the revision of the last change.
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

    /// Returns whether the registry is empty.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Records that the list of endpoints was complete as of a time.
    ///
    /// Returns the time since it was complete before, in milliseconds, if a software version can have come and gone unseen.
    pub fn confirm_list(&mut self, as_of_ms: u64, source: &ListSource, now_ms: u64) -> Option<u64> {
        for endpoint in self.endpoints.values() {
            self.software_history
                .record(&endpoint.entry.service, endpoint.software, as_of_ms);
        }
        self.software_history.confirm(as_of_ms, source, now_ms)
    }

    /// Returns the software versions that have served lately.
    pub fn software_history(&self) -> &SoftwareHistory {
        &self.software_history
    }

    /// Returns the software versions that have served lately, to add to them.
    pub fn software_history_mut(&mut self) -> &mut SoftwareHistory {
        &mut self.software_history
    }

    /// Returns whether a run's endpoint still has the software that it had when the run began.
    ///
    /// An endpoint that is not listed any more has not changed.
    pub fn has_software(&self, id: &Name, software: SoftwareKey) -> bool {
        let endpoint = self.find(id).and_then(|key| self.endpoints.get(key));
        endpoint.is_none_or(|endpoint| endpoint.software == software)
    }

    /// Returns whether an endpoint with a software version is listed.
    pub fn has_endpoint_with(&self, service: &Name, software: SoftwareKey) -> bool {
        self.of_service(service)
            .any(|(_, endpoint)| endpoint.software == software && endpoint.is_usable())
    }

    /// Returns the endpoints of a service.
    pub fn of_service(&self, service: &Name) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter_map(|key| Some((*key, self.endpoints.get(*key)?)))
    }

    /// Records the start of a run and returns its key.
    ///
    /// `fetched_tokens` of the prompt are fetched from another engine and need no prefill.
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
                let reusable = endpoint
                    .prefix_cache
                    .cached_tokens(prompt)
                    .max(fetched_tokens);
                unread_tokens = prompt.tokens.saturating_sub(reusable);
                let memory = memory_tokens.unwrap_or(DEFAULT_MEMORY_TOKENS);
                let capacity = (memory as f64 * CACHE_FRACTION) as u64;
                endpoint.prefix_cache.record(prompt, now_ms, capacity);
            }
            endpoint.local_demand.runs += 1;
            endpoint.local_demand.unread_tokens[level.index()] += unread_tokens;
        }
        self.runs.insert(Run {
            endpoint: key,
            level,
            unread_tokens,
        })
    }

    /// Records the first byte of a response, `waited_ms` after the request was sent.
    pub fn record_first_byte(&mut self, run: RunKey, waited_ms: u64) {
        let Some(run) = self.runs.get_mut(run) else {
            return;
        };
        let unread_tokens = std::mem::take(&mut run.unread_tokens);
        let Some(endpoint) = self.endpoints.get_mut(run.endpoint) else {
            return;
        };
        endpoint.local_demand.unread_tokens[run.level.index()] -= unread_tokens;
        let average = &mut endpoint.first_byte_ms;
        let weight = if *average == 0.0 { 1.0 } else { AVERAGE_WEIGHT };
        *average += (waited_ms as f64 - *average) * weight;
    }

    /// Records that bytes of a response arrived from an endpoint.
    pub fn record_response(&mut self, key: EndpointKey, now_ms: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.responded_at_ms = now_ms;
        }
    }

    /// Returns whether bytes of any response arrived from an endpoint after `since_ms`.
    pub fn has_responded_since(&self, key: EndpointKey, since_ms: u64) -> bool {
        self.endpoints
            .get(key)
            .is_some_and(|endpoint| endpoint.responded_at_ms > since_ms)
    }

    /// Records the load that an endpoint reported.
    pub fn record_load(&mut self, key: EndpointKey, load: Load, now_ms: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.load = Some((load, now_ms));
        }
    }

    /// Records that an endpoint announced that it is leaving; returns whether this was not known.
    pub fn record_leaving(&mut self, key: EndpointKey) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return false;
        };
        endpoint.is_leaving = true;
        self.notices.add_leaving(endpoint.incarnation)
    }

    /// Merges the leaving endpoints known to another VM; returns the keys of those that were not known to be leaving.
    pub fn merge_leaving(&mut self, incarnations: &[Incarnation]) -> Vec<EndpointKey> {
        let mut newly_leaving = Vec::new();
        for incarnation in incarnations {
            if !self.notices.add_leaving(*incarnation) {
                continue;
            }
            // The endpoint may not be in the registry yet; the notice applies to an entry that arrives later.
            let Some(key) = self.find_incarnation(*incarnation) else {
                continue;
            };
            if let Some(endpoint) = self.endpoints.get_mut(key) {
                endpoint.is_leaving = true;
                newly_leaving.push(key);
            }
        }
        newly_leaving
    }

    /// Returns the endpoints in the registry that are known to be leaving, at most `max`.
    pub fn leaving_endpoints(&self, max: usize) -> Vec<Incarnation> {
        let endpoints = self.endpoints.values();
        let leaving = endpoints.filter(|endpoint| endpoint.is_leaving);
        leaving
            .map(|endpoint| endpoint.incarnation)
            .take(max)
            .collect()
    }

    /// Records that an endpoint requested a pause, during which this VM sends it no requests.
    pub fn pause(&mut self, key: EndpointKey, for_ms: u64, now_ms: u64) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let until_ms = now_ms.saturating_add(for_ms);
        endpoint.paused_until_ms = endpoint.paused_until_ms.max(until_ms);
        self.notices.pause(endpoint.incarnation, until_ms, now_ms);
    }

    /// Records the limit that an endpoint stated in a response; returns the previous limit if it changed.
    pub fn record_limit(
        &mut self,
        key: EndpointKey,
        report: LimitReport,
        now_ms: u64,
    ) -> Option<RateLimit> {
        let endpoint = self.endpoints.get_mut(key)?;
        let before = endpoint.merge_limit(report);
        self.limits
            .merge(endpoint.incarnation, endpoint.limit_report, now_ms);
        before
    }

    /// Merges limits known to another VM; returns the endpoints whose limit changed, with their previous limits.
    pub fn merge_limits(
        &mut self,
        notices: &[LimitNotice],
        now_ms: u64,
    ) -> Vec<(EndpointKey, RateLimit)> {
        let mut changes = Vec::new();
        for notice in notices {
            let report = notice.report(now_ms);
            // The endpoint may not be in the registry yet; the limit applies to an entry that arrives later.
            let Some(key) = self.find_incarnation(notice.endpoint) else {
                self.limits.merge(notice.endpoint, report, now_ms);
                continue;
            };
            if let Some(before) = self.record_limit(key, report, now_ms) {
                changes.push((key, before));
            }
        }
        changes
    }

    /// Returns what this VM knows of the limit of an endpoint.
    pub fn limit_notice(&self, incarnation: Incarnation, now_ms: u64) -> LimitNotice {
        let endpoint = self
            .find_incarnation(incarnation)
            .and_then(|key| self.endpoints.get(key));
        let report = match endpoint {
            Some(endpoint) => endpoint.limit_report,
            None => self.limits.report(incarnation),
        };
        LimitNotice::new(incarnation, report, now_ms)
    }

    /// Returns the limits to report to other VMs, at most `max`.
    pub fn limit_notices(&self, max: usize, now_ms: u64) -> Vec<LimitNotice> {
        self.limits.notices(max, now_ms)
    }

    /// Removes limits that need not be reported any longer.
    pub fn expire_limits(&mut self, now_ms: u64) {
        let listed = &self.by_incarnation;
        self.limits
            .expire(|incarnation| listed.contains_key(&incarnation), now_ms);
    }

    /// Records that this VM was denied a permit; until it may ask again, requests of this level go elsewhere.
    pub fn deny(&mut self, key: EndpointKey, level: UrgencyLevel, until_ms: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.denied_until_ms[level.index()] = until_ms;
        }
    }

    /// Returns the key of an incarnation that has an entry.
    pub fn find_incarnation(&self, incarnation: Incarnation) -> Option<EndpointKey> {
        self.by_incarnation.get(&incarnation).copied()
    }

    /// Releases a run whose caller disconnected, without an effect on the endpoint's health.
    pub fn release_run(&mut self, run: RunKey) {
        let Some(run) = self.runs.remove(run) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(run.endpoint) {
            endpoint.local_demand.runs -= 1;
            endpoint.local_demand.unread_tokens[run.level.index()] -= run.unread_tokens;
        }
    }

    /// Releases a run and updates the endpoint's health; returns whether the endpoint became suspect.
    pub fn end_run(&mut self, run: RunKey, outcome: RunOutcome, now_ms: u64) -> bool {
        let key = self.runs.get(run).map(|run| run.endpoint);
        self.release_run(run);
        let Some(endpoint) = key.and_then(|key| self.endpoints.get_mut(key)) else {
            return false;
        };
        let failure = match outcome {
            RunOutcome::Failed | RunOutcome::Lost | RunOutcome::Stalled => 1.0,
            _ => 0.0,
        };
        match outcome {
            RunOutcome::NotWritten => return false,
            _ => endpoint.failure_rate += (failure - endpoint.failure_rate) * AVERAGE_WEIGHT,
        }
        let was_suspect = endpoint.backoff_ms > 0;
        match outcome {
            RunOutcome::Answered | RunOutcome::Failed | RunOutcome::Rejected => {
                endpoint.clear_suspicion()
            }
            RunOutcome::Misdirected => endpoint.is_misdirected = true,
            RunOutcome::Unreachable => endpoint.suspect(now_ms),
            RunOutcome::Lost | RunOutcome::Stalled => {
                endpoint.losses += 1;
                if was_suspect || endpoint.losses >= SUSPECT_LOSSES {
                    endpoint.suspect(now_ms);
                }
            }
            RunOutcome::NotWritten | RunOutcome::Expired => {}
        }
        !was_suspect && endpoint.backoff_ms > 0
    }

    /// Marks an endpoint as suspect.
    pub fn suspect(&mut self, key: EndpointKey, now_ms: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.suspect(now_ms);
        }
    }

    /// Replaces the load that another VM places on endpoints, by endpoint id hash.
    pub fn set_peer_demand(&mut self, peer: Name, demands: Vec<(u64, Demand)>) {
        self.drop_peer(&peer);
        for (hash, demand) in &demands {
            *self.peer_sums.entry(*hash).or_default() += *demand;
        }
        self.peer_demand.insert(peer, demands);
    }

    /// Removes the load of another VM.
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

    /// Returns the combined load of this VM and `others` on endpoints, by endpoint id hash.
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

    /// Returns the combined load of all known VMs on an endpoint.
    pub fn total_demand(&self, endpoint: &Endpoint) -> Demand {
        let mut sum = endpoint.local_demand;
        if let Some(peers) = self.peer_sums.get(&endpoint.hash) {
            sum += *peers;
        }
        sum
    }

    /// Returns the prompt tokens whose prefill is pending at an endpoint, over all known VMs.
    pub fn unread_tokens(&self, key: EndpointKey) -> u64 {
        let endpoint = self.endpoints.get(key);
        endpoint.map_or(0, |endpoint| {
            self.total_demand(endpoint).total_unread_tokens()
        })
    }

    /// Returns the load of this VM on endpoints, by endpoint id hash; endpoints without load are omitted.
    pub fn local_demands(&self) -> Vec<(u64, Demand)> {
        let mut demands = Vec::new();
        for endpoint in self.endpoints.values() {
            if endpoint.local_demand != Demand::default() {
                demands.push((endpoint.hash, endpoint.local_demand));
            }
        }
        demands
    }

    /// Returns the mean time to first byte over the endpoints of a service, in milliseconds; 0 before any response.
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
