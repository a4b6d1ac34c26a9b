//! Reports to the owners of shards, and replies of other VMs.

use std::time::Duration;

use waxwing_core::Name;
use waxwing_core::TicketId;
use waxwing_core::coordination::scheduler::AttemptEnd;
use waxwing_wire::peer::Report;
use waxwing_wire::peer::ReportEvent;
use waxwing_wire::peer::Shard;

use crate::metric;
use crate::peer;
use crate::peer::Answer;
use crate::peer::CALL_TIMEOUT_MS;
use crate::peer::Call;
use crate::scheduling::ReplyTag;
use crate::scheduling::State;
use crate::scheduling::outbox::Outbox;

impl State {
    pub(super) fn push_cancel(
        &mut self,
        name: &Name,
        incarnation: u64,
        shard: Shard,
        ticket: TicketId,
    ) {
        let event = ReportEvent::Finish {
            end: AttemptEnd::Cancelled,
            tokens: 0,
        };
        let report = Report {
            shard,
            ticket,
            event,
        };
        self.push(name, incarnation, report);
    }

    pub(super) fn push(&mut self, name: &Name, incarnation: u64, report: Report) {
        let is_end = matches!(report.event, ReportEvent::Finish { .. });
        let outbox = self
            .outboxes
            .entry(name.clone())
            .or_insert_with(|| Outbox::new(incarnation));
        if outbox.incarnation != incarnation {
            // Either the process of the queued reports was replaced, or this report is for a process that is gone.
            if !self
                .view
                .members
                .iter()
                .any(|member| member.incarnation == incarnation)
            {
                return;
            }
            *outbox = Outbox::new(incarnation);
        }
        if !outbox.push(report) {
            metrics::counter!(metric::PEER_FAILURES, "reason" => "report_dropped").increment(1);
        }
        // The end of a request frees a slot, so it is sent at once; other reports are batched until the next tick.
        if is_end {
            self.flush(self.shared.now_ms());
        }
    }

    pub(super) fn flush(&mut self, now_ms: u64) {
        let members = &self.view.members;
        self.outboxes.retain(|_, outbox| {
            let is_known = |incarnation| members.iter().any(|it| it.incarnation == incarnation);
            is_known(outbox.incarnation)
        });
        for (name, outbox) in &mut self.outboxes {
            let Some(reports) = outbox.take_batch(now_ms) else {
                continue;
            };
            let tag = ReplyTag::Reports {
                peer: name.clone(),
                incarnation: outbox.incarnation,
            };
            let call = Call::Report(reports);
            let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
            if self
                .shared
                .peers
                .schedule(name, outbox.incarnation, call, timeout, tag)
                .is_err()
            {
                outbox.retry(now_ms);
            }
        }
    }

    pub(super) fn handle_reply(&mut self, tag: ReplyTag, result: peer::Result<Answer>) {
        match tag {
            ReplyTag::Enqueue { ticket, placement } => {
                self.handle_enqueue_reply(ticket, placement, result)
            }
            ReplyTag::Cancel {
                peer,
                incarnation,
                shard,
                ticket,
            } => {
                if result.is_err() {
                    self.push_cancel(&peer, incarnation, shard, ticket);
                }
            }
            ReplyTag::Adopt { ticket, placement } => {
                if let Err(error) = result {
                    // It is registered again when the connection is restored.
                    log::info!(
                        "running request {ticket:?} could not be registered at placement {placement}: {error}"
                    );
                }
            }
            ReplyTag::Reports { peer, incarnation } => {
                let now_ms = self.shared.now_ms();
                let Some(outbox) = self.outboxes.get_mut(&peer) else {
                    return;
                };
                if outbox.incarnation != incarnation {
                    return;
                }
                match result {
                    Ok(_) => outbox.confirm(),
                    Err(_) => outbox.retry(now_ms),
                }
                self.flush(now_ms);
            }
        }
    }
}
