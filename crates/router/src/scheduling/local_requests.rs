//! Requests received by this VM, from enqueue to completion.

use std::time::Duration;
use std::time::Instant;

use flume::Sender;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::TicketId;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::coordination::scheduler::SlotRequest;
use waxwing_core::state::settings::Policy;
use waxwing_wire::peer::RemoteSlotRequest;
use waxwing_wire::peer::Report;
use waxwing_wire::peer::ReportEvent;
use waxwing_wire::peer::Shard;
use waxwing_wire::peer::Verdict;

use crate::metric;
use crate::peer;
use crate::peer::Answer;
use crate::peer::CALL_TIMEOUT_MS;
use crate::peer::Call;
use crate::scheduling::ReplyTag;
use crate::scheduling::SlotCommand;
use crate::scheduling::State;
use crate::scheduling::local_shards::TAKEOVER_PAUSE_MS;
use crate::scheduling::shard;
use crate::shared::Shared;
use crate::shared::View;

/// Delay before a request that its owner did not accept is enqueued again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 20;

/// Time after which a request that no member accepts is scheduled by this VM, in milliseconds.
///
/// Members that disagree on the owner agree again within a heartbeat. Two owners can at worst overload an endpoint.
const UNPLACED_MAX_MS: u64 = 2_000;

/// Time after which a request for an unknown pool may be retried, in milliseconds.
const UNKNOWN_POOL_RETRY_AFTER_MS: u64 = 1_000;

/// Age from which a failed enqueue call is assumed to have waited in its owner's queue, in milliseconds.
///
/// Such a wait does not count towards [`UNPLACED_MAX_MS`].
const ASSUMED_QUEUED_MS: u64 = 500;

/// Time beyond the deadline of the request for the owner's reply to an enqueue, in milliseconds.
const ENQUEUE_REPLY_MARGIN_MS: u64 = 2_000;

/// Where a request or shard is scheduled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SchedulerLocation {
    /// Not yet assigned; the request is enqueued from `at_ms` on.
    Unassigned { at_ms: u64 },
    /// This VM.
    Local,
    /// Another VM.
    Remote { name: Name, incarnation: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits for a slot.
    Waiting,
    /// Runs on an endpoint.
    Running { endpoint: Name },
    /// Neither waits nor runs: between two attempts, or completed.
    Idle,
}

/// A request received by this VM.
pub(super) struct LocalRequest {
    pub(super) commands: Sender<SlotCommand>,
    pub(super) shard: Shard,
    pub(super) slot_request: SlotRequest,
    pub(super) location: SchedulerLocation,
    pub(super) phase: Phase,
    /// Sequence number of the placement; replies to earlier ones are ignored.
    pub(super) placement: u64,
    pub(super) enqueued: Instant,
    pub(super) placed_ms: u64,
    /// Time since which no owner has accepted the request.
    pub(super) unplaced_since_ms: Option<u64>,
    /// Whether the request stays on this VM because no member accepted it.
    pub(super) is_pinned: bool,
}

impl State {
    /// Moves requests whose shard has a new owner.
    pub(super) fn reassign_requests(&mut self) {
        let old_locations = std::mem::take(&mut self.locations);
        let now_ms = self.shared.now_ms();
        for (shard, local) in &mut self.local_shards {
            let location = locate_scheduler(&self.shared, &self.view, shard);
            let was_remote = matches!(
                old_locations.get(shard),
                Some(SchedulerLocation::Remote { .. })
            );
            if was_remote && location == SchedulerLocation::Local {
                local.paused_until_ms = now_ms + TAKEOVER_PAUSE_MS;
            }
            self.locations.insert(shard.clone(), location);
        }
        let mut moved = Vec::new();
        for (ticket, local_request) in &self.local_requests {
            let Some(pool) = self.view.settings.pools.get(&local_request.shard.pool) else {
                continue;
            };
            if local_request.phase == Phase::Idle {
                continue;
            }
            let data_centre = &self.shared.config.vm.data_centre;
            let shard = shard::pool_shard(&local_request.shard.pool, pool, data_centre);
            let location = self
                .locations
                .entry(shard.clone())
                .or_insert_with(|| locate_scheduler(&self.shared, &self.view, &shard));
            if shard != local_request.shard
                || (local_request.location != *location && !local_request.is_pinned)
            {
                moved.push((*ticket, shard));
            }
        }
        self.release_waiting();
        self.move_requests(moved);
    }

