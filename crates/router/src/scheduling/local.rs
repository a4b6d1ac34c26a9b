//! The schedulers of the shards that this VM owns.

use std::collections::HashMap;
use std::collections::HashSet;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwing_core::Name;
use waxwing_core::TicketId;
use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_core::coordination::scheduler::Effect;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::coordination::scheduler::Scheduler;
use waxwing_core::coordination::scheduler::SlotRequest;
use waxwing_core::state::evidence::CrashFinding;
use waxwing_core::state::settings::Policy;
use waxwing_wire::peer::Shard;
use waxwing_wire::peer::Verdict;

use crate::metric;
use crate::scheduling::SlotCommand;
use crate::scheduling::State;
use crate::scheduling::endpoint_specs;
use crate::scheduling::own::Phase;
use crate::scheduling::own::Seat;
use crate::scheduling::scheduler_config;

/// Time for which a new owner of a shard grants nothing, in milliseconds.
///
/// The other VMs learn of the change within milliseconds and adopt their running requests meanwhile. Without the pause,
/// a new owner granted slots that were taken: 13 requests ran on an engine with 8 slots after a kill.
pub(super) const TAKEOVER_PAUSE_MS: u64 = 100;

/// The scheduler of a shard, and the requests that it knows.
pub(super) struct Local {
    pub(super) scheduler: Scheduler,
    pub(super) tickets: HashSet<TicketId>,
    /// Requests that wait for the end of the pause after a takeover.
    pub(super) paused: Vec<SlotRequest>,
    pub(super) paused_until_ms: u64,
}

impl State {
    /// Publishes counters, gauges and crash evidence of the schedulers on this VM.
    pub(super) fn publish(&self, now_ms: u64) {
        let mut findings: HashMap<&Name, Vec<CrashFinding>> = HashMap::new();
        for (shard, local) in &self.locals {
            metric::publish_scheduler(shard, &local.scheduler, now_ms);
            let found = local.scheduler.findings(now_ms);
            findings.entry(&shard.pool).or_default().extend(found);
        }
        for (pool, findings) in findings {
            self.shared.scheduling.set_findings(pool, findings);
        }
    }

    pub(super) fn set_endpoints(&mut self, shard: &Shard) {
        let Some(pool) = self.view.settings.pools.get(&shard.pool) else {
            return;
        };
        if let Some(local) = self.locals.get_mut(shard) {
            local.scheduler.set_config(scheduler_config(pool));
        }
        let mut specs = endpoint_specs(pool);
        specs.retain(|spec| {
            let data_centre = shard.data_centre.as_ref();
            data_centre.is_none_or(|name| *name == spec.data_centre)
        });
        for spec in &mut specs {
            spec.leaving |= self.view.leaving.contains(&spec.name);
        }
        self.step(shard, Input::Endpoints(specs));
    }

    /// Passes an input that brings a request to the scheduler of a shard, which it creates if there is none.
    pub(super) fn step_ticket(&mut self, shard: &Shard, ticket: TicketId, input: Input) {
        if !self.locals.contains_key(shard) {
            let Some(pool) = self.view.settings.pools.get(&shard.pool) else {
                return;
            };
            let is_alone = self.shared.config.platform.vm_list_address.is_empty();
            let pause_ms = if is_alone || pool.policy == Policy::Baseline {
                0
            } else {
                TAKEOVER_PAUSE_MS
            };
            let local = Local {
                scheduler: Scheduler::with_random(
                    scheduler_config(pool),
                    ChaCha8Rng::from_os_rng(),
                ),
                tickets: HashSet::new(),
                paused: Vec::new(),
                paused_until_ms: self.shared.now_ms() + pause_ms,
            };
            self.locals.insert(shard.clone(), local);
            self.set_endpoints(shard);
            // Without it, the first request to a new owner could be one that crashes endpoints.
            let evidence = self.shared.scheduling.evidence();
            self.step(shard, Input::Evidence(evidence));
        }
        let now_ms = self.shared.now_ms();
        if let Some(local) = self.locals.get_mut(shard) {
            local.tickets.insert(ticket);
        }
        match (self.locals.get_mut(shard), input) {
            (Some(local), Input::Enqueue(request)) if now_ms < local.paused_until_ms => {
                local.paused.push(*request);
            }
            (_, input) => self.step(shard, input),
        }
    }

