//! A second attempt beside one whose first token is late.

use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use waxwing_core::TicketId;

use super::Ended;
use super::Running;
use super::Slot;
use super::attempt::Live;
use crate::metric;
use crate::request::trace::Step;
use crate::scheduling::SlotCommand;
use crate::transport::attempt::Event;

/// Wait for the first attempt before the second is looked at, in milliseconds.
const RACE_POLL_MS: u64 = 5;

/// State of the second attempt.
enum Second {
    /// It was not asked for yet.
    NotAsked,
    /// It waits for a slot.
    Waiting {
        ticket: TicketId,
        orders: Receiver<SlotCommand>,
    },
    /// Its call is under way.
    Running(Box<Live>),
    /// It failed or was refused; there is no third.
    Over,
}

impl Running<'_> {
    /// Returns whether a second attempt may be made.
    pub(super) fn may_hedge(&self) -> bool {
        let class = &self.job.class_settings;
        class.hedge && class.idempotent && self.tokens() == 0
    }

    /// Waits for the first event of the first attempt, or of a second one that is started when the first is late.
    ///
    /// Returns the attempt to follow, with the event if one was taken off its channel; the other one is released.
    pub(super) fn race(&mut self, first: Live) -> (Live, Option<Event>) {
        let mut second = Second::NotAsked;
        loop {
            // The caller of this function finds the same end again.
            if self.look_for_end().is_some() {
                self.drop_second(second);
                return (first, None);
            }
            match first
                .events
                .recv_timeout(Duration::from_millis(RACE_POLL_MS))
            {
                Ok(event) => return self.first_spoke(first, event, second),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    let event = Event::Lost("the attempt ended".to_owned());
                    return self.first_spoke(first, event, second);
                }
            }
            second = match second {
                Second::NotAsked => self.ask_for_second(&first),
                Second::Waiting { ticket, orders } => self.start_second(ticket, orders),
                Second::Running(live) => match live.events.try_recv() {
                    Ok(event @ Event::Data(_)) => {
                        self.release(&first.slot, &Ended::Overtaken, 0);
                        return (*live, Some(event));
                    }
                    Ok(_) => {
                        self.release(
                            &live.slot,
                            &Ended::Failed("the second attempt failed".to_owned()),
                            0,
                        );
                        Second::Over
                    }
                    Err(_) => Second::Running(live),
                },
                Second::Over => Second::Over,
            };
        }
    }

    /// Ends the race after an event of the first attempt; a second one takes over if the first has failed.
    fn first_spoke(&mut self, first: Live, event: Event, second: Second) -> (Live, Option<Event>) {
        let is_failure = matches!(
            event,
            Event::NotSent(_) | Event::Status { .. } | Event::Lost(_)
        );
        match second {
            Second::Running(live) if is_failure => {
                let ended = match event {
                    Event::NotSent(message) => Ended::NotSent(message),
                    Event::Lost(message) => Ended::Lost(message),
                    _ => Ended::Failed("the endpoint answered with an error".to_owned()),
                };
                self.release(&first.slot, &ended, 0);
                (*live, None)
            }
            second => {
                self.drop_second(second);
                (first, Some(event))
            }
        }
    }

    fn ask_for_second(&self, first: &Live) -> Second {
        let waited_ms = first.sent.elapsed().as_millis() as u64;
        if !self
            .shared
            .lock_budgets()
            .withdraw_hedge(&self.job.class, waited_ms)
        {
            return Second::NotAsked;
        }
        let ticket = self.shared.new_ticket();
        let slot_request =
            self.build_slot_request(ticket, std::slice::from_ref(&first.slot.endpoint));
        let pool = &self.job.class_settings.pool;
        let orders = self.shared.scheduling.enqueue(pool, slot_request);
        Second::Waiting { ticket, orders }
    }

    fn start_second(&mut self, ticket: TicketId, orders: Receiver<SlotCommand>) -> Second {
        let (endpoint, address) = match orders.try_recv() {
            Ok(SlotCommand::Grant { endpoint, address }) => (endpoint, address),
            Ok(SlotCommand::Preempt) | Err(flume::TryRecvError::Empty) => {
                return Second::Waiting { ticket, orders };
            }
            Ok(SlotCommand::Refuse { .. }) | Err(flume::TryRecvError::Disconnected) => {
                self.leave(ticket);
                return Second::Over;
            }
        };
        metric::count_retry("hedge");
        self.add(Step::Hedged {
            endpoint: endpoint.clone(),
        });
        let slot = Slot {
            ticket,
            endpoint,
            address,
            orders,
        };
        match self.start_call(&slot) {
            Ok((events, sent)) => Second::Running(Box::new(Live { slot, events, sent })),
            Err(ended) => {
                self.release(&slot, &ended, 0);
                Second::Over
            }
        }
    }

    fn drop_second(&mut self, second: Second) {
        match second {
            Second::Waiting { ticket, .. } => self.leave(ticket),
            Second::Running(live) => self.release(&live.slot, &Ended::Overtaken, 0),
            Second::NotAsked | Second::Over => {}
        }
    }

    fn leave(&self, ticket: TicketId) {
        let pool = &self.job.class_settings.pool;
        self.shared.scheduling.leave(pool, ticket);
    }
}
