//! The claims thread: feeds events to the state machine of each open range and carries out the effects.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::coordination::claim_owner::ClaimDecision;
use waxwing_core::coordination::claim_owner::ClaimOwner;
use waxwing_core::coordination::claim_owner::Effect;
use waxwing_core::coordination::claim_owner::Input;
use waxwing_core::coordination::claim_owner::Limits;
use waxwing_core::coordination::claim_owner::Now;
use waxwing_core::coordination::claim_owner::Request;
use waxwing_core::state::claims::CLAIM_RANGES;
use waxwing_core::state::claims::Owner;
use waxwing_core::state::settings::Class;
use waxwing_core::state::settings::OnLogOutage;
use waxwing_core::state::settings::Settings;
use waxwing_gateway::clock::unix_now_ms;
use waxwing_wire::claim::ClaimRequest;
use waxwing_wire::claim::ClaimVerdict;
use waxwing_wire::claim::Grant;

use crate::shared::Shared;
use crate::shared::View;
use crate::transport::log_client::LogClient;

use super::Message;
use super::RETRY_AFTER_MS;
use super::claim_key;
use super::counters;
use super::fence;
use super::preferred_owner;
use super::range::Range;
use super::range::Reporter;
use super::range_bit;

/// Time between ticks, in milliseconds.
const TICK_MS: u64 = 10;

/// Pause after a failed append, in milliseconds.
const APPEND_RETRY_MS: u64 = 200;

/// Delay before a lost range is acquired again, in milliseconds; longer than the 6 s heartbeat timeout of a VM.
const REACQUIRE_DELAY_MS: u64 = 10_000;

/// Retention assumed until the log has reported the actual one, in milliseconds.
const RETENTION_ASSUMED_MS: u64 = 3_600_000;

struct Worker<'a> {
    shared: &'a Arc<Shared>,
    messages: Sender<Message>,
    client: LogClient,
    ranges: HashMap<u8, Range>,
    view: Option<Arc<View>>,
    /// Retention that the log has reported.
    retention_ms: Option<u64>,
    /// Reported and needed retention of the last logged warning, in milliseconds; each pair is logged once.
    retention_warning: Option<(u64, u64)>,
    epoch: u64,
    stop: Vec<Sender<()>>,
    is_stopping: bool,
}

