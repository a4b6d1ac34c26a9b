//! Attributes crashes of endpoints to parts that prompts share.
//!
//! One part of a prompt may crash each endpoint that begins to answer it, whatever else the request holds. A report names
//! the shared parts of a run that an endpoint had only begun to answer when it crashed. A part is cleared by an answer with
//! it that went on. What the crashes have in common and nothing has cleared is refused; until that is certain, requests
//! with such a part are sent one at a time.
//!
//! Reports and clearances are exchanged between VMs. They carry ages instead of timestamps, and merging them is idempotent
//! and independent of order.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::forwarding::endpoints::notices::Incarnation;
use crate::hash::mix;

new_key_type! {
    /// Key of a report.
    struct ReportKey;
}

/// Most parts in a report; the last ones of a longer prompt are kept, since the first ones are shared most.
pub const PARTS_MAX: usize = 8;

/// Most reports that are kept.
const REPORTS_MAX: usize = 256;

/// Most evicted reports that are remembered, so that they are not learned again from other VMs.
const EVICTED_MAX: usize = 16_384;

/// Most clearances that are kept in memory.
const CLEARANCES_MAX: usize = 8_192;

/// Time for which reports, and the clearances that concern them, are kept, in milliseconds.
const LIFETIME_MS: u64 = 3_600_000;

/// Time after an answer that went on in which a crash is not attributed to its parts, in milliseconds.
const CLEAR_MS: u64 = 5_000;

/// Time within which several endpoints that crash count as one event, in milliseconds.
///
/// Endpoints that are lost together have a common cause other than a request.
const EVENT_MS: u64 = 250;

/// Events after which a part is refused.
const EVENTS_REFUSED: usize = 3;

/// Crashes after which a part is refused, if they were more than one event.
const CRASHES_REFUSED: usize = 5;

/// Time in which all VMs learn of a crash, in milliseconds.
const LEARN_MS: u64 = 3_000;

/// Most clearances that are sent to other VMs.
const SPREAD_MAX: usize = 1_024;

/// Organisations whose requests have to crash endpoints for the part to be refused to others, too.
const ORGANISATIONS_REFUSED: usize = 3;

/// Time from the last crash to the next trial of a refused part, by the number of trials before it, in milliseconds.
///
/// After the last one there are no more trials until the reports expire.
const TRIAL_DELAYS_MS: [u64; 3] = [10_000, 60_000, 300_000];

/// Time for which a request with a part that is not tried any more is told to stay away, in milliseconds.
const REFUSED_MS: u64 = 300_000;

/// Hash of a prompt part's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey(pub u64);

/// Whose prompts are judged together: those of one organisation for one service.
///
/// Callers choose the ids of parts, so an organisation must not be able to get the parts of another one refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Scope {
    /// Hash of the organisation's name; 0 if there is none.
    pub organisation: u64,
    /// Hash of the service's name.
    pub service: u64,
}

/// A run that an endpoint had only begun to answer, or not yet, when it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Endpoint that crashed.
    pub endpoint: Incarnation,
    /// Whose prompt it was.
    pub scope: Scope,
    /// Shared parts of the prompt, in order.
    pub parts: Vec<PartKey>,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// An answer that went on although its prompt had a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clearance {
    /// Whose prompt it was.
    pub scope: Scope,
    /// The part.
    pub part: PartKey,
    /// Time since the answer, in milliseconds.
    pub age_ms: u64,
}

/// What is known of a prompt's parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// None of them is suspected.
    Clear,
    /// A request with this part may be sent if no other one is under way.
    Suspect(PartKey),
    /// The part is refused, but one request with it may be sent now.
    TrialDue {
        /// The part.
        part: PartKey,
        /// Time in which no further one may follow, in milliseconds.
        hold_ms: u64,
    },
    /// The request must not be sent.
    Refused {
        /// The part.
        part: PartKey,
        /// Time until a request with it may be tried again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// State of a part as it is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartState {
    /// Requests with it are sent one at a time.
    Suspect,
    /// Requests with it are refused.
    Refused,
}

