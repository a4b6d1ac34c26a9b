//! One attempt: the call to an endpoint and what comes back.

use std::time::Duration;
use std::time::Instant;

use flume::Receiver;
use flume::RecvTimeoutError;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::coordination::scheduler::Input;
use waxwing_wire::platform::STALE_FENCE_STATUS;

use super::Ended;
use super::FAILED_RETRY_AFTER_MS;
use super::POLL_MS;
use super::Running;
use super::Slot;
use crate::metric;
use crate::request::admit::RequestTarget;
use crate::request::relay::Relay;
use crate::request::relay::RelayError;
use crate::request::relay::Relayed;
use crate::request::trace::Step;
use crate::scheduling::SlotCommand;
use crate::transport::attempt;
use crate::transport::attempt::Call;
use crate::transport::attempt::Event;

/// Tokens between two progress reports to the scheduler.
const PROGRESS_TOKENS: u32 = 16;

/// A call under way.
pub(super) struct Live {
    pub(super) slot: Slot,
    pub(super) events: Receiver<Event>,
    pub(super) sent: Instant,
}

impl Running<'_> {
    /// Makes one attempt, and a second one beside it if the first token is late and the class may be hedged.
    ///
    /// Returns the slot of the attempt that decided, and how it ended; the other one has been released.
    pub(super) fn attempt(&mut self, slot: Slot) -> (Slot, Ended) {
        let live = match self.start_call(&slot) {
            Ok((events, sent)) => Live { slot, events, sent },
            Err(ended) => return (slot, ended),
        };
        let (live, event) = if self.may_hedge() {
            self.race(live)
        } else {
            (live, None)
        };
        let ended = self.follow(&live, event);
        (live.slot, ended)
    }

    /// Sends the call to the endpoint of a slot.
    pub(super) fn start_call(&mut self, slot: &Slot) -> Result<(Receiver<Event>, Instant), Ended> {
        let mut call = self.build_call(&slot.address);
        match self.claimed.send() {
            Ok(headers) => call.headers.extend(headers),
            Err(refusal) => return Err(Ended::Failed(refusal.message)),
        }
        Ok((attempt::start(call), Instant::now()))
    }

    /// Follows a call to its end, from the event that was taken off its channel already.
    fn follow(&mut self, live: &Live, mut taken: Option<Event>) -> Ended {
        let mut progress = Progress::new(live.sent);
        loop {
            if let Some(ended) = self.look_for_end() {
                return ended;
            }
            if let Ok(SlotCommand::Preempt) = live.slot.orders.try_recv() {
                return Ended::Preempted;
            }
            let event = match taken.take() {
                Some(event) => Ok(event),
                None => live.events.recv_timeout(Duration::from_millis(POLL_MS)),
            };
            match event {
                Ok(Event::Data(data)) => {
                    if let Some(ended) = self.relay(live, &data, &mut progress) {
                        return ended;
                    }
                }
                Ok(event) => return self.classify(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return self.classify(Event::Lost("the attempt ended".to_owned()));
                }
            }
        }
    }

    /// Returns how the attempt ends if the caller is gone or out of time.
    ///
    /// A non-idempotent call cannot be taken back and cannot be repeated, so it goes on without its caller: its outcome
    /// is what a repeat of the request will receive.
    pub(super) fn look_for_end(&mut self) -> Option<Ended> {
        if self.is_detached {
            return None;
        }
        let left = self.remaining();
        let is_caller_gone = self.responder.is_caller_gone();
        if !is_caller_gone && !left.is_zero() {
            return None;
        }
        if self.job.class_settings.idempotent {
            return Some(if is_caller_gone {
                Ended::CallerGone
            } else {
                Ended::TimedOut
            });
        }
        self.is_detached = true;
        if !is_caller_gone {
            let message = "the deadline passed; a repeat with the same key receives the outcome";
            let refusal =
                Refusal::may_have_run(Reason::DeadlinePassed, FAILED_RETRY_AFTER_MS, message);
            self.refuse(&refusal);
        }
        None
    }

    /// Passes the data of one event on; returns how the attempt ended if the event ends it.
    fn relay(&mut self, live: &Live, data: &str, progress: &mut Progress) -> Option<Ended> {
        let relay = self.relay.as_mut()?;
        let responder = (!self.is_detached).then_some(&self.responder);
        match relay.relay_event(data, responder) {
            Ok(Relayed::Token) => self.note_token(live, progress),
            Ok(Relayed::Nothing) => {}
            Err(RelayError::Invalid(message)) => return Some(Ended::Failed(message)),
            Err(RelayError::CallerGone) if self.job.class_settings.idempotent => {
                return Some(Ended::CallerGone);
            }
            // The text is kept; the next event goes to nobody.
            Err(RelayError::CallerGone) => self.is_detached = true,
        }
        None
    }

    fn note_token(&self, live: &Live, progress: &mut Progress) {
        let pool = &self.job.class_settings.pool;
        let now = Instant::now();
        if progress.tokens == 0 {
            let elapsed_ms = (now - progress.sent).as_millis() as u64;
            self.add(Step::FirstToken { elapsed_ms });
            let ticket = live.slot.ticket;
            self.shared
                .lock_budgets()
                .record_first_token(&self.job.class, elapsed_ms);
            self.shared
                .scheduling
                .input(pool, Input::FirstToken { ticket, elapsed_ms });
            if self.relay.as_ref().is_some_and(|relay| relay.tokens() == 1) {
                metrics::histogram!(metric::FIRST_TOKEN, "class" => self.job.class.to_string())
                    .record(self.job.received.elapsed().as_secs_f64());
            }
        } else {
            let gap = now - progress.last_token;
            metrics::histogram!(metric::TOKEN_GAP, "class" => self.job.class.to_string())
                .record(gap.as_secs_f64());
        }
        progress.tokens += 1;
        progress.last_token = now;
        if progress.tokens.is_multiple_of(PROGRESS_TOKENS) {
            let since = (now - progress.reported).as_micros() as u64;
            progress.reported = now;
            let input = Input::Progress {
                ticket: live.slot.ticket,
                tokens: progress.tokens,
                gap_us: since / u64::from(PROGRESS_TOKENS),
            };
            self.shared.scheduling.input(pool, input);
        }
    }

    fn classify(&mut self, event: Event) -> Ended {
        match event {
            Event::End => self.finish_stream(),
            Event::Answer {
                status,
                content_type,
                body,
            } => {
                if !self.job.class_settings.idempotent && status == STALE_FENCE_STATUS {
                    return Ended::NotSent("the endpoint rejected the fencing token".to_owned());
                }
                if self.job.class_settings.idempotent && is_retryable(status) {
                    return Ended::Failed(format!("status {status}"));
                }
                self.claimed.done(status, &content_type, &body);
                if self.is_detached {
                    return Ended::Answered(status);
                }
                match self.responder.whole(status, &content_type, body) {
                    Ok(()) => Ended::Answered(status),
                    Err(_) => Ended::CallerGone,
                }
            }
            Event::NotSent(message) => Ended::NotSent(message),
            Event::Status { status, .. } => Ended::Failed(format!("status {status}")),
            // Only the end mark of a whole answer is missing; another attempt would add to the answer.
            Event::Lost(_) if self.relay.as_ref().is_some_and(Relay::is_whole) => {
                self.finish_stream()
            }
            Event::Lost(message) => Ended::Lost(message),
            Event::Data(_) => Ended::Failed("a plain call was answered with events".to_owned()),
        }
    }

    fn finish_stream(&mut self) -> Ended {
        let Some(relay) = self.relay.as_mut() else {
            return Ended::Failed("a plain call was answered with events".to_owned());
        };
        if !relay.is_whole() {
            return Ended::Failed("the answer ended without a finish reason".to_owned());
        }
        let (content_type, body) = relay.stored_answer();
        self.claimed.done(200, content_type, &body);
        if self.is_detached {
            return Ended::Answered(200);
        }
        match relay.finish(&self.responder) {
            Ok(()) => Ended::Answered(200),
            Err(_) => Ended::CallerGone,
        }
    }

    fn build_call(&mut self, address: &str) -> Call {
        let silence_ms = self.shared.config.limits.endpoint_silence_ms;
        let tier = self.job.class_settings.tier;
        if let (Some(chat), Some(relay)) = (&self.job.chat, self.relay.as_mut()) {
            return Call {
                url: format!("http://{address}/v1/chat/completions"),
                headers: Vec::new(),
                body: relay.begin_attempt(chat, tier),
                silence_ms,
                is_stream: true,
            };
        }
        let path = match &self.job.target {
            RequestTarget::Service { path, .. } => path.as_str(),
            RequestTarget::Chat => "v1/chat/completions",
        };
        Call {
            url: format!("http://{address}/{path}"),
            headers: Vec::new(),
            body: self.job.body.clone(),
            silence_ms,
            is_stream: false,
        }
    }
}

/// Tokens of one attempt and their times.
struct Progress {
    sent: Instant,
    last_token: Instant,
    reported: Instant,
    tokens: u32,
}

impl Progress {
    fn new(sent: Instant) -> Self {
        Self {
            sent,
            last_token: sent,
            reported: sent,
            tokens: 0,
        }
    }
}

/// Statuses by which a service says that it could not serve the call now.
fn is_retryable(status: u16) -> bool {
    matches!(status, 429 | 502 | 503 | 504)
}
