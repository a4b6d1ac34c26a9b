//! Decisions of a process that owns, or may come to own, one key range.
//!
//! A claim counts once it has been read back from the log. Only while the log is unreachable, and only for requests that
//! allow it, is a claim granted from memory; endpoints then reject it as soon as a successor has raised the fence.

mod claimant;
mod pending;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Name;
use crate::Reason;
use crate::Refusal;
use crate::state::claims::Answer;
use crate::state::claims::Claim;
use crate::state::claims::ClaimId;
use crate::state::claims::ClaimKey;
use crate::state::claims::ClaimTable;
use crate::state::claims::Entry;
use crate::state::claims::Outcome;
use crate::state::claims::Owner;
use crate::state::claims::Record;

use self::pending::Pending;

pub use claimant::ClaimantState;
pub use claimant::EndNotice;

/// Keys that may have unconfirmed claims or outcomes; 1024 answers of 16 KiB take 16 MiB.
const PENDING_KEYS_MAX: usize = 1_024;

/// Claims and outcomes of one append; 256 answers of 16 KiB stay below 6 MiB in base64.
const APPEND_CHANGES_MAX: usize = 256;

/// Time between removals of expired keys, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 10_000;

/// Time for which a granted claim counts as running rather than unknown, in milliseconds.
const RUNNING_MS: u64 = 120_000;

/// Time for which a request that gave up is remembered, in milliseconds.
///
/// Its claim may arrive later, over another connection, or be read from the log of a former owner; notices of requests
/// that gave up are delivered for up to 20 s.
const GIVEN_UP_MS: u64 = 60_000;

/// Requests that gave up and are remembered; further ones only end claims that are known already.
const GIVEN_UP_MAX: usize = 4_096;

/// Time after which a refused request may come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

const HANDOVER_MESSAGE: &str = "the range of the key is changing its owner";
const OUTAGE_MESSAGE: &str = "the claim cannot be recorded, since the log does not answer";
const GIVEN_UP_MESSAGE: &str = "the request was given up before its claim arrived";

/// Clocks of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Now {
    /// Monotonic time of the process, in milliseconds.
    pub monotonic_ms: u64,
    /// Wall clock, in milliseconds since the epoch.
    pub wall_ms: u64,
}

/// Bounds that come from the settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Time for which a key is accepted, in milliseconds.
    pub key_lifetime_ms: u64,
    /// Most that two clocks may differ, in milliseconds.
    pub clock_skew_max_ms: u64,
    /// Time over which changes are collected for one append, in milliseconds.
    pub group_commit_ms: u64,
    /// Pause after a failed append, in milliseconds.
    pub append_retry_ms: u64,
    /// Time without a confirmed read after which the log counts as down, in milliseconds.
    pub outage_after_ms: u64,
    /// Time after which an owner confirms its ownership in the log again, in milliseconds.
    pub renew_ms: u64,
    /// Pause before a process takes a range back that it has lost, in milliseconds.
    pub reacquire_delay_ms: u64,
    /// Whether any class may be claimed from memory.
    pub uses_memory: bool,
}

/// A request's wish for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Key.
    pub key: ClaimKey,
    /// Random identity of the request.
    pub claimant: u64,
    /// BLAKE3 hash of target and body.
    pub body_hash: [u8; 32],
    /// Whether all endpoints of the pool check fencing tokens and the class allows grants from memory.
    pub may_use_memory: bool,
    /// Monotonic time until which the requester waits, in milliseconds.
    pub deadline_ms: u64,
}

/// An event that the owner has to react to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// The settings changed.
    Limits(Limits),
    /// The membership changed.
    Members {
        /// First VM in rendezvous order for the range.
        preferred: Name,
        /// VMs that are not gone.
        live: BTreeSet<Name>,
    },
    /// A request asks for a claim.
    Claim(Box<Request>),
    /// A request ended before it received the answer to its wish; it will not send its call.
    GiveUp {
        /// Key.
        key: ClaimKey,
        /// Identity of the request.
        claimant: u64,
    },
    /// A granted claim ended.
    Settle {
        /// Key.
        key: ClaimKey,
        /// Claim.
        id: ClaimId,
        /// What became of it.
        result: Outcome,
    },
    /// The log answered a read.
    Read {
        /// Records from [`ClaimOwner::next_offset`] on; `None` for one that does not decode.
        records: Vec<(u64, Option<Record>)>,
        /// Whether the stream had no further record.
        is_end: bool,
    },
    /// The log no longer keeps the next record; the oldest that it keeps has this offset.
    Truncated(u64),
    /// The append of the last [`Effect::Append`] ended; without a confirmation it may have taken effect all the same.
    AppendEnded {
        /// Whether the log confirmed it.
        is_confirmed: bool,
    },
    /// All endpoints that check fencing tokens have confirmed this one.
    FenceRaised(u64),
    /// A planned stop: hand the range over.
    Stop,
    /// Time has passed.
    Tick,
}

