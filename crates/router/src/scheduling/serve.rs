//! Requests of other VMs that this VM schedules.

use std::collections::HashSet;

use waxwing_core::Name;
use waxwing_core::TicketId;
use waxwing_core::coordination::membership::GONE_AFTER_MS;
use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::state::settings::Policy;
use waxwing_wire::peer::Report;
use waxwing_wire::peer::ReportEvent;
use waxwing_wire::peer::Shard;
use waxwing_wire::peer::Verdict;

use crate::scheduling::PeerRequest;
use crate::scheduling::State;
use crate::scheduling::local_requests::SchedulerLocation;
use crate::scheduling::local_requests::locate_scheduler;
use crate::scheduling::shard;

impl State {
    pub(super) fn serve(&mut self, peer_request: PeerRequest) {
        let now_ms = self.shared.now_ms();
        match peer_request {
            PeerRequest::Enqueue {
                shard,
                request,
                skipped,
                answer,
            } => {
                if !self.is_owner(&shard, &skipped) {
                    let _ = answer.try_send(Verdict::NotOwner);
                    return;
                }
                let request = request.to_slot_request(now_ms);
                let ticket = request.ticket;
                // The VM repeats an enqueue whose reply was lost.
                if self.has_ticket(&shard, ticket) {
                    self.step(&shard, Input::Cancel(ticket));
                }
                self.waiting.insert(ticket, answer);
                self.step_ticket(&shard, ticket, Input::Enqueue(Box::new(request)));
            }
            PeerRequest::Cancel { shard, ticket } => {
                self.waiting.remove(&ticket);
                self.step(&shard, Input::Cancel(ticket));
            }
            PeerRequest::Adopt {
                shard,
                request,
                endpoint,
            } => {
                let request = Box::new(request.to_slot_request(now_ms));
                let ticket = request.ticket;
                if !self.has_ticket(&shard, ticket) {
                    self.step_ticket(&shard, ticket, Input::Adopt { request, endpoint });
                }
            }
            PeerRequest::Report(reports) => {
                for report in reports {
                    self.serve_report(report);
                }
            }
        }
    }

    pub(super) fn serve_report(&mut self, report: Report) {
        let ticket = report.ticket;
        let input = match report.event {
            ReportEvent::FirstToken { elapsed_ms } => Input::FirstToken { ticket, elapsed_ms },
            ReportEvent::Progress { tokens, gap_us } => Input::Progress {
                ticket,
                tokens,
                gap_us,
            },
            ReportEvent::Finish {
                end: AttemptEnd::Cancelled,
                ..
            } if self.waiting.remove(&ticket).is_some() => Input::Cancel(ticket),
            ReportEvent::Finish { end, tokens } => Input::Finish {
                ticket,
                end,
                tokens,
            },
        };
        self.step(&report.shard, input);
    }

    /// Rejects waiting requests of other VMs whose shard this VM no longer owns, so that their VMs enqueue them again.
    pub(super) fn release_waiting(&mut self) {
        let mut released = Vec::new();
        for (shard, local) in &self.local_shards {
            if locate_scheduler(&self.shared, &self.view, shard) == SchedulerLocation::Local {
                continue;
            }
            for ticket in &local.tickets {
                if self.waiting.contains_key(ticket) {
                    released.push((shard.clone(), *ticket));
                }
            }
        }
        for (shard, ticket) in released {
            if let Some(answer) = self.waiting.remove(&ticket) {
                let _ = answer.try_send(Verdict::NotOwner);
            }
            self.step(&shard, Input::Cancel(ticket));
        }
    }

    pub(super) fn member_gone(&mut self, incarnation: u64) {
        self.waiting
            .retain(|ticket, _| ticket.incarnation != incarnation);
        let shards: Vec<Shard> = self.local_shards.keys().cloned().collect();
        for shard in shards {
            if let Some(local) = self.local_shards.get_mut(&shard) {
                local
                    .tickets
                    .retain(|ticket| ticket.incarnation != incarnation);
                local
                    .paused
                    .retain(|request| request.ticket.incarnation != incarnation);
            }
            self.step(&shard, Input::MemberGone { incarnation });
        }
    }

    /// Drops the requests of processes that have not been members for [`GONE_AFTER_MS`].
    ///
    /// A VM may use this owner and exit before the VM list names it here, so membership alone does not report its end.
    pub(super) fn drop_orphans(&mut self, now_ms: u64) {
        let mut known: HashSet<u64> = HashSet::from([self.shared.incarnation]);
        known.extend(self.view.members.iter().map(|member| member.incarnation));
        let mut foreign = HashSet::new();
        for local in self.local_shards.values() {
            for ticket in &local.tickets {
                if !known.contains(&ticket.incarnation) {
                    foreign.insert(ticket.incarnation);
                }
            }
        }
        self.orphans
            .retain(|incarnation, _| foreign.contains(incarnation));
        for incarnation in foreign {
            let since_ms = *self.orphans.entry(incarnation).or_insert(now_ms);
            if now_ms >= since_ms + GONE_AFTER_MS {
                self.member_gone(incarnation);
            }
        }
    }

    pub(super) fn is_owner(&self, shard: &Shard, skipped: &[Name]) -> bool {
        let local_name = &self.shared.config.vm.name;
        let Some(pool) = self.view.settings.pools.get(&shard.pool) else {
            return false;
        };
        if pool.policy == Policy::Baseline {
            return true;
        }
        let owner = shard::select_owner(&self.view, shard, skipped);
        owner.is_some_and(|owner| owner.name == *local_name)
    }

    pub(super) fn has_ticket(&self, shard: &Shard, ticket: TicketId) -> bool {
        let local = self.local_shards.get(shard);
        local.is_some_and(|local| local.tickets.contains(&ticket))
    }
}
