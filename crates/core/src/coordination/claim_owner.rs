//! State machine of a process that owns, or may take over, one range of idempotency keys.
//!
//! A claim is granted once it has been read back from the log. While the log is unreachable, requests that allow it are
//! granted claims from memory, that is, before the claim is in the log. Endpoints reject calls under such a claim as
//! soon as a new owner has raised the fencing token.

mod claimant;
mod pending;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Name;
use crate::Reason;
use crate::Refusal;
use crate::state::claims::Answer;
use crate::state::claims::Claim;
use crate::state::claims::ClaimEntry;
use crate::state::claims::ClaimId;
use crate::state::claims::ClaimKey;
use crate::state::claims::ClaimTable;
use crate::state::claims::Outcome;
use crate::state::claims::Owner;
use crate::state::claims::Record;

use self::pending::Pending;

pub use claimant::ClaimantState;
pub use claimant::EndNotice;

/// Maximum number of keys with unconfirmed claims or outcomes; 1024 answers of 16 KiB take 16 MiB.
const PENDING_KEYS_MAX: usize = 1_024;

/// Maximum number of claims and outcomes in one append; 256 answers of 16 KiB stay below 6 MiB in base64.
const APPEND_CHANGES_MAX: usize = 256;

/// Interval between removals of expired keys, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 10_000;

/// Time after a grant during which repeats are refused as in progress rather than as unknown, in milliseconds.
const IN_PROGRESS_MS: u64 = 120_000;

/// Time for which a request that gave up is remembered, in milliseconds.
///
/// Its claim may arrive later over another connection, or be read from the log after a former owner wrote it. Delivery
/// of a give-up notice is retried for up to 20 s.
const GIVEN_UP_RETENTION_MS: u64 = 60_000;

/// Maximum number of requests that gave up and are remembered; beyond it, a notice only ends a claim already known.
const GIVEN_UP_MAX: usize = 4_096;

/// Retry delay returned with a refusal, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

const HANDOVER_MESSAGE: &str = "the key range is being handed over to another owner";
const OUTAGE_MESSAGE: &str = "the claim cannot be recorded because the log is unavailable";
const LOSS_MESSAGE: &str =
    "this VM grants no claims in the key range, since the log has lost records of it";
const GIVEN_UP_MESSAGE: &str = "the request was given up before its claim arrived";

/// Readings of the clocks of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Now {
    /// Monotonic clock, in milliseconds.
    pub monotonic_ms: u64,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// Limits and intervals of a [`ClaimOwner`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Age up to which a key is accepted, in milliseconds.
    pub key_lifetime_ms: u64,
    /// Maximum difference between the wall clocks of two VMs, in milliseconds.
    pub clock_skew_max_ms: u64,
    /// Time over which changes are batched into one append, in milliseconds.
    pub group_commit_ms: u64,
    /// Delay before a failed append is retried, in milliseconds.
    pub append_retry_ms: u64,
    /// Time since the last successful read after which the log counts as unavailable, in milliseconds.
    pub outage_after_ms: u64,
    /// Interval at which an owner repeats its `Active` record in the log, in milliseconds.
    pub renew_ms: u64,
    /// Delay before a process takes back a range that it lost to another owner, in milliseconds.
    pub reacquire_delay_ms: u64,
    /// Whether any class allows claims to be granted from memory.
    pub uses_memory: bool,
}

/// A request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Key to claim.
    pub key: ClaimKey,
    /// Random identity of the request.
    pub claimant: u64,
    /// BLAKE3 hash of the target and the body.
    pub body_hash: [u8; 32],
    /// Whether the class allows grants from memory and all endpoints of the pool check fencing tokens.
    pub may_use_memory: bool,
    /// Monotonic time at which the requester stops waiting, in milliseconds.
    pub deadline_ms: u64,
}