/// Answer to a wish for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimDecision {
    /// The requester, and nobody else, may send the call, once.
    Granted(ClaimId),
    /// The key ran before; this is its answer.
    Done(Answer),
    /// The call must not be sent.
    Refused(Refusal),
}

/// What the threads around the owner must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Append the records in one operation, then report [`Input::AppendEnded`].
    Append(Vec<Record>),
    /// Answer a request.
    Reply {
        /// Identity of the request.
        claimant: u64,
        /// Answer.
        decision: ClaimDecision,
    },
    /// Raise the fencing token on every endpoint that checks it, then report [`Input::FenceRaised`].
    RaiseFence(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiter {
    request: Request,
    id: ClaimId,
}

/// State of a process with respect to one key range.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimOwner {
    identity: Owner,
    limits: Limits,
    table: ClaimTable,
    pending: Pending,
    waiters: BTreeMap<ClaimKey, Waiter>,
    running: BTreeMap<ClaimKey, u64>,
    /// Requests that gave up before this process knew of their claims, with the time until which they are remembered.
    given_up: BTreeMap<u64, u64>,
    preferred: Option<Name>,
    live: BTreeSet<Name>,
    is_stopping: bool,
    is_caught_up: bool,
    confirmed_ms: u64,
    active_ms: u64,
    has_owned: bool,
    lost_ms: Option<u64>,
    raise_requested: u64,
    raised: u64,
    cutoff_ms: u64,
    control: Option<Record>,
    /// Fencing token after which this process has tried to take the range over.
    ///
    /// Until a greater token is read, the attempt may still take effect, even if its append failed.
    attempted_after: Option<u64>,
    released_fence: u64,
    is_appending: bool,
    append_at_ms: u64,
    prune_at_ms: u64,
}

impl ClaimOwner {
    /// Creates the state of a process that has read nothing yet.
    pub fn new(identity: Owner, limits: Limits, now: Now) -> Self {
        Self {
            identity,
            limits,
            table: ClaimTable::new(0),
            pending: Pending::default(),
            waiters: BTreeMap::new(),
            running: BTreeMap::new(),
            given_up: BTreeMap::new(),
            preferred: None,
            live: BTreeSet::new(),
            is_stopping: false,
            is_caught_up: false,
            confirmed_ms: now.monotonic_ms,
            active_ms: now.monotonic_ms,
            has_owned: false,
            lost_ms: None,
            raise_requested: 0,
            raised: 0,
            cutoff_ms: 0,
            control: None,
            attempted_after: None,
            released_fence: 0,
            is_appending: false,
            append_at_ms: 0,
            prune_at_ms: 0,
        }
    }

    /// Returns the replayed state of the range.
    pub fn table(&self) -> &ClaimTable {
        &self.table
    }

    /// Returns the offset from which the log has to be read.
    pub fn next_offset(&self) -> u64 {
        self.table.next_offset()
    }

    /// Returns whether the log shows this process as the owner.
    pub fn is_owner(&self) -> bool {
        self.table.owner() == Some(&self.identity) && !self.table.is_released()
    }

    /// Returns whether the log has not confirmed a read for too long.
    pub fn is_log_lost(&self, now: Now) -> bool {
        now.monotonic_ms.saturating_sub(self.confirmed_ms) >= self.limits.outage_after_ms
    }

    /// Returns whether nothing is left to be written to the log, nor an attempt to take the range over to be read.
    pub fn is_handed_over(&self) -> bool {
        let is_undecided = self.attempted_after == Some(self.table.fence());
        !self.is_owner() && !is_undecided && self.pending.is_empty()
    }