/// A change in the state of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// Whose prompts it concerns.
    pub scope: Scope,
    /// The part.
    pub part: PartKey,
    /// Its state now; `None` if it is not suspected any more.
    pub state: Option<PartState>,
    /// Whether an answer with it went on, as opposed to reports that expired.
    pub is_cleared: bool,
    /// Other parts that were in each of the crashed prompts; requests without all of them are not refused.
    pub companions: Vec<PartKey>,
    /// Endpoints that crashed under it.
    pub endpoints: Vec<Incarnation>,
}

#[derive(Clone, Debug)]
struct Report {
    endpoint: Incarnation,
    scope: Scope,
    parts: Vec<PartKey>,
    at_ms: u64,
    learned_at_ms: u64,
}

impl Report {
    /// Returns what tells the report from others, whoever learned it and when.
    fn id(&self) -> ReportId {
        let mut hash = mix(self.endpoint.0) ^ self.scope.organisation;
        hash = mix(hash) ^ self.scope.service;
        for part in &self.parts {
            hash = mix(hash) ^ part.0;
        }
        ReportId(mix(hash))
    }
}

/// Hash of the endpoint, the scope and the parts of a report, the same on all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ReportId(u64);

/// Reports that were evicted, the latest ones.
#[derive(Debug, Default)]
struct EvictedReports {
    ids: HashSet<ReportId>,
    order: VecDeque<ReportId>,
}

impl EvictedReports {
    fn insert(&mut self, id: ReportId) {
        if !self.ids.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > EVICTED_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }
}

/// Reports of crashes, and the parts that answers have cleared.
#[derive(Debug, Default)]
pub struct CrashingParts {
    reports: SlotMap<ReportKey, Report>,
    by_id: HashMap<ReportId, ReportKey>,
    /// Reports by service and part.
    by_part: HashMap<(u64, PartKey), Vec<ReportKey>>,
    evicted: EvictedReports,
    /// Latest answer that went on, by scope and part.
    cleared_at_ms: HashMap<(Scope, PartKey), u64>,
    /// Latest answer to any organisation that went on, by service and part.
    cleared_for_any_at_ms: HashMap<(u64, PartKey), u64>,
    /// Clearances that concern a report, with the time at which they were learned.
    spread: HashMap<(Scope, PartKey), u64>,
    states: HashMap<(Scope, PartKey), PartState>,
}

impl CrashingParts {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the shared parts of a run that an endpoint had only begun to answer when it crashed at `at_ms`.
    pub fn record_crash(
        &mut self,
        endpoint: Incarnation,
        scope: Scope,
        parts: &[PartKey],
        at_ms: u64,
        now_ms: u64,
    ) {
        let parts = &parts[parts.len().saturating_sub(PARTS_MAX)..];
        self.add(endpoint, scope, parts.to_vec(), at_ms, now_ms);
    }

    /// Records an answer that went on; returns whether it cleared a part that is named in a report.
    pub fn record_answer(&mut self, scope: Scope, parts: &[PartKey], now_ms: u64) -> bool {
        let mut is_news = false;
        for part in parts {
            is_news |= self.clear(scope, *part, now_ms, now_ms);
        }
        is_news
    }

    /// Merges what another VM knows; returns whether some of it was new.
    pub fn merge(
        &mut self,
        reports: &[CrashReport],
        clearances: &[Clearance],
        now_ms: u64,
    ) -> bool {
        let mut is_news = false;
        // Reports come first, so that a clearance finds those that it concerns.
        for report in reports {
            let at_ms = now_ms.saturating_sub(report.age_ms);
            if report.age_ms < LIFETIME_MS {
                let parts = report.parts.clone();
                is_news |= self.add(report.endpoint, report.scope, parts, at_ms, now_ms);
            }
        }
        for clearance in clearances {
            let at_ms = now_ms.saturating_sub(clearance.age_ms);
            if clearance.age_ms < LIFETIME_MS {
                is_news |= self.clear(clearance.scope, clearance.part, at_ms, now_ms);
            }
        }
        is_news
    }

