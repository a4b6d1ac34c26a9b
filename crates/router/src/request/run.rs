//! Attempts of one request, from its first wait for a slot to its final answer.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use flume::RecvTimeoutError;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::TicketId;
use waxwing_core::coordination::scheduler::Ask;
use waxwing_core::coordination::scheduler::End;
use waxwing_core::coordination::scheduler::Input;
use waxwing_wire::chat::AnswerChoice;
use waxwing_wire::chat::ChatAnswer;
use waxwing_wire::chat::ChatChunk;
use waxwing_wire::chat::DONE;
use waxwing_wire::chat::Message;
use waxwing_wire::chat::Usage;

use crate::metric;
use crate::request::admit::Job;
use crate::request::admit::Target;
use crate::request::answer::Answerer;
use crate::request::claimed;
use crate::request::claimed::Claimed;
use crate::scheduling::Order;
use crate::shared::Shared;
use crate::transport::attempt;
use crate::transport::attempt::Call;
use crate::transport::attempt::Event;

/// Longest wait before the request looks for a departed caller, in milliseconds.
const POLL_MS: u64 = 50;

/// Runs an admitted request to its final answer.
pub fn run(shared: &Arc<Shared>, job: Job, mut answerer: Answerer) {
    answerer.set_request_id(&job.request_id);
    let Some(claimed) = claimed::open(shared, &job, &answerer) else {
        return;
    };
    let ticket = shared.to_ticket();
    let mut running = Running {
        shared,
        job,
        answerer,
        claimed,
        ticket,
        text: String::new(),
        tokens: 0,
        first_chunk: None,
        finish_reason: None,
        has_begun: false,
    };
    let result = running.run();
    shared
        .scheduling
        .leave(&running.job.class_settings.pool, ticket);
    if let Err(refusal) = result {
        metric::count_refusal(running.job.class.as_str(), &refusal);
        if running.has_begun {
            running.answerer.refuse_in_stream(&refusal);
        } else {
            running.answerer.refuse(&refusal);
        }
    }
}

struct Running<'a> {
    shared: &'a Arc<Shared>,
    job: Job,
    answerer: Answerer,
    claimed: Claimed<'a>,
    ticket: TicketId,
    text: String,
    tokens: u32,
    first_chunk: Option<ChatChunk>,
    finish_reason: Option<String>,
    has_begun: bool,
}