    /// Returns the number of keys whose changes are not confirmed.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Reacts to an event.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::Limits(limits) => self.limits = limits,
            Input::Members { preferred, live } => {
                self.preferred = Some(preferred);
                self.live = live;
            }
            Input::Claim(request) => self.claim(now, *request, &mut effects),
            Input::GiveUp { key, claimant } => self.give_up(now, &key, claimant),
            Input::Settle { key, id, result } => self.settle(&key, id, result),
            Input::Read { records, is_end } => self.read(now, &records, is_end, &mut effects),
            Input::Truncated(first_offset) => {
                self.table = ClaimTable::new(first_offset);
                self.is_caught_up = false;
                self.confirm(now, &mut effects);
            }
            Input::AppendEnded { is_confirmed } => self.end_append(now, is_confirmed),
            Input::FenceRaised(fence) => self.note_raised(now, fence),
            Input::Stop => self.is_stopping = true,
            Input::Tick => self.tick(now, &mut effects),
        }
        self.request_raise(&mut effects);
        self.flush(now, &mut effects);
        effects
    }

    fn claim(&mut self, now: Now, request: Request, effects: &mut Vec<Effect>) {
        if self.given_up.contains_key(&request.claimant) {
            let refusal = Refusal::may_have_run(Reason::DeadlinePassed, 0, GIVEN_UP_MESSAGE);
            return reply(effects, request.claimant, ClaimDecision::Refused(refusal));
        }
        let created_ms = request.key.created_ms();
        if created_ms + self.limits.key_lifetime_ms < now.wall_ms {
            let message = "the idempotency key is too old to tell whether it was used";
            let refusal = Refusal::may_have_run(Reason::KeyTooOld, 0, message);
            return reply(effects, request.claimant, ClaimDecision::Refused(refusal));
        }
        let entry = self.entry(&request.key);
        if let Some(entry) = &entry
            && !entry.is_free()
        {
            return self.answer_claimed(now, &request, entry, effects);
        }
        if let Some(refusal) = self.refusal(now, &request) {
            return reply(effects, request.claimant, ClaimDecision::Refused(refusal));
        }
        let id = ClaimId {
            fence: self.table.fence(),
            attempt: entry.map_or(1, |entry| entry.id.attempt + 1),
        };
        let claim = Claim {
            key: request.key.clone(),
            attempt: id.attempt,
            claimant: request.claimant,
            body_hash: request.body_hash,
        };
        self.pending.push_claim(id.fence, claim);
        let key = request.key.clone();
        let waiter = Waiter { request, id };
        if self.is_log_lost(now) {
            return self.grant(now, waiter, effects);
        }
        self.waiters.insert(key, waiter);
    }

    /// Returns why a key that no claim holds cannot be claimed now.
    fn refusal(&self, now: Now, request: &Request) -> Option<Refusal> {
        let created_ms = request.key.created_ms();
        // Also after `not_run`: a former owner may have granted the key again without a trace in the log.
        if created_ms < self.table.cutoff_ms() {
            let message = "the key may have run before the range changed its owner";
            return Some(Refusal::may_have_run(Reason::OutcomeUnknown, 0, message));
        }
        // Checked late: the clock of a former owner may have been ahead of this one when it accepted the key.
        if created_ms > now.wall_ms + self.limits.clock_skew_max_ms {
            let message = "the time in the idempotency key is in the future";
            return Some(Refusal::not_run(Reason::KeyMalformed, 0, message));
        }
        let is_lost = self.is_log_lost(now);
        if !self.is_serving() {
            return Some(self.handover_refusal(is_lost));
        }
        if is_lost && !(request.may_use_memory && self.table.may_use_memory()) {
            return Some(outage_refusal());
        }
        if self.pending.len() >= PENDING_KEYS_MAX {
            let message = "too many claims wait for the log";
            return Some(Refusal::not_run(Reason::QueueFull, RETRY_AFTER_MS, message));
        }
        None
    }

    /// Returns the refusal of a process that does not serve the range.
    fn handover_refusal(&self, is_log_lost: bool) -> Refusal {
        let (reason, message) = if is_log_lost {
            (Reason::LogUnavailable, OUTAGE_MESSAGE)
        } else {
            (Reason::RangeHandover, HANDOVER_MESSAGE)
        };
        if self.knows_all_claims() {
            Refusal::not_run(reason, RETRY_AFTER_MS, message)
        } else {
            Refusal::may_have_run(reason, RETRY_AFTER_MS, message)
        }
    }

    /// Returns whether a key without a claim in the table certainly has none.
    ///
    /// Before the own `Own` record is read back, the unread part of the log may hold claims, and another process may
    /// add more. After a release a successor may do so.
    fn knows_all_claims(&self) -> bool {
        let has_hidden_claims = !self.table.is_active() && self.table.may_use_memory();
        self.is_owner() && self.released_fence != self.table.fence() && !has_hidden_claims
    }

    fn answer_claimed(
        &mut self,
        now: Now,
        request: &Request,
        entry: &Entry,
        effects: &mut Vec<Effect>,
    ) {
        if entry.body_hash != request.body_hash {
            let message = "the idempotency key was used with another request";
            let refusal = Refusal::not_run(Reason::KeyReused, 0, message);
            return reply(effects, request.claimant, ClaimDecision::Refused(refusal));
        }
        let unknown = |reason, after_ms, message: &str| {
            ClaimDecision::Refused(Refusal::may_have_run(reason, after_ms, message))
        };
        let decision = match &entry.outcome {
            Some(Outcome::Done(answer)) => ClaimDecision::Done(answer.clone()),
            None if entry.claimant == request.claimant && self.is_granter(entry.id) => {
                // The same request asks again because it missed the answer.
                if let Some(waiter) = self.waiters.get_mut(&request.key) {
                    waiter.request.deadline_ms = request.deadline_ms;
                    return;
                }
                ClaimDecision::Granted(entry.id)
            }
            None if self.is_running(now, &request.key) => {
                let message = "a request with this idempotency key is running";
                unknown(Reason::InProgress, RETRY_AFTER_MS, message)
            }
            Some(Outcome::Unknown | Outcome::NotRun) | None => {
                let message =
                    "a request with this idempotency key was started; its outcome is not known";
                unknown(Reason::OutcomeUnknown, 0, message)
            }
        };
        reply(effects, request.claimant, decision);
    }

    fn is_granter(&self, id: ClaimId) -> bool {
        self.is_owner() && id.fence == self.table.fence()
    }

    fn is_running(&self, now: Now, key: &ClaimKey) -> bool {
        let until_ms = self.running.get(key);
        self.waiters.contains_key(key)
            || until_ms.is_some_and(|until_ms| *until_ms > now.monotonic_ms)
    }

    fn is_serving(&self) -> bool {
        self.is_owner() && self.table.is_active() && !self.is_leaving()
    }

    /// Returns whether the range is being handed over; a release that was sent may take effect at any time.
    fn is_leaving(&self) -> bool {
        let is_preferred = self.preferred.as_ref() == Some(&self.identity.vm);
        self.is_stopping || !is_preferred || self.released_fence == self.table.fence()
    }

    fn entry(&self, key: &ClaimKey) -> Option<Entry> {
        self.pending.overlay(key, self.table.get(key))
    }

    fn grant(&mut self, now: Now, waiter: Waiter, effects: &mut Vec<Effect>) {
        let claimant = waiter.request.claimant;
        self.running
            .insert(waiter.request.key, now.monotonic_ms + RUNNING_MS);
        reply(effects, claimant, ClaimDecision::Granted(waiter.id));
    }

    fn give_up(&mut self, now: Now, key: &ClaimKey, claimant: u64) {
        let waiter = self.waiters.get(key);
        if waiter.is_some_and(|waiter| waiter.request.claimant == claimant) {
            self.waiters.remove(key);
        }
        let is_known = self.settle_not_run(key, claimant);
        if !is_known && self.given_up.len() < GIVEN_UP_MAX {
            self.given_up
                .insert(claimant, now.monotonic_ms + GIVEN_UP_MS);
        }
    }

    /// Ends the claim of a request that never sends its call; returns whether the claim is known.
    fn settle_not_run(&mut self, key: &ClaimKey, claimant: u64) -> bool {
        let Some(entry) = self.entry(key).filter(|it| it.claimant == claimant) else {
            return false;
        };
        self.settle(key, entry.id, Outcome::NotRun);
        true
    }

    /// Ends the claims that were read after their requests had given up.
    fn settle_given_up(&mut self, record: &Record) {
        let Record::Claims { claims, .. } = record else {
            return;
        };
        for claim in claims {
            if self.given_up.contains_key(&claim.claimant) {
                self.settle_not_run(&claim.key, claim.claimant);
            }
        }
    }

    fn settle(&mut self, key: &ClaimKey, id: ClaimId, result: Outcome) {
        let Some(entry) = self.entry(key) else {
            return;
        };
        if entry.id != id || entry.outcome.is_some() {
            return;
        }
        self.running.remove(key);
        self.pending.push_outcome(key.clone(), id, result);
    }

    fn read(
        &mut self,
        now: Now,
        records: &[(u64, Option<Record>)],
        is_end: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.confirmed_ms = now.monotonic_ms;
        self.is_caught_up = is_end;
        if records.is_empty() {
            return;
        }
        if !self.is_appending {
            self.control = None;
        }
        for (offset, record) in records {
            match record {
                Some(record) => self.table.apply(*offset, record),
                None => self.table.skip(*offset),
            }
            if let Some(Record::Active { owner, .. }) = record
                && *owner == self.identity
            {
                self.active_ms = now.monotonic_ms;
            }
        }
        self.note_owner(now);
        self.confirm(now, effects);
        for record in records.iter().filter_map(|(_, record)| record.as_ref()) {
            self.pending.retry_rejected(record);
            self.settle_given_up(record);
        }
    }

    fn note_owner(&mut self, now: Now) {
        if self.table.owner() == Some(&self.identity) {
            self.has_owned = true;
            self.lost_ms = None;
        } else if self.has_owned && self.lost_ms.is_none() {
            self.lost_ms = Some(now.monotonic_ms);
        }
    }

    /// Grants what the log holds, and refuses what it can no longer accept.
    fn confirm(&mut self, now: Now, effects: &mut Vec<Effect>) {
        self.pending.confirm(&self.table);
        let is_owner = self.is_owner();
        let fence = self.table.fence();
        for (key, waiter) in std::mem::take(&mut self.waiters) {
            let is_logged = self.table.get(&key).is_some_and(|entry| {
                entry.id == waiter.id
                    && entry.claimant == waiter.request.claimant
                    && entry.outcome.is_none()
            });
            if is_logged {
                self.grant(now, waiter, effects);
                continue;
            }
            if is_owner && waiter.id.fence == fence {
                self.waiters.insert(key, waiter);
                continue;
            }
            // The successor may have granted the key in the meantime, so the request is answered from the new state.
            self.claim(now, waiter.request, effects);
        }
    }

    fn end_append(&mut self, now: Now, is_confirmed: bool) {
        self.is_appending = false;
        if !is_confirmed {
            self.control = None;
            self.pending.retry_all();
            self.append_at_ms = now.monotonic_ms + self.limits.append_retry_ms;
        }
    }

    fn note_raised(&mut self, now: Now, fence: u64) {
        if fence != self.table.fence() || !self.is_owner() || self.raised == fence {
            return;
        }
        self.raised = fence;
        // A key may be ahead of the clock of the owner that accepted it, and that clock ahead of this one.
        self.cutoff_ms = now.wall_ms + 2 * self.limits.clock_skew_max_ms + 1;
    }

    fn request_raise(&mut self, effects: &mut Vec<Effect>) {
        let fence = self.table.fence();
        if !self.is_owner() || self.table.is_active() || self.raise_requested == fence {
            return;
        }
        self.raise_requested = fence;
        effects.push(Effect::RaiseFence(fence));
    }

    fn tick(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let is_lost = self.is_log_lost(now);
        let may_use_memory = self.is_serving() && self.table.may_use_memory();
        for (key, waiter) in std::mem::take(&mut self.waiters) {
            if is_lost && may_use_memory && waiter.request.may_use_memory {
                self.grant(now, waiter, effects);
                continue;
            }
            if !is_lost && now.monotonic_ms < waiter.request.deadline_ms {
                self.waiters.insert(key, waiter);
                continue;
            }
            self.settle(&key, waiter.id, Outcome::NotRun);
            let claimant = waiter.request.claimant;
            reply(effects, claimant, ClaimDecision::Refused(outage_refusal()));
        }
        if now.monotonic_ms < self.prune_at_ms {
            return;
        }
        self.prune_at_ms = now.monotonic_ms + PRUNE_INTERVAL_MS;
        self.running
            .retain(|_, until_ms| *until_ms > now.monotonic_ms);
        self.given_up
            .retain(|_, until_ms| *until_ms > now.monotonic_ms);
        let kept_ms = self.limits.key_lifetime_ms + 2 * self.limits.clock_skew_max_ms;
        self.table.prune(now.wall_ms.saturating_sub(kept_ms));
    }

    /// Appends what is due; one append at a time keeps the order within a key.
    fn flush(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if self.is_appending || now.monotonic_ms < self.append_at_ms {
            return;
        }
        let mut records = Vec::new();
        if let Some(control) = self.due_ownership_record(now)
            && self.control.as_ref() != Some(&control)
        {
            if matches!(control, Record::Release { .. }) {
                self.released_fence = self.table.fence();
            }
            if let Record::Own { previous_fence, .. } = control {
                self.attempted_after = Some(previous_fence);
            }
            self.control = Some(control.clone());
            records.push(control);
        }
        records.append(&mut self.pending.take_records(APPEND_CHANGES_MAX));
        if records.is_empty() {
            return;
        }
        self.is_appending = true;
        self.append_at_ms = now.monotonic_ms + self.limits.group_commit_ms;
        effects.push(Effect::Append(records));
    }

    /// Returns the record about the ownership that is due.
    fn due_ownership_record(&self, now: Now) -> Option<Record> {
        let fence = self.table.fence();
        if !self.is_owner() {
            return self.may_take_over(now).then(|| Record::Own {
                owner: self.identity.clone(),
                previous_fence: fence,
            });
        }
        let may_use_memory = self.limits.uses_memory;
        if !self.table.is_active() {
            let has_hidden_claims = self.table.may_use_memory();
            if has_hidden_claims && self.raised != fence {
                return None;
            }
            let cutoff_ms = if has_hidden_claims { self.cutoff_ms } else { 0 };
            return Some(self.active_record(cutoff_ms, may_use_memory));
        }
        if self.is_leaving() {
            let is_idle = self.pending.is_empty() && self.waiters.is_empty();
            return is_idle.then_some(Record::Release { fence });
        }
        let is_memory_new = may_use_memory && !self.table.may_use_memory();
        let is_renewal = now.monotonic_ms.saturating_sub(self.active_ms) >= self.limits.renew_ms;
        if is_memory_new || is_renewal {
            return Some(self.active_record(self.table.cutoff_ms(), may_use_memory));
        }
        None
    }

    fn active_record(&self, cutoff_ms: u64, may_use_memory: bool) -> Record {
        Record::Active {
            owner: self.identity.clone(),
            fence: self.table.fence(),
            cutoff_ms,
            may_use_memory,
        }
    }

    fn may_take_over(&self, now: Now) -> bool {
        let is_preferred = self.preferred.as_ref() == Some(&self.identity.vm);
        if !is_preferred || self.is_stopping || !self.is_caught_up || self.table.is_truncated() {
            return false;
        }
        // Two processes that take each other for gone would otherwise alternate as fast as the log allows.
        let pause_ms = self.limits.reacquire_delay_ms;
        if self
            .lost_ms
            .is_some_and(|lost_ms| now.monotonic_ms < lost_ms + pause_ms)
        {
            return false;
        }
        let Some(owner) = self.table.owner() else {
            return true;
        };
        // A VM runs one process. Another one of the same name is its predecessor, unless it took the range from this one.
        let is_predecessor = owner.vm == self.identity.vm && !self.has_owned;
        self.table.is_released() || is_predecessor || !self.live.contains(&owner.vm)
    }
}

fn reply(effects: &mut Vec<Effect>, claimant: u64, decision: ClaimDecision) {
    effects.push(Effect::Reply { claimant, decision });
}

fn outage_refusal() -> Refusal {
    Refusal::not_run(Reason::LogUnavailable, RETRY_AFTER_MS, OUTAGE_MESSAGE)
}