    /// Moves requests to the current owners of their shards.
    pub(super) fn move_requests(&mut self, moved: Vec<(TicketId, Shard)>) {
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        for (ticket, shard) in moved {
            let Some(local_request) = self.local_requests.get(&ticket) else {
                continue;
            };
            metrics::counter!(metric::MOVED).increment(1);
            match local_request.phase.clone() {
                Phase::Waiting => waiting.push((ticket, shard)),
                Phase::Running { endpoint } => running.push((ticket, shard, endpoint)),
                Phase::Idle => {}
            }
        }
        // Keep the order of arrival.
        waiting.sort_by_key(|(ticket, _)| *ticket);
        // Withdraw waiting requests first: the old owner would grant them the slots that running ones free.
        for (ticket, _) in &waiting {
            self.withdraw(*ticket);
        }
        for (ticket, _, _) in &running {
            self.withdraw(*ticket);
        }
        // The new owner must count running requests before it grants slots.
        for (ticket, shard, endpoint) in running {
            self.set_shard(ticket, shard);
            self.adopt(ticket, endpoint);
        }
        for (ticket, shard) in waiting {
            self.set_shard(ticket, shard);
            self.place(ticket);
        }
    }

    pub(super) fn set_shard(&mut self, ticket: TicketId, shard: Shard) {
        if let Some(local_request) = self.local_requests.get_mut(&ticket) {
            local_request.shard = shard;
        }
    }

    pub(super) fn enqueue(
        &mut self,
        pool_name: &Name,
        slot_request: SlotRequest,
        commands: Sender<SlotCommand>,
    ) {
        let ticket = slot_request.ticket;
        // An idle request is not withdrawn, since its scheduler still counts its earlier attempts.
        if self
            .local_requests
            .get(&ticket)
            .is_some_and(|local_request| local_request.phase != Phase::Idle)
        {
            self.withdraw(ticket);
        }
        let Some(pool) = self.view.settings.pools.get(pool_name) else {
            let _ = commands.try_send(unknown_pool_refusal());
            return;
        };
        let now_ms = self.shared.now_ms();
        let local_request = LocalRequest {
            commands,
            shard: shard::pool_shard(pool_name, pool, &self.shared.config.vm.data_centre),
            slot_request,
            location: SchedulerLocation::Unassigned { at_ms: now_ms },
            phase: Phase::Waiting,
            placement: 0,
            enqueued: Instant::now(),
            placed_ms: now_ms,
            unplaced_since_ms: None,
            is_pinned: false,
        };
        self.local_requests.insert(ticket, local_request);
        self.place(ticket);
    }

    /// Enqueues a request at the owner of its shard, or at this VM after [`UNPLACED_MAX_MS`].
    pub(super) fn place(&mut self, ticket: TicketId) {
        let now_ms = self.shared.now_ms();
        let Some(shard) = self
            .local_requests
            .get(&ticket)
            .map(|local_request| local_request.shard.clone())
        else {
            return;
        };
        let location = self.scheduler_location(&shard);
        let Some(local_request) = self.local_requests.get_mut(&ticket) else {
            return;
        };
        self.placements += 1;
        local_request.placement = self.placements;
        local_request.placed_ms = now_ms;
        local_request.phase = Phase::Waiting;
        let waited_ms = local_request
            .unplaced_since_ms
            .map_or(0, |since_ms| now_ms - since_ms);
        local_request.is_pinned = waited_ms >= UNPLACED_MAX_MS;
        local_request.location = match local_request.is_pinned {
            true => SchedulerLocation::Local,
            false => location,
        };
        match &local_request.location {
            SchedulerLocation::Remote { name, incarnation } => {
                let skipped = unreachable_members(&self.view);
                let call = peer::enqueue_call(&shard, &local_request.slot_request, now_ms, skipped);
                let left_ms = local_request
                    .slot_request
                    .deadline_at_ms
                    .saturating_sub(now_ms);
                let timeout = Duration::from_millis(left_ms + ENQUEUE_REPLY_MARGIN_MS);
                let tag = ReplyTag::Enqueue {
                    ticket,
                    placement: local_request.placement,
                };
                if let Err(error) =
                    self.shared
                        .peers
                        .schedule(name, *incarnation, call, timeout, tag)
                {
                    log::warn!("request {ticket:?} could not be enqueued and is retried: {error}");
                    local_request.location = SchedulerLocation::Unassigned {
                        at_ms: now_ms + RETRY_PAUSE_MS,
                    };
                }
            }
            SchedulerLocation::Local | SchedulerLocation::Unassigned { .. } => {
                let request = Box::new(local_request.slot_request.clone());
                self.step_ticket(&shard, ticket, Input::Enqueue(request));
            }
        }
    }

