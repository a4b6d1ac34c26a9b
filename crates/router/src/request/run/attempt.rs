//! One attempt: the call to an endpoint and the relay of its response.

use std::time::Duration;
use std::time::Instant;

use flume::Receiver;
use flume::RecvTimeoutError;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::coordination::scheduler::Input;
use waxwing_core::status::BAD_GATEWAY;
use waxwing_core::status::promises_not_run;
use waxwing_wire::platform::STALE_FENCE_STATUS;

use super::AttemptResult;
use super::FAILED_RETRY_AFTER_MS;
use super::GrantedSlot;
use super::POLL_MS;
use super::RequestRunner;
use crate::metric;
use crate::request::admit::RequestTarget;
use crate::request::relay::EventContent;
use crate::request::relay::Relay;
use crate::request::relay::RelayError;
use crate::request::trace::Step;
use crate::scheduling::SlotCommand;
use crate::transport::endpoint_call;
use crate::transport::endpoint_call::CallEvent;
use crate::transport::endpoint_call::EndpointCall;

/// Tokens between two progress reports to the scheduler.
const PROGRESS_TOKENS: u32 = 16;

/// A call in progress.
pub(super) struct ActiveCall {
    pub(super) slot: GrantedSlot,
    pub(super) events: Receiver<CallEvent>,
    pub(super) sent: Instant,
}