/// An event for a [`ClaimOwner`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// The settings changed.
    Limits(Limits),
    /// The membership changed.
    Members {
        /// VM that ranks first for the range in rendezvous hashing.
        preferred: Name,
        /// VMs that count as members.
        live: BTreeSet<Name>,
    },
    /// A request asks for a claim.
    Claim(Box<Request>),
    /// A request ended before it received a decision about its claim; it will not send its call.
    GiveUp {
        /// Key that the request asked to claim.
        key: ClaimKey,
        /// Identity of the request.
        claimant: u64,
    },
    /// The request that holds a claim ended.
    Settle {
        /// Key of the claim.
        key: ClaimKey,
        /// Identity of the claim.
        id: ClaimId,
        /// Outcome of the claim.
        result: Outcome,
    },
    /// A read of the log succeeded.
    Read {
        /// Offsets and records from [`ClaimOwner::next_offset`] on; `None` for a record that cannot be decoded.
        records: Vec<(u64, Option<Record>)>,
        /// Whether the read reached the end of the stream.
        is_end: bool,
    },
    /// Retention has removed the next record from the log; the oldest retained record has this offset.
    Truncated(u64),
    /// The stream ends before a record that was read from it: the log has lost records, perhaps claims.
    LostRecords,
    /// The append of the last [`Effect::Append`] ended; an unconfirmed append may still have taken effect.
    AppendEnded {
        /// Whether the log confirmed it.
        is_confirmed: bool,
    },
    /// All endpoints that check fencing tokens have accepted this fencing token.
    FenceRaised(u64),
    /// The process shuts down and has to hand the range over.
    Stop,
    /// Periodic timer.
    Tick,
}

/// Decision about a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimDecision {
    /// The requester holds the claim and may send the call once.
    Granted(ClaimId),
    /// The call of the key already ran and this is its stored answer.
    Done(Answer),
    /// The call must not be sent.
    Refused(Refusal),
}

/// An action that the caller of [`ClaimOwner::step`] has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Append the records to the log in one operation, then report [`Input::AppendEnded`].
    Append(Vec<Record>),
    /// Reply to a request.
    Reply {
        /// Identity of the request.
        claimant: u64,
        /// Decision about the claim.
        decision: ClaimDecision,
    },
    /// Raise the fencing token on all endpoints that check fencing tokens, then report [`Input::FenceRaised`].
    RaiseFence(u64),
}

/// A request that waits until its claim has been read back from the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiter {
    request: Request,
    id: ClaimId,
}

/// State of a process that owns, or may take over, one key range.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimOwner {
    identity: Owner,
    limits: Limits,
    table: ClaimTable,
    pending: Pending,
    waiters: BTreeMap<ClaimKey, Waiter>,
    /// Keys with a recent grant, with the time until which repeats are refused as in progress.
    running: BTreeMap<ClaimKey, u64>,
    /// Requests that gave up before their claims were known, with the time until which they are remembered.
    given_up: BTreeMap<u64, u64>,
    preferred: Option<Name>,
    live: BTreeSet<Name>,
    is_stopping: bool,
    /// Whether the log has lost records, so that claims may exist that nobody can read any more.
    has_lost_records: bool,
    is_caught_up: bool,
    last_read_ms: u64,
    last_active_record_ms: u64,
    was_owner: bool,
    ownership_lost_ms: Option<u64>,
    raise_requested_fence: u64,
    raised_fence: u64,
    cutoff_ms: u64,
    /// Last appended ownership record; not appended again until its append fails or later records are read.
    ownership_record: Option<Record>,
    /// Fencing token that was current when this process last tried to take the range over.
    ///
    /// Until a greater token is read, the attempt may still take effect, even if its append failed.
    attempted_after: Option<u64>,
    /// Fencing token under which this process last appended a `Release` record.
    released_fence: u64,
    is_appending: bool,
    append_at_ms: u64,
    prune_at_ms: u64,
}