    fn add(
        &mut self,
        endpoint: Incarnation,
        scope: Scope,
        parts: Vec<PartKey>,
        at_ms: u64,
        now_ms: u64,
    ) -> bool {
        if parts.is_empty() {
            return false;
        }
        for part in &parts {
            // The others may not know that the part is sound.
            if self.is_cleared(scope, *part, at_ms) {
                self.spread.entry((scope, *part)).or_insert(now_ms);
            }
        }
        self.bound_spread();
        let report = Report {
            endpoint,
            scope,
            parts,
            at_ms,
            learned_at_ms: now_ms,
        };
        let id = report.id();
        if let Some(known) = self
            .by_id
            .get(&id)
            .and_then(|key| self.reports.get_mut(*key))
        {
            // A report looks younger by the transit time after each exchange; it must expire all the same.
            known.at_ms = known.at_ms.min(at_ms);
            return false;
        }
        // VMs that evict different reports would otherwise learn them from each other again and again.
        if self.evicted.ids.contains(&id) {
            return false;
        }
        let key = self.insert(id, report);
        self.reports.len() <= REPORTS_MAX || self.evict() != Some(key)
    }

    fn insert(&mut self, id: ReportId, report: Report) -> ReportKey {
        let service = report.scope.service;
        let parts: HashSet<PartKey> = report.parts.iter().copied().collect();
        let key = self.reports.insert(report);
        for part in parts {
            self.by_part.entry((service, part)).or_default().push(key);
        }
        self.by_id.insert(id, key);
        key
    }

    fn remove(&mut self, key: ReportKey) -> Option<ReportId> {
        let report = self.reports.remove(key)?;
        for part in &report.parts {
            let place = (report.scope.service, *part);
            let Some(keys) = self.by_part.get_mut(&place) else {
                continue;
            };
            keys.retain(|known| *known != key);
            if keys.is_empty() {
                self.by_part.remove(&place);
            }
        }
        let id = report.id();
        self.by_id.remove(&id);
        Some(id)
    }

    /// Removes the oldest report of the organisation that has most of them, and returns its key.
    fn evict(&mut self) -> Option<ReportKey> {
        let mut counts: HashMap<u64, usize> = HashMap::new();
        for report in self.reports.values() {
            *counts.entry(report.scope.organisation).or_default() += 1;
        }
        let reports = self.reports.iter();
        let (oldest, _) = reports.max_by_key(|(_, report)| {
            let count = counts[&report.scope.organisation];
            (count, u64::MAX - report.at_ms)
        })?;
        let id = self.remove(oldest)?;
        self.evicted.insert(id);
        Some(oldest)
    }

