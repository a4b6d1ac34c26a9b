//! Sends a request to one endpoint and receives the head of its response.

use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;

use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;
use waxwing_core::Name;
use waxwing_core::forwarding::EndpointKey;
use waxwing_core::forwarding::endpoints::Load;
use waxwing_core::forwarding::endpoints::RunKey;
use waxwing_core::forwarding::endpoints::limits::LimitReport;
use waxwing_core::forwarding::endpoints::limits::RateLimit;
use waxwing_core::forwarding::planned_stop::Stage;
use waxwing_core::forwarding::run::RunOutcome;
use waxwing_core::forwarding::run::StallTimeouts;
use waxwing_core::forwarding::stream_origins::SoftwareKey;
use waxwing_core::status::is_final;
use waxwing_core::status::promises_not_run;

use crate::adapter::Instructions;
use crate::adapter::ResponseInfo;
use crate::client::Connection;
use crate::client::with_timeout;
use crate::exchange::Exchange;
use crate::gateway::Gateway;
use crate::headers;
use crate::metric;
use crate::request_body::RequestBody;
use crate::write_state::WriteState;

/// Time for a connection to an endpoint to be made, in milliseconds; a lost packet is retransmitted only
/// after a second.
const CONNECT_MS: u64 = 250;

/// Time beyond the time limit in which the endpoint's timeout response can still arrive, in milliseconds.
const LIMIT_SLACK_MS: u64 = 60;

/// How the end of a response is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By a length, or by the last chunk.
    Explicit,
    /// By the end of the connection, which a crash looks like too.
    Connection,
}

impl Framing {
    fn new(response: &Response<Incoming>) -> Self {
        let is_chunked = response.headers().contains_key(TRANSFER_ENCODING);
        match response.body().size_hint().exact() {
            None if !is_chunked => Self::Connection,
            _ => Self::Explicit,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Explicit => "explicit",
            Self::Connection => "connection",
        }
    }
}

/// A run at an endpoint; released when it is dropped.
pub(crate) struct RunGuard {
    gateway: Rc<Gateway>,
    pub(super) address: SocketAddr,
    pub(crate) endpoint: EndpointKey,
    pub(crate) endpoint_id: Name,
    /// Version of the endpoint's software, as its entry stated it when the request was sent.
    pub(crate) version: Name,
    pub(crate) software: SoftwareKey,
    pub(crate) began_ms: u64,
    /// Load that the endpoint stated in its answer.
    load: Option<Load>,
    /// Whether the request may be on its way to the endpoint, of which nothing has come back yet.
    is_unanswered: bool,
    /// When the first byte of the answer arrived, in milliseconds.
    pub(super) first_byte_at_ms: Option<u64>,
    /// Complete events of the answer that have arrived.
    pub(crate) events: u64,
    /// How the end of the answer is marked; `None` before its head.
    pub(crate) framing: Option<Framing>,
    /// What has been written of the request; `None` before the head of the answer.
    writes: Option<Rc<WriteState>>,
    key: Option<RunKey>,
}

impl RunGuard {
    /// Returns whether the request has been written to its end.
    pub(crate) fn is_request_written(&self) -> bool {
        self.writes
            .as_ref()
            .is_some_and(|writes| writes.is_complete())
    }

    pub(crate) fn end(&mut self, outcome: RunOutcome) {
        let Some(key) = self.key.take() else {
            return;
        };
        self.is_unanswered &= matches!(outcome, RunOutcome::Stalled | RunOutcome::Expired);
        metrics::counter!(metric::RUN_ENDS, "end" => outcome.as_str()).increment(1);
        let now_ms = self.gateway.clock.now_ms();
        let became_suspect = self
            .gateway
            .endpoints
            .borrow_mut()
            .end_run(key, outcome, now_ms);
        if became_suspect {
            self.gateway.drop_idle(self.endpoint);
            log::warn!(
                event = "endpoint_suspected", endpoint = self.endpoint_id.as_str(), end = outcome.as_str();
                "requests avoid the endpoint for a while"
            );
        }
    }

