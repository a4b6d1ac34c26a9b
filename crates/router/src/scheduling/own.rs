//! Requests of this VM, from their enqueue to their end.

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
use crate::scheduling::local::TAKEOVER_PAUSE_MS;
use crate::scheduling::shard;
use crate::shared::Shared;
use crate::shared::View;

/// Pause before a request that its owner did not take is enqueued again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 20;

/// Time after which a request that no member takes is scheduled by its own VM, in milliseconds.
///
/// Members that disagree on the owner agree again within a heartbeat. A second owner overfills an endpoint at worst.
const UNPLACED_MAX_MS: u64 = 2_000;

/// Time after which a request for an unknown pool may come back, in milliseconds.
const UNKNOWN_POOL_RETRY_AFTER_MS: u64 = 1_000;

/// Time after which a placement without a verdict was in the queue of its owner, in milliseconds.
const HELD_MS: u64 = 500;

/// Time for a verdict beyond the deadline of the request, in milliseconds.
const VERDICT_MARGIN_MS: u64 = 2_000;

/// Who schedules a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Seat {
    /// Nobody yet; it is enqueued from `at_ms` on.
    Nobody { at_ms: u64 },
    /// This VM.
    Local,
    /// Another VM.
    Remote { name: Name, incarnation: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for a slot.
    Waiting,
    /// It runs on an endpoint.
    Running { endpoint: Name },
    /// It neither waits nor runs, between two attempts or at its end.
    Idle,
}

/// A request of this VM.
pub(super) struct Own {
    pub(super) orders: Sender<SlotCommand>,
    pub(super) shard: Shard,
    pub(super) request: SlotRequest,
    pub(super) seat: Seat,
    pub(super) phase: Phase,
    /// Number of the placement; answers to earlier ones are ignored.
    pub(super) placement: u64,
    pub(super) enqueued: Instant,
    pub(super) placed_ms: u64,
    /// Since when no owner takes the request.
    pub(super) unplaced_ms: Option<u64>,
    /// Whether it stays on this VM, since no member took it.
    pub(super) is_settled: bool,
}

impl State {
    /// Moves requests whose shard has another owner now.
    pub(super) fn reseat(&mut self) {
        let old_seats = std::mem::take(&mut self.seats);
        let now_ms = self.shared.now_ms();
        for (shard, local) in &mut self.locals {
            let seat = locate_scheduler(&self.shared, &self.view, shard);
            let was_remote = matches!(old_seats.get(shard), Some(Seat::Remote { .. }));
            if was_remote && seat == Seat::Local {
                local.paused_until_ms = now_ms + TAKEOVER_PAUSE_MS;
            }
            self.seats.insert(shard.clone(), seat);
        }
        let mut moved = Vec::new();
        for (ticket, own) in &self.own {
            let Some(pool) = self.view.settings.pools.get(&own.shard.pool) else {
                continue;
            };
            if own.phase == Phase::Idle {
                continue;
            }
            let data_centre = &self.shared.config.vm.data_centre;
            let shard = shard::pool_shard(&own.shard.pool, pool, data_centre);
            let seat = self
                .seats
                .entry(shard.clone())
                .or_insert_with(|| locate_scheduler(&self.shared, &self.view, &shard));
            if shard != own.shard || (own.seat != *seat && !own.is_settled) {
                moved.push((*ticket, shard));
            }
        }
        self.release_waiting();
        self.move_requests(moved);
    }

    /// Moves requests to the present owners of their shards.
    pub(super) fn move_requests(&mut self, moved: Vec<(TicketId, Shard)>) {
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        for (ticket, shard) in moved {
            let Some(own) = self.own.get(&ticket) else {
                continue;
            };
            metrics::counter!(metric::MOVED).increment(1);
            match own.phase.clone() {
                Phase::Waiting => waiting.push((ticket, shard)),
                Phase::Running { endpoint } => running.push((ticket, shard, endpoint)),
                Phase::Idle => {}
            }
        }
        // In the order of their arrival.
        waiting.sort_by_key(|(ticket, _)| *ticket);
        // A running request that leaves first would free a slot for a waiting one at the old owner.
        for (ticket, _) in &waiting {
            self.withdraw(*ticket);
        }
        for (ticket, _, _) in &running {
            self.withdraw(*ticket);
        }
        // The new owner has to count what runs before it grants a slot.
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
        if let Some(own) = self.own.get_mut(&ticket) {
            own.shard = shard;
        }
    }