    /// Returns the reports of a service that name a part.
    fn naming(&self, service: u64, part: PartKey) -> impl Iterator<Item = &Report> {
        let keys = self
            .by_part
            .get(&(service, part))
            .map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.reports.get(*key))
    }

    fn clear(&mut self, scope: Scope, part: PartKey, at_ms: u64, now_ms: u64) -> bool {
        let known = self.cleared_at_ms.entry((scope, part)).or_insert(0);
        let before_ms = *known;
        *known = at_ms.max(before_ms);
        let known_for_any = self
            .cleared_for_any_at_ms
            .entry((scope.service, part))
            .or_insert(0);
        *known_for_any = at_ms.max(*known_for_any);
        let concerns = |report: &Report| {
            report.scope == scope
                && report.at_ms <= at_ms + CLEAR_MS
                && (before_ms == 0 || report.at_ms > before_ms + CLEAR_MS)
        };
        let is_news = self.naming(scope.service, part).any(concerns);
        if is_news {
            self.spread.insert((scope, part), now_ms);
            self.bound_spread();
        }
        if self.cleared_at_ms.len() > CLEARANCES_MAX {
            self.forget_clearances(now_ms);
        }
        is_news
    }

    /// Removes the clearances that were learned first if there are too many.
    fn bound_spread(&mut self) {
        while self.spread.len() > SPREAD_MAX {
            let oldest = self.spread.iter().min_by_key(|(_, at_ms)| **at_ms);
            let Some(key) = oldest.map(|(key, _)| *key) else {
                break;
            };
            self.spread.remove(&key);
        }
    }

    /// Removes clearances that concern no report: those that protect no part any more, or else all.
    fn forget_clearances(&mut self, now_ms: u64) {
        let spread = &self.spread;
        self.cleared_at_ms
            .retain(|key, at_ms| spread.contains_key(key) || now_ms < *at_ms + CLEAR_MS);
        if self.cleared_at_ms.len() > CLEARANCES_MAX / 2 {
            self.cleared_at_ms.retain(|key, _| spread.contains_key(key));
        }
        self.cleared_for_any_at_ms.clear();
        for ((scope, part), at_ms) in &self.cleared_at_ms {
            let known = self
                .cleared_for_any_at_ms
                .entry((scope.service, *part))
                .or_insert(0);
            *known = (*known).max(*at_ms);
        }
    }

    /// Returns whether a crash at `at_ms` is not attributed to a part.
    fn is_cleared(&self, scope: Scope, part: PartKey, at_ms: u64) -> bool {
        let cleared_at_ms = self.cleared_at_ms.get(&(scope, part));
        cleared_at_ms.is_some_and(|cleared_at_ms| at_ms <= cleared_at_ms + CLEAR_MS)
    }

    /// Returns the reports that name a part and that no answer explains away, as seen by an organisation.
    ///
    /// For reports of other organisations, an answer to any organisation does.
    fn reports_of(&self, scope: Scope, part: PartKey) -> Vec<&Report> {
        let mut found = Vec::new();
        for report in self.naming(scope.service, part) {
            let is_cleared = match report.scope == scope {
                true => self.is_cleared(scope, part, report.at_ms),
                false => self.is_cleared_by_any(scope.service, part, report.at_ms),
            };
            if !is_cleared {
                found.push(report);
            }
        }
        found
    }

    fn is_cleared_by_any(&self, service: u64, part: PartKey, at_ms: u64) -> bool {
        let cleared_at_ms = self.cleared_for_any_at_ms.get(&(service, part));
        cleared_at_ms.is_some_and(|cleared_at_ms| at_ms <= cleared_at_ms + CLEAR_MS)
    }

    /// Returns what is known of the shared parts of a prompt.
    pub fn judge(&self, scope: Scope, parts: &[PartKey], now_ms: u64) -> Standing {
        let mut suspect: Option<(usize, PartKey)> = None;
        if self.reports.is_empty() {
            return Standing::Clear;
        }
        for part in parts {
            let reports = self.reports_of(scope, *part);
            if reports.is_empty() {
                continue;
            }
            let crashes = Crashes::new(&reports);
            let is_own = reports.iter().any(|report| report.scope == scope);
            let is_explained = || {
                let companions = self.companions(&reports, *part);
                companions.iter().all(|part| parts.contains(part))
            };
            if crashes.is_refusable(is_own) && is_explained() {
                return crashes.refusal(*part, now_ms);
            }
            // Of parts with the same crashes, the later one is shared by fewer requests.
            let count = crashes.times_ms.len();
            if suspect.is_none_or(|(most, _)| count >= most) {
                suspect = Some((count, *part));
            }
        }
        suspect.map_or(Standing::Clear, |(_, part)| Standing::Suspect(part))
    }

    /// Returns the other parts that were in each of the crashed prompts with `part` and are not cleared.
    ///
    /// The crashes may be due to them, so a prompt that lacks one of them must not be refused.
    fn companions(&self, reports: &[&Report], part: PartKey) -> Vec<PartKey> {
        let Some((first, rest)) = reports.split_first() else {
            return Vec::new();
        };
        let mut companions = Vec::new();
        for companion in &first.parts {
            let is_common = rest.iter().all(|report| report.parts.contains(companion));
            let is_cleared = reports
                .iter()
                .any(|report| self.is_cleared(report.scope, *companion, report.at_ms));
            if *companion != part && is_common && !is_cleared {
                companions.push(*companion);
            }
        }
        companions
    }

    /// Removes what has expired, and returns the parts whose state has changed since the last call.
    pub fn update(&mut self, now_ms: u64) -> Vec<Transition> {
        let is_fresh = |at_ms: u64| now_ms.saturating_sub(at_ms) < LIFETIME_MS;
        let reports = self.reports.iter();
        let expired = reports.filter(|(_, report)| !is_fresh(report.at_ms));
        let expired: Vec<ReportKey> = expired.map(|(key, _)| key).collect();
        for key in expired {
            self.remove(key);
        }
        self.spread.retain(|_, at_ms| is_fresh(*at_ms));
        if self.reports.is_empty() && self.states.is_empty() {
            return Vec::new();
        }
        let mut named: HashSet<(Scope, PartKey)> = self.states.keys().copied().collect();
        for report in self.reports.values() {
            named.extend(report.parts.iter().map(|part| (report.scope, *part)));
        }
        let mut transitions = Vec::new();
        for (scope, part) in named {
            let reports = self.reports_of(scope, part);
            let state = match reports.is_empty() {
                true => None,
                false if Crashes::new(&reports).is_refusable(true) => Some(PartState::Refused),
                false => Some(PartState::Suspect),
            };
            if self.states.get(&(scope, part)).copied() == state {
                continue;
            }
            transitions.push(Transition {
                scope,
                part,
                state,
                is_cleared: self.spread.contains_key(&(scope, part)),
                companions: self.companions(&reports, part),
                endpoints: reports.iter().map(|report| report.endpoint).collect(),
            });
        }
        for transition in &transitions {
            let key = (transition.scope, transition.part);
            match transition.state {
                Some(state) => self.states.insert(key, state),
                None => self.states.remove(&key),
            };
        }
        transitions
    }

    /// Returns the reports and clearances to be sent to other VMs: those learned since `since_ms`.
    pub fn findings(&self, since_ms: u64, now_ms: u64) -> (Vec<CrashReport>, Vec<Clearance>) {
        let mut reports = Vec::new();
        for report in self.reports.values() {
            if report.learned_at_ms < since_ms {
                continue;
            }
            reports.push(CrashReport {
                endpoint: report.endpoint,
                scope: report.scope,
                parts: report.parts.clone(),
                age_ms: now_ms.saturating_sub(report.at_ms),
            });
        }
        let mut clearances = Vec::new();
        for ((scope, part), learned_at_ms) in &self.spread {
            let at_ms = self.cleared_at_ms.get(&(*scope, *part));
            let Some(at_ms) = at_ms.filter(|_| *learned_at_ms >= since_ms) else {
                continue;
            };
            clearances.push(Clearance {
                scope: *scope,
                part: *part,
                age_ms: now_ms.saturating_sub(*at_ms),
            });
        }
        (reports, clearances)
    }

    /// Returns whether a part is refused.
    pub fn has_refused(&self) -> bool {
        let mut states = self.states.values();
        states.any(|state| *state == PartState::Refused)
    }

    /// Returns the number of reports, and of parts whose answers are remembered.
    pub fn sizes(&self) -> (usize, usize) {
        (self.reports.len(), self.cleared_at_ms.len())
    }
}