impl Running<'_> {
    fn run(&mut self) -> Result<(), Refusal> {
        let pool = self.job.class_settings.pool.clone();
        let orders = self.shared.scheduling.enqueue(&pool, self.to_ask());
        let address = loop {
            if self.answerer.is_caller_gone() {
                return Err(Refusal::not_run(
                    Reason::BadRequest,
                    0,
                    "the caller is gone",
                ));
            }
            let left = self.job.deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Refusal::not_run(
                    Reason::DeadlinePassed,
                    0,
                    "the deadline passed in the queue",
                ));
            }
            match orders.recv_timeout(left.min(Duration::from_millis(POLL_MS))) {
                Ok(Order::Grant { address, .. }) => break address,
                Ok(Order::Refuse {
                    reason,
                    retry_after_ms,
                }) => {
                    return Err(Refusal::not_run(
                        reason,
                        retry_after_ms,
                        "no slot was granted",
                    ));
                }
                Ok(Order::Preempt) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(Refusal::not_run(
                        Reason::NoEndpoint,
                        1_000,
                        "the pool does not exist",
                    ));
                }
            }
        };
        let sent = Instant::now();
        let mut call = self.to_call(&address);
        call.headers.extend(self.claimed.send()?);
        let events = attempt::start(call);
        loop {
            let left = self.job.deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Refusal::unknown(
                    Reason::DeadlinePassed,
                    0,
                    "the deadline passed while running",
                ));
            }
            if self.answerer.is_caller_gone() {
                return Err(Refusal::unknown(
                    Reason::BadRequest,
                    0,
                    "the caller is gone",
                ));
            }
            let event = match events.recv_timeout(left.min(Duration::from_millis(POLL_MS))) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => Event::Lost("the attempt ended".to_owned()),
            };
            match event {
                Event::Data(data) => self.relay(&data, sent)?,
                Event::End => return self.finish(),
                Event::Answer {
                    status,
                    content_type,
                    body,
                } => {
                    self.report(End::Done);
                    self.claimed.done(status, &content_type, &body);
                    let _ = self.answerer.whole(status, &content_type, body);
                    return Ok(());
                }
                Event::NotSent(message) => {
                    self.report(End::NotSent);
                    self.claimed.not_sent();
                    return Err(Refusal::not_run(Reason::EndpointFailed, 1_000, message));
                }
                Event::Status { status, .. } => {
                    self.report(End::Failed);
                    let message = format!("the endpoint answered with status {status}");
                    return Err(Refusal::unknown(Reason::EndpointFailed, 1_000, message));
                }
                Event::Lost(message) => {
                    self.report(End::Lost);
                    return Err(Refusal::unknown(Reason::EndpointFailed, 1_000, message));
                }
            }
        }
    }

    fn to_ask(&self) -> Ask {
        let class = &self.job.class_settings;
        let organisation = &self.job.organisation_settings;
        let left = self.job.deadline.saturating_duration_since(Instant::now());
        Ask {
            ticket: self.ticket,
            class: self.job.class.clone(),
            organisation: self.job.organisation.clone(),
            weight: organisation.weight,
            tier: class.tier,
            deadline_at_ms: self.shared.now_ms() + left.as_millis() as u64,
            target_ms: class.target_ms,
            ageing_ms: class.ageing_ms,
            idempotent: class.idempotent,
            preemptible: class.preemptible,
            expected_tokens: class.expected_tokens,
            generated_tokens: self.tokens,
            class_in_flight_max: class.in_flight_max,
            organisation_in_flight_max: organisation.in_flight_max,
            prefix_hash: 0,
            content_hash: [0; 32],
            data_centre: self.shared.config.vm.data_centre.clone(),
            excluded: Vec::new(),
        }
    }

    fn to_call(&self, address: &str) -> Call {
        let silence_ms = self.shared.config.limits.endpoint_silence_ms;
        match (&self.job.target, &self.job.chat) {
            (Target::Chat, Some(chat)) => {
                let mut chat = chat.clone();
                chat.stream = true;
                Call {
                    url: format!("http://{address}/v1/chat/completions"),
                    headers: Vec::new(),
                    body: serde_json::to_vec(&chat).unwrap_or_default(),
                    silence_ms,
                    is_stream: true,
                }
            }
            (Target::Service { path, .. }, _) => Call {
                url: format!("http://{address}/{path}"),
                headers: Vec::new(),
                body: self.job.body.clone(),
                silence_ms,
                is_stream: false,
            },
            (Target::Chat, None) => unreachable!("a chat request has a parsed body"),
        }
    }

    fn relay(&mut self, data: &str, sent: Instant) -> Result<(), Refusal> {
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(data) else {
            self.report(End::Failed);
            let message = "the endpoint sent an event that does not decode";
            return Err(Refusal::unknown(Reason::EndpointFailed, 1_000, message));
        };
        if self.tokens == 0 {
            let input = Input::FirstToken {
                ticket: self.ticket,
                elapsed_ms: sent.elapsed().as_millis() as u64,
            };
            self.shared
                .scheduling
                .input(&self.job.class_settings.pool, input);
            metrics::histogram!(metric::FIRST_TOKEN, "class" => self.job.class.to_string())
                .record(self.job.received.elapsed().as_secs_f64());
        }
        self.tokens += 1;
        for choice in &chunk.choices {
            self.text
                .push_str(choice.delta.content.as_deref().unwrap_or(""));
            if let Some(reason) = &choice.finish_reason {
                self.finish_reason = Some(reason.clone());
            }
        }
        if self.first_chunk.is_none() {
            self.first_chunk = Some(chunk);
        }
        if self.is_streaming() {
            if !self.has_begun {
                self.has_begun = true;
                let _ = self.answerer.begin(200, "text/event-stream", &[]);
            }
            let _ = self.answerer.piece(format!("data: {data}\n\n"));
        }
        Ok(())
    }

    fn is_streaming(&self) -> bool {
        self.job.chat.as_ref().is_some_and(|chat| chat.stream)
    }

    fn finish(&mut self) -> Result<(), Refusal> {
        let Some(finish_reason) = self.finish_reason.take() else {
            self.report(End::Failed);
            let message = "the endpoint ended the answer without a finish reason";
            return Err(Refusal::unknown(Reason::StreamCut, 1_000, message));
        };
        self.report(End::Done);
        metrics::counter!(metric::ANSWERS, "class" => self.job.class.to_string()).increment(1);
        metrics::histogram!(metric::TOTAL, "class" => self.job.class.to_string())
            .record(self.job.received.elapsed().as_secs_f64());
        let answer = self.to_answer(finish_reason);
        let body = serde_json::to_vec(&answer).unwrap_or_default();
        self.claimed.done(200, "application/json", &body);
        if self.is_streaming() {
            let _ = self.answerer.piece(format!("data: {DONE}\n\n"));
            let _ = self.answerer.end();
        } else {
            self.answerer.json(200, &answer);
        }
        Ok(())
    }

    fn to_answer(&self, finish_reason: String) -> ChatAnswer {
        let first = self.first_chunk.as_ref();
        ChatAnswer {
            id: first.map(|chunk| chunk.id.clone()).unwrap_or_default(),
            object: "chat.completion".to_owned(),
            created: first.map_or(0, |chunk| chunk.created),
            model: first.map(|chunk| chunk.model.clone()).unwrap_or_default(),
            choices: vec![AnswerChoice {
                index: 0,
                message: Message {
                    role: "assistant".to_owned(),
                    content: self.text.clone(),
                },
                finish_reason,
            }],
            usage: Usage {
                completion_tokens: self.tokens,
            },
        }
    }

    fn report(&self, end: End) {
        let input = Input::Finish {
            ticket: self.ticket,
            end,
            tokens: self.tokens,
        };
        self.shared
            .scheduling
            .input(&self.job.class_settings.pool, input);
    }
}
