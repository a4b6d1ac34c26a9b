//! Hedging: a second attempt beside one whose first token is late.

use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use waxwing_core::TicketId;

use super::AttemptResult;
use super::GrantedSlot;
use super::RequestRunner;
use super::attempt::ActiveCall;
use crate::metric;
use crate::request::trace::Step;
use crate::scheduling::SlotCommand;
use crate::transport::endpoint_call::CallEvent;

/// Interval of the checks on the hedge while waiting for the first attempt, in milliseconds.
const RACE_POLL_MS: u64 = 5;

/// State of the second attempt, the hedge.
enum Hedge {
    /// No slot was requested yet.
    NotRequested,
    /// Waits for a slot.
    Waiting {
        ticket: TicketId,
        commands: Receiver<SlotCommand>,
    },
    /// The call is in progress.
    Running(Box<ActiveCall>),
    /// Failed or refused; no further hedge is made.
    Finished,
}

impl RequestRunner<'_> {
    /// Returns whether the request may be hedged.
    pub(super) fn may_hedge(&self) -> bool {
        let class = &self.job.class_settings;
        class.hedge && class.idempotent && self.tokens() == 0
    }

    /// Waits for the first event of the first attempt, or of a second one that is started when the first is late.
    ///
    /// Returns the attempt to follow, with its first event if one was received; the other one is released.
    pub(super) fn race(&mut self, first: ActiveCall) -> (ActiveCall, Option<CallEvent>) {
        let mut hedge = Hedge::NotRequested;
        loop {
            // The calling function repeats this check and returns the result.
            if self.check_cancellation().is_some() {
                self.release_hedge(hedge);
                return (first, None);
            }
            match first
                .events
                .recv_timeout(Duration::from_millis(RACE_POLL_MS))
            {
                Ok(event) => return self.finish_race(first, event, hedge),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    let event = CallEvent::Lost("the attempt ended".to_owned());
                    return self.finish_race(first, event, hedge);
                }
            }
            hedge = match hedge {
                Hedge::NotRequested => self.request_hedge_slot(&first),
                Hedge::Waiting { ticket, commands } => self.start_hedge(ticket, commands),
                Hedge::Running(active) => match active.events.try_recv() {
                    Ok(event @ CallEvent::Data(_)) => {
                        self.release(&first.slot, &AttemptResult::Overtaken, 0);
                        return (*active, Some(event));
                    }
                    Ok(_) => {
                        self.release(
                            &active.slot,
                            &AttemptResult::Failed("the second attempt failed".to_owned()),
                            0,
                        );
                        Hedge::Finished
                    }
                    Err(_) => Hedge::Running(active),
                },
                Hedge::Finished => Hedge::Finished,
            };
        }
    }

    /// Ends the race on an event of the first attempt; a running hedge replaces it if the event is a failure.
    fn finish_race(
        &mut self,
        first: ActiveCall,
        event: CallEvent,
        hedge: Hedge,
    ) -> (ActiveCall, Option<CallEvent>) {
        let is_failure = matches!(
            event,
            CallEvent::NotSent(_) | CallEvent::Status { .. } | CallEvent::Lost(_)
        );
        match hedge {
            Hedge::Running(active) if is_failure => {
                let result = match event {
                    CallEvent::NotSent(message) => AttemptResult::NotSent(message),
                    CallEvent::Lost(message) => AttemptResult::Lost(message),
                    _ => AttemptResult::Failed("the endpoint answered with an error".to_owned()),
                };
                self.release(&first.slot, &result, 0);
                (*active, None)
            }
            hedge => {
                self.release_hedge(hedge);
                (first, Some(event))
            }
        }
    }

    fn request_hedge_slot(&self, first: &ActiveCall) -> Hedge {
        let waited_ms = first.sent.elapsed().as_millis() as u64;
        if !self
            .shared
            .lock_budgets()
            .withdraw_hedge(&self.job.class, waited_ms)
        {
            return Hedge::NotRequested;
        }
        let ticket = self.shared.new_ticket();
        let slot_request =
            self.build_slot_request(ticket, std::slice::from_ref(&first.slot.endpoint));
        let pool = &self.job.class_settings.pool;
        let commands = self.shared.scheduling.enqueue(pool, slot_request);
        Hedge::Waiting { ticket, commands }
    }

    fn start_hedge(&mut self, ticket: TicketId, commands: Receiver<SlotCommand>) -> Hedge {
        let (endpoint, address) = match commands.try_recv() {
            Ok(SlotCommand::Grant { endpoint, address }) => (endpoint, address),
            Ok(SlotCommand::Preempt) | Err(flume::TryRecvError::Empty) => {
                return Hedge::Waiting { ticket, commands };
            }
            Ok(SlotCommand::Refuse { .. }) | Err(flume::TryRecvError::Disconnected) => {
                self.leave(ticket);
                return Hedge::Finished;
            }
        };
        metric::count_retry("hedge");
        self.add_step(Step::Hedged {
            endpoint: endpoint.clone(),
        });
        let slot = GrantedSlot {
            ticket,
            endpoint,
            address,
            commands,
        };
        match self.start_call(&slot) {
            Ok((events, sent)) => Hedge::Running(Box::new(ActiveCall { slot, events, sent })),
            Err(result) => {
                self.release(&slot, &result, 0);
                Hedge::Finished
            }
        }
    }

    fn release_hedge(&mut self, hedge: Hedge) {
        match hedge {
            Hedge::Waiting { ticket, .. } => self.leave(ticket),
            Hedge::Running(active) => self.release(&active.slot, &AttemptResult::Overtaken, 0),
            Hedge::NotRequested | Hedge::Finished => {}
        }
    }

    fn leave(&self, ticket: TicketId) {
        let pool = &self.job.class_settings.pool;
        self.shared.scheduling.leave(pool, ticket);
    }
}