/// The crashes that reports of a part name.
struct Crashes {
    /// When each endpoint crashed, in order.
    times_ms: Vec<u64>,
    /// Number of events, each of which may be the crash of several endpoints.
    events: usize,
    /// Number of organisations whose requests were running.
    organisations: usize,
}

impl Crashes {
    fn new(reports: &[&Report]) -> Self {
        // VMs notice the same crash at different times; the earliest counts.
        let mut crashes: HashMap<Incarnation, u64> = HashMap::new();
        let mut organisations = HashSet::new();
        for report in reports {
            let at_ms = crashes.entry(report.endpoint).or_insert(report.at_ms);
            *at_ms = report.at_ms.min(*at_ms);
            organisations.insert(report.scope.organisation);
        }
        let mut times_ms: Vec<u64> = crashes.into_values().collect();
        times_ms.sort_unstable();
        let mut events = 0;
        let mut begun_ms = None;
        for at_ms in &times_ms {
            if begun_ms.is_none_or(|begun_ms| *at_ms >= begun_ms + EVENT_MS) {
                events += 1;
                begun_ms = Some(*at_ms);
            }
        }
        Self {
            times_ms,
            events,
            organisations: organisations.len(),
        }
    }

    /// Returns whether the crashes suffice to refuse a part; `is_own` is whether some are of the organisation itself.
    fn is_refusable(&self, is_own: bool) -> bool {
        let are_many = self.events >= EVENTS_REFUSED
            || (self.events > 1 && self.times_ms.len() >= CRASHES_REFUSED);
        are_many && (is_own || self.organisations >= ORGANISATIONS_REFUSED)
    }