    pub(crate) fn record_first_byte(&mut self) {
        let now_ms = self.gateway.clock.now_ms();
        self.first_byte_at_ms.get_or_insert(now_ms);
        let waited_ms = now_ms - self.began_ms;
        if let Some(key) = self.key {
            self.gateway
                .endpoints
                .borrow_mut()
                .record_first_byte(key, waited_ms);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if self.is_unanswered {
            metrics::counter!(metric::RUNS_UNANSWERED).increment(1);
        }
        if let Some(key) = self.key.take() {
            self.gateway.endpoints.borrow_mut().release_run(key);
        }
    }
}

/// The head of an endpoint's response, and the connection that its body arrives on.
pub(crate) struct EndpointResponse {
    pub(crate) run: RunGuard,
    pub(crate) connection: Connection,
    pub(crate) response: Response<Incoming>,
    pub(crate) response_info: ResponseInfo,
}

impl Exchange {
    /// Sends the request to an endpoint and waits for the head of its response.
    ///
    /// `last_event_id` is set if a stream resumes after a broken run.
    pub(crate) async fn send(
        &mut self,
        key: EndpointKey,
        last_event_id: Option<&str>,
    ) -> Result<EndpointResponse, RunOutcome> {
        if !self.readmit() || !self.may_send_parts() {
            return Err(RunOutcome::NotWritten);
        }
        let now_ms = self.gateway.clock.now_ms();
        let prompt = self.request_info.prompt.as_ref();
        let (address, endpoint_id, version, software, run_key) = {
            let mut endpoints = self.gateway.endpoints.borrow_mut();
            let Some(endpoint) = endpoints.get(key) else {
                return Err(RunOutcome::Unreachable);
            };
            let address = endpoint.entry.address;
            let endpoint_id = endpoint.entry.id.clone();
            let version = endpoint.entry.version.clone();
            let software = endpoint.software;
            // A choice that was reserved may be older than what the stream began at.
            if self.began.software().is_some_and(|began| began != software) {
                return Err(RunOutcome::NotWritten);
            }
            if endpoint.limit() != RateLimit::Unlimited {
                metrics::counter!(metric::LIMITED_RUNS).increment(1);
            }
            let fetched_tokens = match (self.source, prompt) {
                (Some(_), Some(prompt)) => prompt.shared_tokens(),
                _ => 0,
            };
            let run = endpoints.begin_run(
                key,
                prompt,
                fetched_tokens,
                self.memory_tokens,
                self.level,
                now_ms,
            );
            (address, endpoint_id, version, software, run)
        };
        let mut run = RunGuard {
            gateway: Rc::clone(&self.gateway),
            address,
            endpoint: key,
            endpoint_id,
            version,
            software,
            began_ms: now_ms,
            load: None,
            is_unanswered: true,
            first_byte_at_ms: None,
            events: 0,
            framing: None,
            writes: None,
            key: Some(run_key),
        };
        self.trace.begin_run(&run.endpoint_id, now_ms);
        self.begin_repeat();
        let answered = self.exchange_heads(&run, last_event_id).await;
        let (connection, response) = match answered {
            Ok(answered) => answered,
            Err(outcome) => {
                self.settle_unanswered(&run, outcome);
                self.end_run(&mut run, outcome, "");
                return Err(outcome);
            }
        };
        self.request_progress.set_stage(Stage::Buffering);
        run.is_unanswered = false;
        run.framing = Some(Framing::new(&response));
        run.writes = Some(Rc::clone(connection.writes()));
        self.settle_answered();
        let response_info = self
            .gateway
            .adapter
            .parse_response(response.status(), response.headers());
        run.load = response_info.load;
        if let Some(load) = response_info.load {
            let now_ms = self.gateway.clock.now_ms();
            self.gateway
                .endpoints
                .borrow_mut()
                .record_load(key, load, now_ms);
        }
        // A notice from another endpoint at this address does not apply to this one.
        if !response_info.is_misdirected {
            if response_info.is_leaving {
                self.gateway.record_leaving(key);
            }
            if let Some(for_ms) = response_info.pause_ms {
                self.gateway.pause_endpoint(key, for_ms);
            }
            if let Some(limit) = self.stated_limit(&response_info, &connection) {
                let report = LimitReport {
                    limit,
                    sent_ms: run.began_ms,
                    received_ms: self.gateway.clock.now_ms(),
                };
                self.gateway.record_limit(key, report);
            }
        }
        let received = EndpointResponse {
            run,
            connection,
            response,
            response_info,
        };
        let checked = self.check_response(received);
        let is_served = checked
            .as_ref()
            .is_ok_and(|received| !received.response.status().is_server_error());
        self.record_repeat_result(is_served);
        checked
    }

    /// Returns whether a response is to an earlier request on the connection.
    fn is_other_answer(&self, response_info: &ResponseInfo, connection: &Connection) -> bool {
        match (&response_info.request_id, &self.request_info.request_id) {
            (Some(answered), Some(asked)) => answered != asked,
            // What an earlier request left on a kept connection may come without an id.
            (None, Some(_)) => connection.is_reused(),
            (_, None) => false,
        }
    }