    /// Registers a running request at the owner of its shard, which then counts its slot.
    pub(super) fn adopt(&mut self, ticket: TicketId, endpoint: Name) {
        let now_ms = self.shared.now_ms();
        let Some(shard) = self
            .local_requests
            .get(&ticket)
            .map(|local_request| local_request.shard.clone())
        else {
            return;
        };
        let location = self.scheduler_location(&shard);
        let Some(local_request) = self.local_requests.get_mut(&ticket) else {
            return;
        };
        self.placements += 1;
        local_request.placement = self.placements;
        local_request.location = location;
        match &local_request.location {
            SchedulerLocation::Remote { name, incarnation } => {
                let call = Call::Adopt {
                    shard,
                    slot_request: Box::new(RemoteSlotRequest::from_slot_request(
                        &local_request.slot_request,
                        now_ms,
                    )),
                    endpoint,
                };
                let tag = ReplyTag::Adopt {
                    ticket,
                    placement: local_request.placement,
                };
                let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
                if let Err(error) =
                    self.shared
                        .peers
                        .schedule(name, *incarnation, call, timeout, tag)
                {
                    log::warn!(
                        "running request {ticket:?} could not be registered at its owner: {error}"
                    );
                }
            }
            SchedulerLocation::Local | SchedulerLocation::Unassigned { .. } => {
                let request = Box::new(local_request.slot_request.clone());
                self.step_ticket(&shard, ticket, Input::Adopt { request, endpoint });
            }
        }
    }

    /// Registers running requests again at a process after a reconnect.
    ///
    /// The process may have dropped them when it declared this VM gone.
    pub(super) fn adopt_again(&mut self, incarnation: u64) {
        let mut running = Vec::new();
        for (ticket, local_request) in &self.local_requests {
            if let SchedulerLocation::Remote {
                incarnation: at, ..
            } = &local_request.location
                && let Phase::Running { endpoint } = &local_request.phase
                && *at == incarnation
            {
                running.push((*ticket, endpoint.clone()));
            }
        }
        for (ticket, endpoint) in running {
            self.adopt(ticket, endpoint);
        }
    }

    /// Cancels a request at its scheduler.
    pub(super) fn withdraw(&mut self, ticket: TicketId) {
        let Some(local_request) = self.local_requests.get(&ticket) else {
            return;
        };
        let shard = local_request.shard.clone();
        match local_request.location.clone() {
            SchedulerLocation::Local => self.step(&shard, Input::Cancel(ticket)),
            SchedulerLocation::Remote { name, incarnation }
                if local_request.phase != Phase::Idle =>
            {
                self.cancel(name, incarnation, shard, ticket);
            }
            SchedulerLocation::Remote { .. } | SchedulerLocation::Unassigned { .. } => {}
        }
    }

    pub(super) fn cancel(&mut self, name: Name, incarnation: u64, shard: Shard, ticket: TicketId) {
        let call = Call::Cancel {
            shard: shard.clone(),
            ticket,
        };
        let tag = ReplyTag::Cancel {
            peer: name.clone(),
            incarnation,
            shard: shard.clone(),
            ticket,
        };
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        if self
            .shared
            .peers
            .schedule(&name, incarnation, call, timeout, tag)
            .is_err()
        {
            self.push_cancel(&name, incarnation, shard, ticket);
        }
    }

    pub(super) fn leave(&mut self, ticket: TicketId) {
        self.withdraw(ticket);
        self.local_requests.remove(&ticket);
    }

    pub(super) fn input(&mut self, pool: &Name, input: Input) {
        let event = match &input {
            Input::FirstToken { ticket, elapsed_ms } => {
                let elapsed_ms = *elapsed_ms;
                Some((*ticket, ReportEvent::FirstToken { elapsed_ms }))
            }
            Input::Progress {
                ticket,
                tokens,
                gap_us,
            } => {
                let (tokens, gap_us) = (*tokens, *gap_us);
                Some((*ticket, ReportEvent::Progress { tokens, gap_us }))
            }
            Input::Finish {
                ticket,
                end,
                tokens,
            } => {
                let (end, tokens) = (*end, *tokens);
                Some((*ticket, ReportEvent::Finish { end, tokens }))
            }
            Input::Cancel(ticket) => return self.withdraw(*ticket),
            _ => None,
        };
        match event {
            Some((ticket, event)) => self.observe(ticket, event, input),
            None => self.step_pool(pool, &input),
        }
    }