impl ClaimOwner {
    /// Creates the state of a process that has not yet read the log.
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
            has_lost_records: false,
            is_caught_up: false,
            last_read_ms: now.monotonic_ms,
            last_active_record_ms: now.monotonic_ms,
            was_owner: false,
            ownership_lost_ms: None,
            raise_requested_fence: 0,
            raised_fence: 0,
            cutoff_ms: 0,
            ownership_record: None,
            attempted_after: None,
            released_fence: 0,
            is_appending: false,
            append_at_ms: 0,
            prune_at_ms: 0,
        }
    }

    /// Returns the state of the range as replayed from the log.
    pub fn table(&self) -> &ClaimTable {
        &self.table
    }

    /// Returns the offset of the next record to read from the log.
    pub fn next_offset(&self) -> u64 {
        self.table.next_offset()
    }

    /// Returns whether this process is the owner according to the log.
    pub fn is_owner(&self) -> bool {
        self.table.owner() == Some(&self.identity) && !self.table.is_released()
    }

    /// Returns whether the last successful read of the log is too long ago.
    pub fn is_log_unavailable(&self, now: Now) -> bool {
        now.monotonic_ms.saturating_sub(self.last_read_ms) >= self.limits.outage_after_ms
    }

    /// Returns whether the process does not own the range and has no unconfirmed changes or undecided takeover.
    ///
    /// After a loss of records there is nothing that it could hand over.
    pub fn is_handed_over(&self) -> bool {
        if self.has_lost_records {
            return true;
        }
        let is_takeover_undecided = self.attempted_after == Some(self.table.fence());
        !self.is_owner() && !is_takeover_undecided && self.pending.is_empty()
    }

    /// Returns whether the log has lost records of the range.
    pub fn has_lost_records(&self) -> bool {
        self.has_lost_records
    }

    /// Returns the number of keys with unconfirmed changes.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Processes an event and returns the actions to carry out.
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
            // What follows a loss may have been written by an owner that does not know the lost claims.
            Input::Read { .. } if self.has_lost_records => {}
            Input::Read { records, is_end } => self.read(now, &records, is_end, &mut effects),
            Input::LostRecords => self.lose_records(&mut effects),
            Input::Truncated(first_offset) => {
                self.table = ClaimTable::new(first_offset);
                self.is_caught_up = false;
                self.confirm(now, &mut effects);
            }
            Input::AppendEnded { is_confirmed } => self.end_append(now, is_confirmed),
            Input::FenceRaised(fence) => self.record_raised_fence(now, fence),
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
            let message =
                "the idempotency key has expired; whether it was used before is not known";
            let refusal = Refusal::may_have_run(Reason::KeyTooOld, 0, message);
            return reply(effects, request.claimant, ClaimDecision::Refused(refusal));
        }
        let entry = self.entry(&request.key);
        if let Some(entry) = &entry
            && !entry.is_free()
        {
            return self.reply_for_claimed_key(now, &request, entry, effects);
        }
        if let Some(refusal) = self.claim_refusal(now, &request) {
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
        if self.is_log_unavailable(now) {
            return self.grant(now, waiter, effects);
        }
        self.waiters.insert(key, waiter);
    }

    /// Returns the reason why a key without a current claim cannot be claimed now, if there is one.
    fn claim_refusal(&self, now: Now, request: &Request) -> Option<Refusal> {
        let created_ms = request.key.created_ms();
        // Applies after `not_run` too: a former owner may have granted the key again from memory.
        if created_ms < self.table.cutoff_ms() {
            let message = "the key may have run before the range changed its owner";
            return Some(Refusal::may_have_run(Reason::OutcomeUnknown, 0, message));
        }
        // Follows the checks for a claim and for the cutoff, since a former owner whose clock was ahead of this one may
        // have accepted the key.
        if created_ms > now.wall_ms + self.limits.clock_skew_max_ms {
            let message = "the time in the idempotency key is in the future";
            return Some(Refusal::not_run(Reason::KeyMalformed, 0, message));
        }
        if self.has_lost_records {
            return Some(lost_records_refusal());
        }
        let is_log_down = self.is_log_unavailable(now);
        if !self.is_serving() {
            return Some(self.handover_refusal(is_log_down));
        }
        if is_log_down && !(request.may_use_memory && self.table.may_use_memory()) {
            return Some(outage_refusal());
        }
        if self.pending.len() >= PENDING_KEYS_MAX {
            let message = "too many claims are waiting for the log";
            return Some(Refusal::not_run(Reason::QueueFull, RETRY_AFTER_MS, message));
        }
        None
    }

    /// Returns the refusal to send while this process does not serve the range.
    fn handover_refusal(&self, is_log_unavailable: bool) -> Refusal {
        let (reason, message) = if is_log_unavailable {
            (Reason::LogUnavailable, OUTAGE_MESSAGE)
        } else {
            (Reason::RangeHandover, HANDOVER_MESSAGE)
        };
        if self.has_complete_claims() {
            Refusal::not_run(reason, RETRY_AFTER_MS, message)
        } else {
            Refusal::may_have_run(reason, RETRY_AFTER_MS, message)
        }
    }

    /// Returns whether a key without a claim in the table is certain to have none.
    ///
    /// Until this process reads back its `Own` record, the unread part of the log may hold claims and another process
    /// may add more. Once this process has appended a `Release` record, a new owner may add claims. Claims that the
    /// former owner granted from memory may be missing from the log; the cutoff of the next `Active` record covers
    /// them.
    fn has_complete_claims(&self) -> bool {
        let may_have_unlogged_claims = !self.table.is_active() && self.table.may_use_memory();
        self.is_owner() && self.released_fence != self.table.fence() && !may_have_unlogged_claims
    }

    fn reply_for_claimed_key(
        &mut self,
        now: Now,
        request: &Request,
        entry: &ClaimEntry,
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
            None if entry.claimant == request.claimant && self.is_current_grant(entry.id) => {
                // The request repeats its claim because the reply was lost.
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

    fn is_current_grant(&self, id: ClaimId) -> bool {
        self.is_owner() && id.fence == self.table.fence()
    }

    fn is_running(&self, now: Now, key: &ClaimKey) -> bool {
        let until_ms = self.running.get(key);
        self.waiters.contains_key(key)
            || until_ms.is_some_and(|until_ms| *until_ms > now.monotonic_ms)
    }

    fn is_serving(&self) -> bool {
        self.is_owner()
            && self.table.is_active()
            && !self.is_handing_over()
            && !self.has_lost_records
    }

    /// Returns whether the range is being handed over; an appended `Release` record may take effect at any time.
    fn is_handing_over(&self) -> bool {
        let is_preferred = self.preferred.as_ref() == Some(&self.identity.vm);
        self.is_stopping || !is_preferred || self.released_fence == self.table.fence()
    }

    fn entry(&self, key: &ClaimKey) -> Option<ClaimEntry> {
        self.pending.overlay(key, self.table.get(key))
    }

    fn grant(&mut self, now: Now, waiter: Waiter, effects: &mut Vec<Effect>) {
        let claimant = waiter.request.claimant;
        self.running
            .insert(waiter.request.key, now.monotonic_ms + IN_PROGRESS_MS);
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
                .insert(claimant, now.monotonic_ms + GIVEN_UP_RETENTION_MS);
        }
    }

    /// Settles a claim with `NotRun`, since its request will not send the call; returns whether the claim is known.
    fn settle_not_run(&mut self, key: &ClaimKey, claimant: u64) -> bool {
        let Some(entry) = self.entry(key).filter(|it| it.claimant == claimant) else {
            return false;
        };
        self.settle(key, entry.id, Outcome::NotRun);
        true
    }

    /// Settles claims that were read from the log after their requests had given up.
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
        self.last_read_ms = now.monotonic_ms;
        self.is_caught_up = is_end;
        if records.is_empty() {
            return;
        }
        if !self.is_appending {
            self.ownership_record = None;
        }
        for (offset, record) in records {
            match record {
                Some(record) => self.table.apply(*offset, record),
                None => self.table.skip(*offset),
            }
            if let Some(Record::Active { owner, .. }) = record
                && *owner == self.identity
            {
                self.last_active_record_ms = now.monotonic_ms;
            }
        }
        self.track_ownership(now);
        self.confirm(now, effects);
        for record in records.iter().filter_map(|(_, record)| record.as_ref()) {
            self.pending.retry_rejected(record);
            self.settle_given_up(record);
        }
    }

    /// Ends all claiming: another process may claim keys again whose claims were lost.
    fn lose_records(&mut self, effects: &mut Vec<Effect>) {
        self.has_lost_records = true;
        for waiter in std::mem::take(&mut self.waiters).into_values() {
            let refusal = Refusal::not_run(Reason::LogUnavailable, RETRY_AFTER_MS, LOSS_MESSAGE);
            reply(
                effects,
                waiter.request.claimant,
                ClaimDecision::Refused(refusal),
            );
        }
    }

    fn track_ownership(&mut self, now: Now) {
        if self.table.owner() == Some(&self.identity) {
            self.was_owner = true;
            self.ownership_lost_ms = None;
        } else if self.was_owner && self.ownership_lost_ms.is_none() {
            self.ownership_lost_ms = Some(now.monotonic_ms);
        }
    }

    /// Removes confirmed changes, grants the claims that the log holds, and decides again on those that it rejects.
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
            // A new owner may have granted the key in the meantime, so the request is decided again on the new state.
            self.claim(now, waiter.request, effects);
        }
    }

    fn end_append(&mut self, now: Now, is_confirmed: bool) {
        self.is_appending = false;
        if !is_confirmed {
            self.ownership_record = None;
            self.pending.retry_all();
            self.append_at_ms = now.monotonic_ms + self.limits.append_retry_ms;
        }
    }

    fn record_raised_fence(&mut self, now: Now, fence: u64) {
        if fence != self.table.fence() || !self.is_owner() || self.raised_fence == fence {
            return;
        }
        self.raised_fence = fence;
        // Covers the skew twice: the time in a key may be ahead of the former owner's clock, and that clock ahead of
        // this one.
        self.cutoff_ms = now.wall_ms + 2 * self.limits.clock_skew_max_ms + 1;
    }

    fn request_raise(&mut self, effects: &mut Vec<Effect>) {
        let fence = self.table.fence();
        if !self.is_owner() || self.table.is_active() || self.raise_requested_fence == fence {
            return;
        }
        self.raise_requested_fence = fence;
        effects.push(Effect::RaiseFence(fence));
    }

    fn tick(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let is_log_down = self.is_log_unavailable(now);
        let may_use_memory = self.is_serving() && self.table.may_use_memory();
        for (key, waiter) in std::mem::take(&mut self.waiters) {
            if is_log_down && may_use_memory && waiter.request.may_use_memory {
                self.grant(now, waiter, effects);
                continue;
            }
            if !is_log_down && now.monotonic_ms < waiter.request.deadline_ms {
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

    /// Starts an append of the due records; one append at a time preserves the order of changes within a key.
    fn flush(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if self.has_lost_records || self.is_appending || now.monotonic_ms < self.append_at_ms {
            return;
        }
        let mut records = Vec::new();
        if let Some(ownership_record) = self.due_ownership_record(now)
            && self.ownership_record.as_ref() != Some(&ownership_record)
        {
            if matches!(ownership_record, Record::Release { .. }) {
                self.released_fence = self.table.fence();
            }
            if let Record::Own { previous_fence, .. } = ownership_record {
                self.attempted_after = Some(previous_fence);
            }
            self.ownership_record = Some(ownership_record.clone());
            records.push(ownership_record);
        }
        records.append(&mut self.pending.take_records(APPEND_CHANGES_MAX));
        if records.is_empty() {
            return;
        }
        self.is_appending = true;
        self.append_at_ms = now.monotonic_ms + self.limits.group_commit_ms;
        effects.push(Effect::Append(records));
    }

    /// Returns the ownership record that is due, if any.
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
            let may_have_unlogged_claims = self.table.may_use_memory();
            if may_have_unlogged_claims && self.raised_fence != fence {
                return None;
            }
            let cutoff_ms = if may_have_unlogged_claims {
                self.cutoff_ms
            } else {
                0
            };
            return Some(self.active_record(cutoff_ms, may_use_memory));
        }
        if self.is_handing_over() {
            let is_idle = self.pending.is_empty() && self.waiters.is_empty();
            return is_idle.then_some(Record::Release { fence });
        }
        let is_memory_newly_allowed = may_use_memory && !self.table.may_use_memory();
        let is_renewal =
            now.monotonic_ms.saturating_sub(self.last_active_record_ms) >= self.limits.renew_ms;
        if is_memory_newly_allowed || is_renewal {
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
        // Without the delay, two processes that each see the other as gone would take the range from each other as fast
        // as the log accepts appends.
        let pause_ms = self.limits.reacquire_delay_ms;
        if self
            .ownership_lost_ms
            .is_some_and(|ownership_lost_ms| now.monotonic_ms < ownership_lost_ms + pause_ms)
        {
            return false;
        }
        let Some(owner) = self.table.owner() else {
            return true;
        };
        // A VM runs one process at a time, so another incarnation on the same VM is a predecessor, unless it took the
        // range from this process.
        let is_predecessor = owner.vm == self.identity.vm && !self.was_owner;
        self.table.is_released() || is_predecessor || !self.live.contains(&owner.vm)
    }
}

fn reply(effects: &mut Vec<Effect>, claimant: u64, decision: ClaimDecision) {
    effects.push(Effect::Reply { claimant, decision });
}

fn lost_records_refusal() -> Refusal {
    Refusal::may_have_run(Reason::LogUnavailable, RETRY_AFTER_MS, LOSS_MESSAGE)
}

fn outage_refusal() -> Refusal {
    Refusal::not_run(Reason::LogUnavailable, RETRY_AFTER_MS, OUTAGE_MESSAGE)
}