    /// Passes on the requests that waited for the end of the pause after a takeover.
    pub(super) fn end_pause(&mut self, shard: &Shard, now_ms: u64) {
        let Some(local) = self.locals.get_mut(shard) else {
            return;
        };
        if now_ms < local.paused_until_ms || local.paused.is_empty() {
            return;
        }
        for request in std::mem::take(&mut local.paused) {
            self.step(shard, Input::Enqueue(Box::new(request)));
        }
    }

    /// Passes an input that concerns no request to the schedulers of a pool.
    pub(super) fn step_pool(&mut self, pool: &Name, input: &Input) {
        let mut shards = Vec::new();
        for shard in self.locals.keys() {
            if shard.pool == *pool {
                shards.push(shard.clone());
            }
        }
        for shard in shards {
            self.step(&shard, input.clone());
        }
    }

    pub(super) fn step(&mut self, shard: &Shard, input: Input) {
        let now_ms = self.shared.now_ms();
        let Some(local) = self.locals.get_mut(shard) else {
            return;
        };
        if let Input::Cancel(ticket) | Input::Finish { ticket, .. } = &input {
            local.tickets.remove(ticket);
            local.paused.retain(|request| request.ticket != *ticket);
        }
        if let Input::Finish {
            end: AttemptEnd::Lost,
            ..
        } = input
        {
            self.shared.scheduling.note_loss();
        }
        for effect in local.scheduler.step(now_ms, input) {
            self.apply(shard, effect);
        }
    }

    pub(super) fn apply(&mut self, shard: &Shard, effect: Effect) {
        match effect {
            Effect::Grant {
                ticket,
                endpoint,
                address,
            } => self.grant(shard, ticket, endpoint, address),
            Effect::Refuse {
                ticket,
                reason,
                retry_after_ms,
            } => {
                if let Some(local) = self.locals.get_mut(shard) {
                    local.tickets.remove(&ticket);
                }
                let verdict = Verdict::Refuse {
                    reason,
                    retry_after_ms,
                };
                if let Some(answer) = self.waiting.remove(&ticket) {
                    let _ = answer.try_send(verdict);
                } else if let Some(own) = self.own.get_mut(&ticket)
                    && own.seat == Seat::Local
                {
                    own.phase = Phase::Idle;
                    let _ = own.orders.try_send(SlotCommand::Refuse {
                        reason,
                        retry_after_ms,
                    });
                }
            }
            Effect::Preempt { ticket } => match self.own.get(&ticket) {
                Some(own) if own.seat == Seat::Local => {
                    let _ = own.orders.try_send(SlotCommand::Preempt);
                }
                Some(_) => {}
                None => self.shared.peers.preempt(shard, ticket),
            },
        }
    }

    pub(super) fn grant(
        &mut self,
        shard: &Shard,
        ticket: TicketId,
        endpoint: Name,
        address: String,
    ) {
        let is_taken = if let Some(answer) = self.waiting.remove(&ticket) {
            answer
                .try_send(Verdict::Grant { endpoint, address })
                .is_ok()
        } else if let Some(own) = self.own.get_mut(&ticket)
            && own.seat == Seat::Local
        {
            metrics::histogram!(metric::GRANT, "owner" => "local")
                .record(own.enqueued.elapsed().as_secs_f64());
            own.unplaced_ms = None;
            own.phase = Phase::Running {
                endpoint: endpoint.clone(),
            };
            let order = SlotCommand::Grant { endpoint, address };
            own.orders.try_send(order).is_ok()
        } else {
            false
        };
        if !is_taken {
            log::debug!("request {ticket:?} has left before its grant");
            self.step(shard, Input::Cancel(ticket));
        }
    }
}