    /// Returns the rate limit that the endpoint stated, or that it stated none; `None` if that is unknown.
    ///
    /// The age of a response to an earlier request is unknown, and only a response that is certainly the endpoint's
    /// can lift a limit.
    fn stated_limit(
        &self,
        response_info: &ResponseInfo,
        connection: &Connection,
    ) -> Option<RateLimit> {
        if self.is_other_answer(response_info, connection) {
            return None;
        }
        let is_genuine = response_info.is_signed || response_info.is_not_run;
        let limit = response_info.limit?;
        (is_genuine || limit != RateLimit::Unlimited).then_some(limit)
    }

    /// Checks that a response is to this request, from the right endpoint and not a refusal.
    fn check_response(
        &mut self,
        mut received: EndpointResponse,
    ) -> Result<EndpointResponse, RunOutcome> {
        let response_info = &received.response_info;
        let status = received.response.status();
        let promises_not_run = promises_not_run(status.as_u16());
        let outcome = if self.is_other_answer(response_info, &received.connection) {
            Some((RunOutcome::Lost, "(answer to another request)"))
        } else if !is_final(status.as_u16()) {
            Some((RunOutcome::Lost, "(no final status)"))
        } else if response_info.is_misdirected {
            Some((RunOutcome::Misdirected, ""))
        } else if response_info.is_not_run && (status.is_server_error() || promises_not_run) {
            Some((RunOutcome::Rejected, ""))
        } else if promises_not_run {
            // The endpoint had the request; its status would let the caller send a request again that ran.
            Some((RunOutcome::Failed, "(status of a request that did not run)"))
        } else if status.is_success() && !response_info.is_signed {
            Some((RunOutcome::Lost, "(unsigned)"))
        } else {
            None
        };
        match outcome {
            Some((outcome, detail)) => {
                self.end_run(&mut received.run, outcome, detail);
                Err(outcome)
            }
            None => Ok(received),
        }
    }

    /// Records the end of a run in the trace and in what is known of the endpoint.
    pub(crate) fn end_run(&mut self, run: &mut RunGuard, outcome: RunOutcome, detail: &str) {
        let load = run.load.map_or(String::new(), format_load);
        let detail = format!("{load}{detail}");
        self.trace
            .record_run_end(run.endpoint_id.as_str(), run.began_ms, outcome, &detail);
        run.end(outcome);
        if outcome == RunOutcome::Lost {
            self.log_lost(run);
            self.check_for_crash(run);
        }
    }

    /// Logs how far a lost run of a prompt had come, and which parts the prompt shares with others.
    fn log_lost(&self, run: &RunGuard) {
        let Some(prompt) = &self.request_info.prompt else {
            return;
        };
        let now_ms = self.gateway.clock.now_ms();
        let answering_ms = run.first_byte_at_ms.map(|at_ms| now_ms - at_ms);
        let mut parts = String::new();
        for part in prompt.shared_parts() {
            // Writing to a string cannot fail.
            let _ = write!(parts, "{:016x} ", part.id);
        }
        log::info!(
            event = "run_lost", request = self.trace.request_id(), endpoint = run.endpoint_id.as_str(),
            events = run.events, answering_ms = answering_ms, framing = run.framing.map_or("none", Framing::as_str),
            parts = parts.trim_end();
            "the connection ended before the answer"
        );
    }

    /// Returns whether the route allows another run.
    fn can_repeat(&self) -> bool {
        self.route.is_repeatable() && self.progress.runs + 1 < self.route.attempts_max
    }

    /// Reserves another endpoint that the current run can be replaced by one at; returns whether there is one.
    async fn reserve_repeat(&self) -> bool {
        if !self.can_repeat() {
            return false;
        }
        self.can_replace() && self.reserve_endpoint().await
    }

    async fn exchange_heads(
        &self,
        run: &RunGuard,
        last_event_id: Option<&str>,
    ) -> Result<(Connection, Response<Incoming>), RunOutcome> {
        let gateway = &self.gateway;
        // On a kept connection a reset leaves open whether the request ran, which only repeatable requests tolerate.
        let kept = match self.route.is_repeatable() {
            true => gateway.take_idle(run.endpoint),
            false => None,
        };
        if let Some(connection) = kept {
            match self.exchange_on(connection, run, last_event_id).await {
                Err(RunOutcome::NotWritten) => {}
                outcome => return outcome,
            }
        }
        let limit_ms = CONNECT_MS.min(self.remaining_ms());
        let opened = Connection::open(gateway.executor.requests(), run.address, limit_ms).await;
        let outcome = if opened.is_ok() { "made" } else { "failed" };
        metrics::counter!(metric::CONNECTS, "outcome" => outcome).increment(1);
        let connection = opened.map_err(|_| RunOutcome::Unreachable)?;
        self.exchange_on(connection, run, last_event_id).await
    }