    pub(super) fn enqueue(
        &mut self,
        pool_name: &Name,
        request: SlotRequest,
        orders: Sender<SlotCommand>,
    ) {
        let ticket = request.ticket;
        // A request between two attempts is only known to the scheduler by its earlier ones, which still count.
        if self
            .own
            .get(&ticket)
            .is_some_and(|own| own.phase != Phase::Idle)
        {
            self.withdraw(ticket);
        }
        let Some(pool) = self.view.settings.pools.get(pool_name) else {
            let _ = orders.try_send(unknown_pool_refusal());
            return;
        };
        let now_ms = self.shared.now_ms();
        let own = Own {
            orders,
            shard: shard::pool_shard(pool_name, pool, &self.shared.config.vm.data_centre),
            request,
            seat: Seat::Nobody { at_ms: now_ms },
            phase: Phase::Waiting,
            placement: 0,
            enqueued: Instant::now(),
            placed_ms: now_ms,
            unplaced_ms: None,
            is_settled: false,
        };
        self.own.insert(ticket, own);
        self.place(ticket);
    }

    /// Enqueues a request at the owner of its shard.
    pub(super) fn place(&mut self, ticket: TicketId) {
        let now_ms = self.shared.now_ms();
        let Some(shard) = self.own.get(&ticket).map(|own| own.shard.clone()) else {
            return;
        };
        let seat = self.choose_seat(&shard);
        let Some(own) = self.own.get_mut(&ticket) else {
            return;
        };
        self.placements += 1;
        own.placement = self.placements;
        own.placed_ms = now_ms;
        own.phase = Phase::Waiting;
        let waited_ms = own.unplaced_ms.map_or(0, |since_ms| now_ms - since_ms);
        own.is_settled = waited_ms >= UNPLACED_MAX_MS;
        own.seat = match own.is_settled {
            true => Seat::Local,
            false => seat,
        };
        match &own.seat {
            Seat::Remote { name, incarnation } => {
                let skipped = unreachable_members(&self.view);
                let call = peer::enqueue_call(&shard, &own.request, now_ms, skipped);
                let left_ms = own.request.deadline_at_ms.saturating_sub(now_ms);
                let timeout = Duration::from_millis(left_ms + VERDICT_MARGIN_MS);
                let tag = ReplyTag::Enqueue {
                    ticket,
                    placement: own.placement,
                };
                if let Err(error) =
                    self.shared
                        .peers
                        .schedule(name, *incarnation, call, timeout, tag)
                {
                    log::warn!("request {ticket:?} is enqueued again: {error}");
                    own.seat = Seat::Nobody {
                        at_ms: now_ms + RETRY_PAUSE_MS,
                    };
                }
            }
            Seat::Local | Seat::Nobody { .. } => {
                let request = Box::new(own.request.clone());
                self.step_ticket(&shard, ticket, Input::Enqueue(request));
            }
        }
    }

    /// Makes the owner of the shard count a request that already runs.
    pub(super) fn adopt(&mut self, ticket: TicketId, endpoint: Name) {
        let now_ms = self.shared.now_ms();
        let Some(shard) = self.own.get(&ticket).map(|own| own.shard.clone()) else {
            return;
        };
        let seat = self.choose_seat(&shard);
        let Some(own) = self.own.get_mut(&ticket) else {
            return;
        };
        self.placements += 1;
        own.placement = self.placements;
        own.seat = seat;
        match &own.seat {
            Seat::Remote { name, incarnation } => {
                let call = Call::Adopt {
                    shard,
                    slot_request: Box::new(RemoteSlotRequest::from_slot_request(
                        &own.request,
                        now_ms,
                    )),
                    endpoint,
                };
                let tag = ReplyTag::Adopt {
                    ticket,
                    placement: own.placement,
                };
                let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
                if let Err(error) =
                    self.shared
                        .peers
                        .schedule(name, *incarnation, call, timeout, tag)
                {
                    log::warn!("request {ticket:?} is not adopted: {error}");
                }
            }
            Seat::Local | Seat::Nobody { .. } => {
                let request = Box::new(own.request.clone());
                self.step_ticket(&shard, ticket, Input::Adopt { request, endpoint });
            }
        }
    }

