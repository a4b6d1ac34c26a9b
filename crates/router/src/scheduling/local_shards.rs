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
use crate::scheduling::local_requests::Phase;
use crate::scheduling::local_requests::SchedulerLocation;
use crate::scheduling::scheduler_config;

/// Time after a takeover during which the new owner of a shard grants no slots, in milliseconds.
///
/// The other VMs learn of the change within milliseconds and register their running requests in this time. Without the
/// pause, the new owner grants slots that are in use: 13 requests ran on an engine with 8 slots after a VM was killed.
pub(super) const TAKEOVER_PAUSE_MS: u64 = 100;

/// The scheduler of a shard, with the requests that wait or run in it.
pub(super) struct LocalShard {
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
        for (shard, local) in &self.local_shards {
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
        if let Some(local) = self.local_shards.get_mut(shard) {
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

    /// Passes an input for `ticket` to the scheduler of a shard; creates the scheduler if it does not exist.
    pub(super) fn step_ticket(&mut self, shard: &Shard, ticket: TicketId, input: Input) {
        if !self.local_shards.contains_key(shard) {
            let Some(pool) = self.view.settings.pools.get(&shard.pool) else {
                return;
            };
            let is_alone = self.shared.config.platform.vm_list_address.is_empty();
            let pause_ms = if is_alone || pool.policy == Policy::Baseline {
                0
            } else {
                TAKEOVER_PAUSE_MS
            };
            let local = LocalShard {
                scheduler: Scheduler::with_random(
                    scheduler_config(pool),
                    ChaCha8Rng::from_os_rng(),
                ),
                tickets: HashSet::new(),
                paused: Vec::new(),
                paused_until_ms: self.shared.now_ms() + pause_ms,
            };
            self.local_shards.insert(shard.clone(), local);
            self.set_endpoints(shard);
            // Otherwise the new scheduler would admit contents that are already known to crash endpoints.
            let evidence = self.shared.scheduling.crash_evidence();
            self.step(shard, Input::Evidence(evidence));
        }
        let now_ms = self.shared.now_ms();
        if let Some(local) = self.local_shards.get_mut(shard) {
            local.tickets.insert(ticket);
        }
        match (self.local_shards.get_mut(shard), input) {
            (Some(local), Input::Enqueue(request)) if now_ms < local.paused_until_ms => {
                local.paused.push(*request);
            }
            (_, input) => self.step(shard, input),
        }
    }

    /// Enqueues the requests held back by the pause after a takeover, once it is over.
    pub(super) fn end_pause(&mut self, shard: &Shard, now_ms: u64) {
        let Some(local) = self.local_shards.get_mut(shard) else {
            return;
        };
        if now_ms < local.paused_until_ms || local.paused.is_empty() {
            return;
        }
        for request in std::mem::take(&mut local.paused) {
            self.step(shard, Input::Enqueue(Box::new(request)));
        }
    }

    /// Passes an input that is not tied to a request to all schedulers of a pool.
    pub(super) fn step_pool(&mut self, pool: &Name, input: &Input) {
        let mut shards = Vec::new();
        for shard in self.local_shards.keys() {
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
        let Some(local) = self.local_shards.get_mut(shard) else {
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
            self.shared.scheduling.note_lost_connection();
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
                if let Some(local) = self.local_shards.get_mut(shard) {
                    local.tickets.remove(&ticket);
                }
                let verdict = Verdict::Refuse {
                    reason,
                    retry_after_ms,
                };
                if let Some(answer) = self.waiting.remove(&ticket) {
                    let _ = answer.try_send(verdict);
                } else if let Some(local_request) = self.local_requests.get_mut(&ticket)
                    && local_request.location == SchedulerLocation::Local
                {
                    local_request.phase = Phase::Idle;
                    let _ = local_request.commands.try_send(SlotCommand::Refuse {
                        reason,
                        retry_after_ms,
                    });
                }
            }
            Effect::Preempt { ticket } => match self.local_requests.get(&ticket) {
                Some(local_request) if local_request.location == SchedulerLocation::Local => {
                    let _ = local_request.commands.try_send(SlotCommand::Preempt);
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
        } else if let Some(local_request) = self.local_requests.get_mut(&ticket)
            && local_request.location == SchedulerLocation::Local
        {
            metrics::histogram!(metric::GRANT, "owner" => "local")
                .record(local_request.enqueued.elapsed().as_secs_f64());
            local_request.unplaced_since_ms = None;
            local_request.phase = Phase::Running {
                endpoint: endpoint.clone(),
            };
            let command = SlotCommand::Grant { endpoint, address };
            local_request.commands.try_send(command).is_ok()
        } else {
            false
        };
        if !is_taken {
            log::debug!("request {ticket:?} was cancelled before its grant");
            self.step(shard, Input::Cancel(ticket));
        }
    }
}
