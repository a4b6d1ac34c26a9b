//! Waiting for a slot.

use std::time::Duration;
use std::time::Instant;

use flume::Receiver;
use flume::RecvTimeoutError;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::TicketId;
use waxwing_core::coordination::scheduler::SlotRequest;

use super::FAILED_RETRY_AFTER_MS;
use super::GrantedSlot;
use super::POLL_MS;
use super::RequestFailure;
use super::RequestRunner;
use crate::metric;
use crate::request::trace::Step;
use crate::scheduling::SlotCommand;

impl RequestRunner<'_> {
    pub(super) fn wait_for_slot(&mut self) -> Result<GrantedSlot, RequestFailure> {
        let pool = self.job.class_settings.pool.clone();
        let queued = Instant::now();
        self.add_step(Step::Queued {
            attempt: self.attempts,
        });
        let slot_request = self.build_slot_request(self.ticket, &[]);
        let commands = self.shared.scheduling.enqueue(&pool, slot_request);
        let (endpoint, address) = self.wait_for_grant(&commands)?;
        let waited = queued.elapsed();
        metrics::histogram!(metric::QUEUE_WAIT, "class" => self.job.class.to_string())
            .record(waited.as_secs_f64());
        self.add_step(Step::Granted {
            endpoint: endpoint.clone(),
            waited_ms: waited.as_millis() as u64,
        });
        Ok(GrantedSlot {
            ticket: self.ticket,
            endpoint,
            address,
            commands,
        })
    }

    fn wait_for_grant(
        &self,
        commands: &Receiver<SlotCommand>,
    ) -> Result<(Name, String), RequestFailure> {
        loop {
            if self.responder.is_caller_gone() {
                return Err(RequestFailure::CallerGone);
            }
            let left = self.remaining();
            if left.is_zero() {
                let message = "the deadline passed before a slot was free";
                return Err(self.failure(Reason::DeadlinePassed, 0, message));
            }
            match commands.recv_timeout(left.min(Duration::from_millis(POLL_MS))) {
                Ok(SlotCommand::Grant { endpoint, address }) => return Ok((endpoint, address)),
                Ok(SlotCommand::Refuse {
                    reason,
                    retry_after_ms,
                }) => {
                    let message = format!("no slot was granted: {}", reason.as_str());
                    return Err(self.failure(reason, retry_after_ms, message));
                }
                Ok(SlotCommand::Preempt) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    let message = "the pool does not exist";
                    return Err(self.failure(Reason::NoEndpoint, FAILED_RETRY_AFTER_MS, message));
                }
            }
        }
    }

    /// Builds the slot request, which excludes endpoints that failed before and those in `more_excluded`.
    pub(super) fn build_slot_request(
        &self,
        ticket: TicketId,
        more_excluded: &[Name],
    ) -> SlotRequest {
        let mut excluded = self.excluded.clone();
        excluded.extend_from_slice(more_excluded);
        let class = &self.job.class_settings;
        let organisation = &self.job.organisation_settings;
        SlotRequest {
            ticket,
            class: self.job.class.clone(),
            organisation: self.job.organisation.clone(),
            weight: organisation.weight,
            tier: class.tier,
            deadline_at_ms: self.shared.now_ms() + self.remaining().as_millis() as u64,
            target_ms: class.target_ms,
            ageing_ms: class.ageing_ms,
            idempotent: class.idempotent,
            preemptible: class.preemptible,
            expected_tokens: class.expected_tokens,
            generated_tokens: self.tokens(),
            class_in_flight_max: class.in_flight_max,
            organisation_in_flight_max: organisation.in_flight_max,
            prefix_hash: self.prefix_hash,
            content_hash: self.content_hash,
            data_centre: self.shared.config.vm.data_centre.clone(),
            excluded,
        }
    }
}