    /// Adopts running requests again at a process to which there is a new connection.
    ///
    /// The process may have declared this VM gone while the connection was broken.
    pub(super) fn adopt_again(&mut self, incarnation: u64) {
        let mut running = Vec::new();
        for (ticket, own) in &self.own {
            if let Seat::Remote {
                incarnation: at, ..
            } = &own.seat
                && let Phase::Running { endpoint } = &own.phase
                && *at == incarnation
            {
                running.push((*ticket, endpoint.clone()));
            }
        }
        for (ticket, endpoint) in running {
            self.adopt(ticket, endpoint);
        }
    }

    /// Ends the wait or run of a request where it is seated.
    pub(super) fn withdraw(&mut self, ticket: TicketId) {
        let Some(own) = self.own.get(&ticket) else {
            return;
        };
        let shard = own.shard.clone();
        match own.seat.clone() {
            Seat::Local => self.step(&shard, Input::Cancel(ticket)),
            Seat::Remote { name, incarnation } if own.phase != Phase::Idle => {
                self.cancel(name, incarnation, shard, ticket);
            }
            Seat::Remote { .. } | Seat::Nobody { .. } => {}
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
        self.own.remove(&ticket);
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
        let Some(own) = self.own.get_mut(&ticket) else {
            return;
        };
        if let ReportEvent::Finish { .. } = event {
            own.phase = Phase::Idle;
        }
        let shard = own.shard.clone();
        match own.seat.clone() {
            Seat::Local => self.step(&shard, input),
            Seat::Remote { name, incarnation } => {
                let report = Report {
                    shard,
                    ticket,
                    event,
                };
                self.push(&name, incarnation, report);
            }
            Seat::Nobody { .. } => {}
        }
    }

    pub(super) fn take_verdict(
        &mut self,
        ticket: TicketId,
        placement: u64,
        result: peer::Result<Answer>,
    ) {
        let now_ms = self.shared.now_ms();
        // An answer to an earlier placement needs no action: the placement was withdrawn when it was replaced.
        let Some(own) = self.own.get_mut(&ticket) else {
            return;
        };
        if own.placement != placement {
            return;
        }
        let outcome = match result {
            Ok(Answer::Verdict(Verdict::Grant { endpoint, address })) => {
                if self.view.leaving.contains(&endpoint) {
                    // The owner does not know yet that the endpoint leaves.
                    self.withdraw(ticket);
                    if let Some(own) = self.own.get_mut(&ticket) {
                        own.request.excluded.push(endpoint);
                    }
                    self.place(ticket);
                    "leaving"
                } else {
                    metrics::histogram!(metric::GRANT, "owner" => "remote")
                        .record(own.enqueued.elapsed().as_secs_f64());
                    own.unplaced_ms = None;
                    own.phase = Phase::Running {
                        endpoint: endpoint.clone(),
                    };
                    let _ = own
                        .orders
                        .try_send(SlotCommand::Grant { endpoint, address });
                    "granted"
                }
            }
            Ok(Answer::Verdict(Verdict::Refuse {
                reason,
                retry_after_ms,
            })) => {
                own.phase = Phase::Idle;
                let _ = own.orders.try_send(SlotCommand::Refuse {
                    reason,
                    retry_after_ms,
                });
                "refused"
            }
            Ok(_) | Err(_) => {
                if now_ms >= own.placed_ms + HELD_MS {
                    own.unplaced_ms = Some(now_ms);
                }
                own.unplaced_ms.get_or_insert(now_ms);
                own.seat = Seat::Nobody {
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
        if let Some(own) = self.own.get(&ticket)
            && matches!(own.phase, Phase::Running { .. })
        {
            let _ = own.orders.try_send(SlotCommand::Preempt);
        }
    }
}

/// Returns who schedules a shard.
pub(super) fn locate_scheduler(shared: &Shared, view: &View, shard: &Shard) -> Seat {
    let policy = view.settings.pools.get(&shard.pool).map(|pool| pool.policy);
    if policy == Some(Policy::Baseline) {
        return Seat::Local;
    }
    match shard::select_owner(view, shard, &[]) {
        Some(owner) if owner.name != shared.config.vm.name => Seat::Remote {
            name: owner.name.clone(),
            incarnation: owner.incarnation,
        },
        Some(_) | None => Seat::Local,
    }
}

/// Returns the members that this VM cannot reach.
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