/// Runs the claims thread until the process ends.
pub(super) fn run(shared: &Arc<Shared>, messages: &Receiver<Message>) {
    let mut worker = Worker {
        shared,
        messages: shared.claims.messages.clone(),
        client: LogClient::new(&shared.config.platform.log_address),
        ranges: HashMap::new(),
        view: None,
        retention_ms: None,
        retention_warning: None,
        epoch: 0,
        stop: Vec::new(),
        is_stopping: false,
    };
    let mut next_tick_ms = 0;
    loop {
        match messages.recv_timeout(Duration::from_millis(TICK_MS)) {
            Ok(message) => worker.handle(message),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now_ms = shared.now_ms();
        if now_ms >= next_tick_ms {
            next_tick_ms = now_ms + TICK_MS;
            worker.tick();
        }
    }
}

impl Worker<'_> {
    fn handle(&mut self, message: Message) {
        match message {
            Message::Claim { request, reply } => self.claim(&request, reply),
            Message::GiveUp { key, claimant } => {
                let range = key.range();
                if let Some(range) = self.ranges.get_mut(&range) {
                    range.replies.remove(&claimant);
                }
                self.step(range, Input::GiveUp { key, claimant });
            }
            Message::Settle(settlement) => {
                let key = claim_key(&settlement.organisation, settlement.key);
                if !self.ranges.contains_key(&key.range()) {
                    counters::count_lost_settlement();
                }
                let id = settlement.grant.into();
                let result = settlement.result.into();
                self.step(key.range(), Input::Settle { key, id, result });
            }
            Message::Range {
                range,
                epoch,
                input,
            } => {
                if self.ranges.get(&range).is_some_and(|r| r.epoch == epoch) {
                    self.step(range, *input);
                }
            }
            Message::Retention { retention_ms } => {
                self.retention_ms = Some(retention_ms);
                self.view = None;
            }
            Message::Stop { done } => {
                self.is_stopping = true;
                self.stop.push(done);
                for range in 0..CLAIM_RANGES {
                    self.step(range, Input::Stop);
                }
            }
        }
    }

    fn claim(&mut self, request: &ClaimRequest, reply: Sender<ClaimVerdict>) {
        let key = claim_key(&request.organisation, request.key);
        let range = key.range();
        let Some(state) = self.ranges.get_mut(&range) else {
            // The owner of the range may have run an earlier request with the key.
            let message = "this VM does not own the range of the key";
            let refusal = Refusal::may_have_run(Reason::RangeHandover, RETRY_AFTER_MS, message);
            // A requester that stopped waiting sends a give-up itself.
            let _ = reply.try_send(ClaimVerdict::Refused(refusal));
            return;
        };
        state.replies.insert(request.claimant, reply);
        let request = Request {
            key,
            claimant: request.claimant,
            body_hash: request.body_hash,
            may_use_memory: request.may_use_memory,
            deadline_ms: self.shared.now_ms() + request.wait_ms,
        };
        self.step(range, Input::Claim(Box::new(request)));
    }

    fn tick(&mut self) {
        self.refresh();
        for range in 0..CLAIM_RANGES {
            self.step(range, Input::Tick);
        }
        if self.is_stopping && self.ranges.values().all(|r| r.owner.is_handed_over()) {
            for done in self.stop.drain(..) {
                // The daemon may have stopped waiting.
                let _ = done.try_send(());
            }
        }
    }

    /// Applies changes of settings, membership or retention, and closes ranges that were handed over to other VMs.
    fn refresh(&mut self) {
        let view = self.shared.view();
        let local_vm = &self.shared.config.vm.name;
        if self
            .view
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &view))
        {
            return self.close_unused(&view, local_vm);
        }
        let retention_ms = self.retention_ms.unwrap_or(RETENTION_ASSUMED_MS);
        let limits = claim_limits(&view.settings, retention_ms);
        self.check_retention(&limits);
        let reachable = view.members.iter().filter(|member| member.is_reachable);
        let live: BTreeSet<Name> = reachable.map(|member| member.name.clone()).collect();
        for range in 0..CLAIM_RANGES {
            let preferred = preferred_owner(&view, local_vm, range);
            let should_open =
                preferred == *local_vm && uses_claims(&view.settings) && !self.is_stopping;
            if should_open && !self.ranges.contains_key(&range) {
                self.open(range, limits.clone());
            }
            self.step(range, Input::Limits(limits.clone()));
            let live = live.clone();
            self.step(range, Input::Members { preferred, live });
        }
        self.close_unused(&view, local_vm);
        self.view = Some(view);
    }

    fn open(&mut self, range: u8, limits: Limits) {
        self.epoch += 1;
        let identity = Owner {
            vm: self.shared.config.vm.name.clone(),
            incarnation: self.shared.incarnation,
        };
        let reporter = Reporter {
            range,
            epoch: self.epoch,
            messages: self.messages.clone(),
        };
        let owner = ClaimOwner::new(identity, limits, self.now());
        let state = Range::start(owner, &self.client, reporter);
        self.ranges.insert(range, state);
        self.publish_open_ranges();
    }

    fn close_unused(&mut self, view: &View, local_vm: &Name) {
        self.ranges.retain(|range, state| {
            let is_preferred = preferred_owner(view, local_vm, *range) == *local_vm;
            // A range that is opened again would not know of its loss.
            is_preferred
                || !state.owner.is_handed_over()
                || !state.replies.is_empty()
                || state.owner.has_lost_records()
        });
        self.publish_open_ranges();
    }

    fn publish_open_ranges(&self) {
        let bits = self.ranges.keys().map(|range| range_bit(*range));
        let open_ranges = bits.fold(0, |all, bit| all | bit);
        self.shared
            .claims
            .open_ranges
            .store(open_ranges, Ordering::Relaxed);
    }

    fn check_retention(&mut self, limits: &Limits) {
        let needed_ms = limits.key_lifetime_ms + 2 * limits.clock_skew_max_ms;
        let Some(retention_ms) = self.retention_ms.filter(|kept_ms| *kept_ms <= needed_ms) else {
            self.retention_warning = None;
            return;
        };
        if self.retention_warning.replace((retention_ms, needed_ms))
            == Some((retention_ms, needed_ms))
        {
            return;
        }
        counters::count_short_retention();
        log::error!(
            "the log keeps records for {retention_ms} ms, but claims need more than {needed_ms} ms: lower \
             claims.key_lifetime_s or raise the retention of the streams claims-0 to claims-7"
        );
    }

    fn now(&self) -> Now {
        Now {
            monotonic_ms: self.shared.now_ms(),
            wall_ms: unix_now_ms(),
        }
    }

    fn step(&mut self, range: u8, input: Input) {
        let now = self.now();
        let Some(state) = self.ranges.get_mut(&range) else {
            return;
        };
        let fence = state.owner.table().fence();
        let effects = state.owner.step(now, input);
        if state.owner.table().fence() != fence {
            log::info!(
                "range {range}: fence {}, owner {:?}",
                state.owner.table().fence(),
                state.owner.table().owner()
            );
        }
        let pending = state.owner.pending_len();
        if pending != state.exported_pending {
            state.exported_pending = pending;
            counters::set_pending(range, pending);
        }
        if !state.owner.is_owner() {
            // A former owner must stop sending orders, since endpoints reject its fencing token.
            state.is_raise_cancelled.store(true, Ordering::Relaxed);
        }
        for effect in effects {
            apply(self.shared, &self.messages, range, state, effect);
        }
    }
}