impl RequestRunner<'_> {
    /// Makes one attempt, and a second one beside it if the first token is late and the class may be hedged.
    ///
    /// Returns the slot and the result of the attempt that was followed; the other one has been released.
    pub(super) fn attempt(&mut self, slot: GrantedSlot) -> (GrantedSlot, AttemptResult) {
        let active = match self.start_call(&slot) {
            Ok((events, sent)) => ActiveCall { slot, events, sent },
            Err(result) => return (slot, result),
        };
        let (active, event) = if self.may_hedge() {
            self.race(active)
        } else {
            (active, None)
        };
        let result = self.follow(&active, event);
        (active.slot, result)
    }

    /// Sends the call to the endpoint of a slot.
    pub(super) fn start_call(
        &mut self,
        slot: &GrantedSlot,
    ) -> Result<(Receiver<CallEvent>, Instant), AttemptResult> {
        let mut call = self.build_call(&slot.address);
        match self.claim_guard.begin_send() {
            Ok(headers) => call.headers.extend(headers),
            Err(refusal) => return Err(AttemptResult::Failed(refusal.message)),
        }
        Ok((endpoint_call::start(call), Instant::now()))
    }

    /// Processes the events of a call until it ends, starting with `taken` if an event was already received.
    fn follow(&mut self, active: &ActiveCall, mut taken: Option<CallEvent>) -> AttemptResult {
        let mut progress = Progress::new(active.sent);
        loop {
            if let Some(result) = self.check_cancellation() {
                return result;
            }
            if let Ok(SlotCommand::Preempt) = active.slot.commands.try_recv() {
                return AttemptResult::Preempted;
            }
            let event = match taken.take() {
                Some(event) => Ok(event),
                None => active.events.recv_timeout(Duration::from_millis(POLL_MS)),
            };
            match event {
                Ok(CallEvent::Data(data)) => {
                    if let Some(result) = self.relay(active, &data, &mut progress) {
                        return result;
                    }
                }
                Ok(event) => return self.classify(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return self.classify(CallEvent::Lost("the attempt ended".to_owned()));
                }
            }
        }
    }

    /// Returns the result of the attempt if the caller is gone or the deadline has passed.
    ///
    /// A non-idempotent call can be neither undone nor repeated, so it continues without its caller: a repeat of the
    /// request receives its outcome.
    pub(super) fn check_cancellation(&mut self) -> Option<AttemptResult> {
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
                AttemptResult::CallerGone
            } else {
                AttemptResult::TimedOut
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

    /// Relays the data of one event; returns the result of the attempt if the event ends it.
    fn relay(
        &mut self,
        active: &ActiveCall,
        data: &str,
        progress: &mut Progress,
    ) -> Option<AttemptResult> {
        let relay = self.relay.as_mut()?;
        let responder = (!self.is_detached).then_some(&self.responder);
        match relay.relay_event(data, responder) {
            Ok(EventContent::Token) => self.record_token(active, progress),
            Ok(EventContent::NoText) => {}
            Err(RelayError::Invalid(message)) => return Some(AttemptResult::Failed(message)),
            Err(RelayError::CallerGone) if self.job.class_settings.idempotent => {
                return Some(AttemptResult::CallerGone);
            }
            // The answer is still collected for repeats, but no longer forwarded.
            Err(RelayError::CallerGone) => self.is_detached = true,
        }
        None
    }

    fn record_token(&self, active: &ActiveCall, progress: &mut Progress) {
        let pool = &self.job.class_settings.pool;
        let now = Instant::now();
        if progress.tokens == 0 {
            let elapsed_ms = (now - progress.sent).as_millis() as u64;
            self.add_step(Step::FirstToken { elapsed_ms });
            let ticket = active.slot.ticket;
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
                ticket: active.slot.ticket,
                tokens: progress.tokens,
                gap_us: since / u64::from(PROGRESS_TOKENS),
            };
            self.shared.scheduling.input(pool, input);
        }
    }

    fn classify(&mut self, event: CallEvent) -> AttemptResult {
        match event {
            CallEvent::End => self.finish_stream(),
            CallEvent::Answer {
                status,
                content_type,
                body,
            } => {
                if !self.job.class_settings.idempotent && status == STALE_FENCE_STATUS {
                    return AttemptResult::NotSent(
                        "the endpoint rejected the fencing token".to_owned(),
                    );
                }
                if self.job.class_settings.idempotent && is_retryable(status) {
                    return AttemptResult::Failed(format!("status {status}"));
                }
                // The endpoint had the call, so the caller must not be told that it did not run.
                let status = match promises_not_run(status) {
                    true => BAD_GATEWAY,
                    false => status,
                };
                self.claim_guard.settle_done(status, &content_type, &body);
                if self.is_detached {
                    return AttemptResult::Answered(status);
                }
                match self.responder.send_response(status, &content_type, body) {
                    Ok(()) => AttemptResult::Answered(status),
                    Err(_) => AttemptResult::CallerGone,
                }
            }
            CallEvent::NotSent(message) => AttemptResult::NotSent(message),
            CallEvent::Status { status, .. } => AttemptResult::Failed(format!("status {status}")),
            // Only the end marker is missing; another attempt would append to a complete answer.
            CallEvent::Lost(_) if self.relay.as_ref().is_some_and(Relay::is_whole) => {
                self.finish_stream()
            }
            CallEvent::Lost(message) => AttemptResult::Lost(message),
            CallEvent::Data(_) => {
                AttemptResult::Failed("a plain call was answered with events".to_owned())
            }
        }
    }

    fn finish_stream(&mut self) -> AttemptResult {
        let Some(relay) = self.relay.as_mut() else {
            return AttemptResult::Failed("a plain call was answered with events".to_owned());
        };
        if !relay.is_whole() {
            return AttemptResult::Failed("the answer ended without a finish reason".to_owned());
        }
        let (content_type, body) = relay.stored_answer();
        self.claim_guard.settle_done(200, content_type, &body);
        if self.is_detached {
            return AttemptResult::Answered(200);
        }
        match relay.finish(&self.responder) {
            Ok(()) => AttemptResult::Answered(200),
            Err(_) => AttemptResult::CallerGone,
        }
    }

    fn build_call(&mut self, address: &str) -> EndpointCall {
        let silence_ms = self.shared.config.limits.endpoint_silence_ms;
        let tier = self.job.class_settings.tier;
        if let (Some(chat), Some(relay)) = (&self.job.chat, self.relay.as_mut()) {
            return EndpointCall {
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
        EndpointCall {
            url: format!("http://{address}/{path}"),
            headers: Vec::new(),
            body: self.job.body.clone(),
            silence_ms,
            is_stream: false,
        }
    }
}

/// Token count and timing of one attempt.
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

/// Returns whether the status means that the service could not serve the call now.
fn is_retryable(status: u16) -> bool {
    matches!(status, 429 | 502 | 503 | 504)
}