    /// Passes an observation of a request of this VM to the scheduler that granted it.
    pub(super) fn observe(&mut self, ticket: TicketId, event: ReportEvent, input: Input) {
        let Some(local_request) = self.local_requests.get_mut(&ticket) else {
            return;
        };
        if let ReportEvent::Finish { .. } = event {
            local_request.phase = Phase::Idle;
        }
        let shard = local_request.shard.clone();
        match local_request.location.clone() {
            SchedulerLocation::Local => self.step(&shard, input),
            SchedulerLocation::Remote { name, incarnation } => {
                let report = Report {
                    shard,
                    ticket,
                    event,
                };
                self.push(&name, incarnation, report);
            }
            SchedulerLocation::Unassigned { .. } => {}
        }
    }

    pub(super) fn handle_enqueue_reply(
        &mut self,
        ticket: TicketId,
        placement: u64,
        result: peer::Result<Answer>,
    ) {
        let now_ms = self.shared.now_ms();
        // An answer to an earlier placement needs no action: the placement was withdrawn when it was replaced.
        let Some(local_request) = self.local_requests.get_mut(&ticket) else {
            return;
        };
        if local_request.placement != placement {
            return;
        }
        let outcome = match result {
            Ok(Answer::Verdict(Verdict::Grant { endpoint, address })) => {
                if self.view.leaving.contains(&endpoint) {
                    // The owner has not yet learned that the endpoint is leaving.
                    self.withdraw(ticket);
                    if let Some(local_request) = self.local_requests.get_mut(&ticket) {
                        local_request.slot_request.excluded.push(endpoint);
                    }
                    self.place(ticket);
                    "leaving"
                } else {
                    metrics::histogram!(metric::GRANT, "owner" => "remote")
                        .record(local_request.enqueued.elapsed().as_secs_f64());
                    local_request.unplaced_since_ms = None;
                    local_request.phase = Phase::Running {
                        endpoint: endpoint.clone(),
                    };
                    let _ = local_request
                        .commands
                        .try_send(SlotCommand::Grant { endpoint, address });
                    "granted"
                }
            }
            Ok(Answer::Verdict(Verdict::Refuse {
                reason,
                retry_after_ms,
            })) => {
                local_request.phase = Phase::Idle;
                let _ = local_request.commands.try_send(SlotCommand::Refuse {
                    reason,
                    retry_after_ms,
                });
                "refused"
            }
            Ok(_) | Err(_) => {
                if now_ms >= local_request.placed_ms + ASSUMED_QUEUED_MS {
                    local_request.unplaced_since_ms = Some(now_ms);
                }
                local_request.unplaced_since_ms.get_or_insert(now_ms);
                local_request.location = SchedulerLocation::Unassigned {
                    at_ms: now_ms + RETRY_PAUSE_MS,
                };
                if result.is_ok() {
                    "not_owner"
                } else {
                    "failed"
                }
            }
        };
        metrics::counter!(metric::REMOTE_ENQUEUES, "outcome" => outcome).increment(1);
    }

    pub(super) fn preempted(&mut self, ticket: TicketId) {
        if let Some(local_request) = self.local_requests.get(&ticket)
            && matches!(local_request.phase, Phase::Running { .. })
        {
            let _ = local_request.commands.try_send(SlotCommand::Preempt);
        }
    }
}

/// Returns where a shard is scheduled.
pub(super) fn locate_scheduler(shared: &Shared, view: &View, shard: &Shard) -> SchedulerLocation {
    let policy = view.settings.pools.get(&shard.pool).map(|pool| pool.policy);
    if policy == Some(Policy::Baseline) {
        return SchedulerLocation::Local;
    }
    match shard::select_owner(view, shard, &[]) {
        Some(owner) if owner.name != shared.config.vm.name => SchedulerLocation::Remote {
            name: owner.name.clone(),
            incarnation: owner.incarnation,
        },
        Some(_) | None => SchedulerLocation::Local,
    }
}

fn unreachable_members(view: &View) -> Vec<Name> {
    let unreachable = view.members.iter().filter(|member| !member.is_reachable);
    unreachable.map(|member| member.name.clone()).collect()
}

/// Returns the refusal of a request whose pool is unknown or was removed.
pub(super) fn unknown_pool_refusal() -> SlotCommand {
    SlotCommand::Refuse {
        reason: Reason::NoEndpoint,
        retry_after_ms: UNKNOWN_POOL_RETRY_AFTER_MS,
    }
}