    /// Returns the number of requests that were tried although the part was, or had to be, refused.
    fn trials(&self) -> usize {
        let known_ms = self.times_ms.get(CRASHES_REFUSED - 1);
        let late = self
            .times_ms
            .iter()
            .filter(|at_ms| known_ms.is_some_and(|known_ms| **at_ms > known_ms + LEARN_MS));
        late.count().max(self.events.saturating_sub(EVENTS_REFUSED))
    }

    /// Returns the standing of requests with a refused part.
    fn refusal(&self, part: PartKey, now_ms: u64) -> Standing {
        let last_ms = self.times_ms.last().copied().unwrap_or(0);
        let Some(hold_ms) = TRIAL_DELAYS_MS.get(self.trials()).copied() else {
            return Standing::Refused {
                part,
                retry_after_ms: REFUSED_MS,
            };
        };
        match (last_ms + hold_ms).checked_sub(now_ms) {
            None | Some(0) => Standing::TrialDue { part, hold_ms },
            Some(left_ms) => Standing::Refused {
                part,
                retry_after_ms: left_ms,
            },
        }
    }
}

/// Time for which a request with a suspected part may take until another one is sent, in milliseconds.
pub const TRIAL_MS: u64 = 5_000;

/// Most trials that a VM keeps track of.
const TRIALS_MAX: usize = 1_024;

/// Trials of parts that this VM allows to all VMs, one at a time for each part.
#[derive(Debug, Default)]
pub struct Trials {
    /// Until when each trial excludes others.
    held_until_ms: HashMap<PartKey, u64>,
}

impl Trials {
    /// Allows one request with a part unless another one excludes it; returns whether it may be sent.
    pub fn ask(&mut self, part: PartKey, hold_ms: u64, now_ms: u64) -> bool {
        self.held_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        if self.held_until_ms.contains_key(&part) || self.held_until_ms.len() >= TRIALS_MAX {
            return false;
        }
        self.held_until_ms
            .insert(part, now_ms.saturating_add(hold_ms));
        true
    }

    /// Ends the trials of parts that a report names.
    pub fn end(&mut self, parts: &[PartKey]) {
        for part in parts {
            self.held_until_ms.remove(part);
        }
    }
}