fn apply(
    shared: &Arc<Shared>,
    messages: &Sender<Message>,
    range: u8,
    state: &mut Range,
    effect: Effect,
) {
    match effect {
        Effect::Append(records) => state.append(records),
        Effect::Reply { claimant, decision } => {
            if let Some(reply) = state.replies.remove(&claimant) {
                // A requester that stopped waiting sends a give-up itself.
                let _ = reply.try_send(claim_verdict(range, decision));
            }
        }
        Effect::RaiseFence(fence) => {
            state.is_raise_cancelled.store(true, Ordering::Relaxed);
            state.is_raise_cancelled = Arc::new(AtomicBool::new(false));
            let is_cancelled = Arc::clone(&state.is_raise_cancelled);
            let reporter = Reporter {
                range,
                epoch: state.epoch,
                messages: messages.clone(),
            };
            fence::start(Arc::clone(shared), range, fence, is_cancelled, move || {
                reporter.report(Input::FenceRaised(fence));
            });
        }
    }
}

fn claim_verdict(range: u8, decision: ClaimDecision) -> ClaimVerdict {
    match decision {
        ClaimDecision::Granted(id) => ClaimVerdict::Granted(Grant {
            range,
            fence: id.fence,
            attempt: id.attempt,
        }),
        ClaimDecision::Done(answer) => ClaimVerdict::Done(answer.into()),
        ClaimDecision::Refused(refusal) => ClaimVerdict::Refused(refusal),
    }
}

fn claim_limits(settings: &Settings, retention_ms: u64) -> Limits {
    let claims = &settings.claims;
    Limits {
        key_lifetime_ms: claims.key_lifetime_s * 1_000,
        clock_skew_max_ms: claims.clock_skew_max_ms,
        group_commit_ms: claims.group_commit_ms,
        append_retry_ms: APPEND_RETRY_MS,
        outage_after_ms: claims.outage_after_ms,
        renew_ms: retention_ms / 4,
        reacquire_delay_ms: REACQUIRE_DELAY_MS,
        uses_memory: classes(settings).any(|class| may_use_memory(settings, class)),
    }
}

fn classes(settings: &Settings) -> impl Iterator<Item = &Class> {
    settings
        .teams
        .values()
        .flat_map(|team| team.classes.values())
}

fn uses_claims(settings: &Settings) -> bool {
    classes(settings).any(|class| !class.idempotent)
}

/// Returns whether claims of the class may be granted from memory while the log is down.
pub(crate) fn may_use_memory(settings: &Settings, class: &Class) -> bool {
    let Some(pool) = settings.pools.get(&class.pool) else {
        return false;
    };
    let is_fenced = pool
        .endpoints
        .iter()
        .all(|endpoint| endpoint.checks_fencing);
    !class.idempotent && class.on_log_outage == OnLogOutage::FromMemory && is_fenced
}