    async fn exchange_on(
        &self,
        mut connection: Connection,
        run: &RunGuard,
        last_event_id: Option<&str>,
    ) -> Result<(Connection, Response<Incoming>), RunOutcome> {
        let left_ms = self.remaining_ms();
        if left_ms == 0 {
            return Err(RunOutcome::NotWritten);
        }
        let body = connection.request_body(self.body.clone());
        let request = self.build_request(run, body, left_ms, last_event_id);
        self.request_progress.set_stage(Stage::Sent);
        let timeouts = self.first_byte_timeouts(run);
        let sending = connection.sender.try_send_request(request);
        let since_ms = self.gateway.clock.now_ms();
        match self.watch(run, timeouts, since_ms, sending).await? {
            Ok(response) => Ok((connection, response)),
            // The request comes back only if nothing of it was written.
            Err(mut error) => match error.take_message() {
                Some(_) => Err(RunOutcome::NotWritten),
                None => Err(RunOutcome::Lost),
            },
        }
    }

    /// Returns how long a run may stay silent before its first byte.
    pub(crate) fn first_byte_timeouts(&self, run: &RunGuard) -> StallTimeouts {
        let endpoints = self.gateway.endpoints.borrow();
        let typical_ms = endpoints.mean_first_byte_ms(&self.service);
        let unread_tokens = endpoints.unread_tokens(run.endpoint) as f64;
        let prefill_ms = unread_tokens / self.gateway.placement.read_tokens_per_ms;
        StallTimeouts::before_first_byte(&self.route, typical_ms, prefill_ms)
    }

    /// Waits for something from a run, until the time limit or until another endpoint should take over; the run has been
    /// silent since `since_ms`.
    pub(crate) async fn watch<F: Future>(
        &self,
        run: &RunGuard,
        timeouts: StallTimeouts,
        since_ms: u64,
        future: F,
    ) -> Result<F::Output, RunOutcome> {
        futures::pin_mut!(future);
        let clock = self.gateway.clock;
        // A steady trickle of bytes must not postpone the decision.
        if timeouts.is_exceeded(clock.now_ms() - since_ms, true) && self.reserve_repeat().await {
            return Err(RunOutcome::Stalled);
        }
        loop {
            let silence_ms = clock.now_ms() - since_ms;
            let mut limit_ms = self.remaining_ms() + LIMIT_SLACK_MS;
            if self.can_repeat() {
                limit_ms = limit_ms.min(timeouts.next_check_ms(silence_ms) - silence_ms);
            }
            if let Some(output) = with_timeout(limit_ms, future.as_mut()).await {
                let mut endpoints = self.gateway.endpoints.borrow_mut();
                endpoints.record_response(run.endpoint, clock.now_ms());
                return Ok(output);
            }
            if self.remaining_ms() == 0 {
                return Err(RunOutcome::Expired);
            }
            let has_responded = {
                let endpoints = self.gateway.endpoints.borrow();
                endpoints.has_responded_since(run.endpoint, since_ms)
            };
            let is_over = timeouts.is_exceeded(clock.now_ms() - since_ms, has_responded);
            if is_over && self.reserve_repeat().await {
                return Err(RunOutcome::Stalled);
            }
        }
    }

    fn build_request(
        &self,
        run: &RunGuard,
        body: RequestBody,
        left_ms: u64,
        last_event_id: Option<&str>,
    ) -> Request<RequestBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        let mut headers = self.head.headers.clone();
        headers::strip_hop_by_hop(&mut headers);
        let instructions = Instructions {
            endpoint_id: &run.endpoint_id,
            time_limit_ms: left_ms,
            organisation: self.organisation.as_ref(),
            level: self.request_info.prompt.is_some().then_some(self.level),
            last_event_id,
            fetch_from: self.source_address(),
        };
        self.gateway
            .adapter
            .set_instructions(&mut headers, &instructions);
        *request.headers_mut() = headers;
        request
    }

    /// Returns the address of the engine that the prompt's shared part is fetched from.
    fn source_address(&self) -> Option<SocketAddr> {
        let endpoints = self.gateway.endpoints.borrow();
        let source = endpoints.get(self.source?)?;
        source.is_usable().then_some(source.entry.address)
    }

    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.gateway.clock.now_ms())
    }
}

/// Formats a load for the trace: running, waiting and slowness.
fn format_load(load: Load) -> String {
    format!(
        "[{}+{},{}%]",
        load.running, load.waiting, load.slowness_percent
    )
}
