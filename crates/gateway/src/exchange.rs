//! Handles one request of a caller, from its head to its final response.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::request::Parts;
use waxwing_core::ExecutionStatus;
use waxwing_core::Name;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::forwarding::Configuration;
use waxwing_core::forwarding::EndpointKey;
use waxwing_core::forwarding::Execution;
use waxwing_core::forwarding::admission;
use waxwing_core::forwarding::configuration::Route;
use waxwing_core::forwarding::endpoints::UrgencyLevel;
use waxwing_core::forwarding::lanes::Lane;
use waxwing_core::forwarding::placement;
use waxwing_core::forwarding::placement::Choice;
use waxwing_core::forwarding::planned_stop::Stage;
use waxwing_core::forwarding::run::Progress;
use waxwing_core::forwarding::run::RepeatDecision;
use waxwing_core::forwarding::run::RunOutcome;
use waxwing_core::forwarding::run::decide_repeat;
use waxwing_core::forwarding::run::status_code;
use waxwing_core::hash::hash_name;
use waxwing_core::state::evidence::ContentHash;

use crate::adapter::RequestInfo;
use crate::body::Body;
use crate::exchange::authorise::Admission;
use crate::exchange::authorise::authorise;
use crate::exchange::body::BodyError;
use crate::exchange::body::discard_body;
use crate::exchange::body::read_body;
use crate::exchange::parts::PartGate;
use crate::exchange::repeat::RepeatGuard;
use crate::gateway::Gateway;
use crate::memory::MemoryHold;
use crate::metric;
use crate::progress::RequestProgress;
use crate::relay;
use crate::request_body::Pieces;
use crate::stop;
use crate::trace::Trace;

mod authorise;
mod body;
mod crash;
mod parts;
mod repeat;
mod send;
mod take_up;

pub(crate) use parts::RefusedPart;
pub(crate) use send::EndpointResponse;
pub(crate) use send::Framing;
pub(crate) use send::RunGuard;
pub(crate) use take_up::Began;

/// Time after which a caller may retry at another VM, in milliseconds.
pub(crate) const STOPPING_RETRY_AFTER_MS: u64 = 50;

/// Most addresses of other VMs that a caller is told by one that stops.
const OTHER_ADDRESSES_MAX: usize = 3;

/// Time after which a caller may retry when the VM lacks settings or memory, in milliseconds.
const UNREADY_RETRY_AFTER_MS: u64 = 500;

/// Time after which a caller may retry when no endpoint took its request, in milliseconds.
const NO_ENDPOINT_RETRY_AFTER_MS: u64 = 300;

/// Time after which a caller may retry with a content that crashes endpoints, in milliseconds.
const CRASHING_RETRY_AFTER_MS: u64 = 30_000;

/// Most requests for permits before a request is placed at an endpoint without a rate limit.
const PERMIT_REQUESTS_MAX: usize = 3;

/// A request that was admitted.
pub(crate) struct Exchange {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) trace: Trace,
    pub(crate) route: Route,
    pub(crate) service: Name,
    pub(crate) organisation: Option<Name>,
    pub(crate) level: UrgencyLevel,
    pub(crate) memory_tokens: Option<u64>,
    pub(crate) can_fetch: bool,
    pub(crate) lane: Lane,
    pub(crate) request_info: RequestInfo,
    pub(crate) head: Parts,
    pub(crate) body: Pieces,
    pub(crate) content: ContentHash,
    pub(crate) deadline_ms: u64,
    pub(crate) tried: Vec<EndpointKey>,
    /// Engine from which the endpoint that was chosen last fetches the shared part of the prompt.
    pub(crate) source: Option<EndpointKey>,
    pub(crate) progress: Progress,
    pub(crate) request_progress: Rc<RequestProgress>,
    /// Whether the request may be sent, as far as the parts of its prompt are concerned.
    part_gate: PartGate,
    /// Repeat taken for the run in progress, or for the next one, until it is certain that it arrived.
    repeat: Option<RepeatGuard>,
    /// Until when runs that were given up may still arrive at their endpoints, in milliseconds.
    late_until_ms: u64,
    /// Endpoint chosen for a repeat while the run before it has not ended, with its permit.
    reserved: RefCell<Option<Choice>>,
    /// Where the stream began.
    pub(crate) began: Began,
    /// Version of the configuration by which the request was admitted.
    configuration_version: u64,
    /// Why a newer configuration does not allow the request.
    disallowed: Option<Refusal>,
    /// Whether a rate limit kept the request from an endpoint.
    was_denied: Cell<bool>,
    in_progress: InProgress,
}

/// Counts the memory of a request and its demand until it is dropped.
struct InProgress {
    gateway: Rc<Gateway>,
    memory: MemoryHold,
    /// Service and lane under which the demand tracker counts the request as in progress; `None` if it does not.
    stream: Option<(u64, Lane)>,
}

impl InProgress {
    fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            memory: gateway.memory.hold(0),
            stream: None,
        }
    }

    /// Counts the request in the demand tracker, among the requests in progress of its lane, until this is dropped.
    fn count_stream(&mut self, service: u64, lane: Lane) {
        self.stream = Some((service, lane));
        self.gateway
            .demand_tracker
            .borrow_mut()
            .begin(service, lane);
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        if let Some((service, lane)) = self.stream {
            self.gateway.demand_tracker.borrow_mut().end(service, lane);
        }
    }
}

/// Result of relaying an endpoint's response.
pub(crate) enum Delivery {
    /// It is relayed to the caller.
    Delivered(Response<Body>),
    /// It is unusable; the request may be repeated.
    Unusable {
        /// The request.
        exchange: Box<Exchange>,
        /// How the run ended.
        outcome: RunOutcome,
        /// The endpoint's error response, for the caller if no repeat succeeds.
        failure: Option<Response<Body>>,
    },
}

/// Serves a request of a caller.
pub(crate) async fn serve(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let (head, incoming) = request.into_parts();
    // A chunked request may state a second length, which the HTTP library drops (RFC 9112, section 6.1). What follows
    // on the connection could be a request that another reader takes for a part of the body.
    let closes = head.headers.contains_key(TRANSFER_ENCODING);
    let progress = RequestProgress::begin(&gateway.stages);
    let mut response = match gateway.adapter.parse_request(&head.headers) {
        Ok(request_info) => {
            let request_id = request_info.request_id.clone().unwrap_or_default();
            let answer = pin!(answer(&gateway, head, request_info, incoming, &progress));
            stop::answer_until_closing(&gateway, &progress, &request_id, answer).await
        }
        Err(message) => {
            let refusal = Refusal::not_run(Reason::BadRequest, 0, message);
            let mut trace = Trace::new(gateway.clock, "", 0, progress);
            refuse(&gateway, &mut trace, &refusal, true)
        }
    };
    if closes || gateway.is_stopping() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer(
    gateway: &Rc<Gateway>,
    head: Parts,
    request_info: RequestInfo,
    incoming: Incoming,
    progress: &Rc<RequestProgress>,
) -> Response<Body> {
    let configuration = gateway.configuration();
    let version = configuration.as_ref().map_or(0, |known| known.version());
    let request_id = request_info.request_id.clone().unwrap_or_default();
    let mut trace = Trace::new(gateway.clock, &request_id, version, Rc::clone(progress));
    let mut in_progress = InProgress::new(gateway);
    let admitted = admit(
        gateway,
        configuration.as_deref(),
        &head,
        &request_info,
        &mut trace,
    );
    let Admission {
        route,
        organisation,
        level,
    } = match admitted {
        Ok(admission) => admission,
        Err(refusal) => {
            discard_body(gateway, incoming);
            return refuse(gateway, &mut trace, &refusal, false);
        }
    };
    trace.set_caller(organisation.as_ref(), level);
    progress.set_repeatable(route.is_repeatable());
    let limits = configuration
        .as_ref()
        .map(|known| known.limits())
        .unwrap_or_default();
    let limit_ms = request_info
        .time_limit_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    let deadline_ms = trace.received_ms() + limit_ms;
    let memory = &mut in_progress.memory;
    let body_max_bytes = limits.body_max_bytes;
    let body = match read_body(incoming, body_max_bytes, limit_ms, level, memory).await {
        Ok(body) => body,
        Err(BodyError::Refused(refusal)) => return refuse(gateway, &mut trace, &refusal, true),
        Err(BodyError::NoMemory {
            asked_bytes,
            unread,
        }) => {
            discard_body(gateway, unread);
            let held_bytes = gateway.memory.held_bytes();
            trace.record_memory(held_bytes, asked_bytes);
            let retry_after_ms = gateway.memory.retry_delay_ms(level, asked_bytes);
            let message = "this VM has no memory for the request; use another entry address";
            let refusal = Refusal::not_run(Reason::MemoryFull, retry_after_ms, message);
            // An open connection holds memory as well.
            return refuse(gateway, &mut trace, &refusal, true);
        }
    };
    progress.set_stage(Stage::Waiting);
    let draw = (gateway.draw() >> 32) as u32;
    let Some(service) = route.pick_service(draw).cloned() else {
        let message = "the route names no service";
        let refusal = Refusal::not_run(Reason::NoEndpoint, UNREADY_RETRY_AFTER_MS, message);
        return refuse(gateway, &mut trace, &refusal, false);
    };
    let lane = configuration
        .as_ref()
        .map(|known| known.lane(&service, &route));
    let known = configuration
        .as_ref()
        .and_then(|known| known.service(&service));
    let prompt = request_info.prompt.as_ref();
    let part_gate = PartGate::new(organisation.as_ref(), &service, prompt);
    let mut exchange = Box::new(Exchange {
        gateway: Rc::clone(gateway),
        trace,
        lane: lane.unwrap_or_default(),
        memory_tokens: known.and_then(|service| service.memory_tokens),
        can_fetch: known.is_some_and(|service| service.can_fetch),
        content: hash_content(organisation.as_ref(), &head, &body),
        route,
        service,
        organisation,
        level,
        request_info,
        head,
        body,
        deadline_ms,
        tried: Vec::new(),
        source: None,
        progress: Progress::new(limit_ms),
        request_progress: Rc::clone(progress),
        part_gate,
        repeat: None,
        late_until_ms: 0,
        reserved: RefCell::new(None),
        began: Began::Nowhere,
        configuration_version: version,
        disallowed: None,
        was_denied: Cell::new(false),
        in_progress,
    });
    if gateway.is_crashing(&exchange.content) {
        let message = "endpoints crashed on this content";
        let refusal = Refusal::not_run(Reason::Crashing, CRASHING_RETRY_AFTER_MS, message);
        return refuse(gateway, &mut exchange.trace, &refusal, false);
    }
    exchange.run().await
}

/// Admits a request that has just arrived.
fn admit(
    gateway: &Gateway,
    configuration: Option<&Configuration>,
    head: &Parts,
    request_info: &RequestInfo,
    trace: &mut Trace,
) -> Result<Admission, Refusal> {
    let admission = authorise(gateway, configuration, head, request_info, trace)?;
    if !gateway.can_accept(&admission.route) {
        let message = "this VM is stopping; use another entry address";
        return Err(Refusal::not_run(
            Reason::Stopping,
            STOPPING_RETRY_AFTER_MS,
            message,
        ));
    }
    Ok(admission)
}

fn hash_content(organisation: Option<&Name>, head: &Parts, body: &Pieces) -> ContentHash {
    let mut hasher = blake3::Hasher::new();
    let parts = [
        organisation.map_or(&b""[..], |name| name.as_str().as_bytes()),
        head.method.as_str().as_bytes(),
        head.uri
            .path_and_query()
            .map_or("", |path| path.as_str())
            .as_bytes(),
    ];
    for part in parts {
        hasher.update(part);
        hasher.update(&[0]);
    }
    for piece in body.iter() {
        hasher.update(piece);
    }
    *hasher.finalize().as_bytes()
}

impl Exchange {
    /// Sends the request to endpoints until there is a final response.
    async fn run(mut self: Box<Self>) -> Response<Body> {
        if self.remaining_ms() == 0 {
            return self.give_up(None, true);
        }
        if let Err(refusal) = self.find_start().await {
            return refuse(&self.gateway, &mut self.trace, &refusal, false);
        }
        let now_ms = self.gateway.clock.now_ms();
        self.gateway
            .budget
            .borrow_mut()
            .record_request(&self.service, self.level, now_ms);
        self.count_demand(now_ms);
        let mut key = self.take_endpoint().await;
        if let Some(refusal) = key.and_then(|key| self.check_backlog(key)) {
            return refuse(&self.gateway, &mut self.trace, &refusal, false);
        }
        let mut failure = None;
        let mut is_expired = false;
        while let Some(endpoint) = key {
            let outcome = match self.send(endpoint, None).await {
                Err(outcome) => outcome,
                Ok(received) => match relay::deliver(self, received).await {
                    Delivery::Delivered(response) => return response,
                    Delivery::Unusable {
                        exchange,
                        outcome,
                        failure: newer,
                    } => {
                        self = exchange;
                        failure = newer.or(failure);
                        outcome
                    }
                },
            };
            is_expired = outcome == RunOutcome::Expired;
            key = self.take_next_endpoint(outcome).await;
        }
        self.give_up(failure, is_expired)
    }

    /// Chooses an endpoint that the request was not sent to yet and that may take it now.
    async fn take_endpoint(&mut self) -> Option<EndpointKey> {
        let choice = match self.reserved.take() {
            Some(reserved) => {
                self.part_gate.end_turn();
                reserved
            }
            None if !self.admit_parts().await => return None,
            None => self.place().await?,
        };
        self.tried.push(choice.endpoint);
        self.source = choice.source;
        Some(choice.endpoint)
    }

    /// Chooses an endpoint for a repeat before the current run is given up; returns whether there is one.
    pub(crate) async fn reserve_endpoint(&self) -> bool {
        if !self.has_clear_parts() {
            return false;
        }
        let choice = self.place().await;
        let is_found = choice.is_some();
        *self.reserved.borrow_mut() = choice;
        is_found
    }

    /// Chooses an endpoint and obtains the permit to send it one request.
    async fn place(&self) -> Option<Choice> {
        for asked in 0..=PERMIT_REQUESTS_MAX {
            let choice = self.choose(asked == PERMIT_REQUESTS_MAX)?;
            let endpoint = choice.endpoint;
            if self.gateway.acquire_permit(endpoint, self.level).await {
                return Some(choice);
            }
            self.was_denied.set(true);
        }
        None
    }

    /// Chooses the endpoint for a repeat after a run ended; returns `None` if the request is to be given up.
    pub(crate) async fn take_next_endpoint(&mut self, outcome: RunOutcome) -> Option<EndpointKey> {
        self.progress.add(outcome);
        self.request_progress.set_execution(self.progress.execution);
        self.request_progress.set_stage(Stage::Waiting);
        self.await_crash_check().await;
        self.progress.remaining_ms = self.remaining_ms();
        if self.disallowed.is_some()
            || decide_repeat(&self.route, &self.progress) == RepeatDecision::GiveUp
            || !self.take_repeat(outcome)
        {
            return None;
        }
        self.take_endpoint().await
    }

    /// Takes a repeat from the service's budget and returns whether the budget allowed it; `outcome` is how the
    /// previous run ended. A repeat is free if that run's endpoint received nothing.
    fn take_repeat(&mut self, outcome: RunOutcome) -> bool {
        // An endpoint that was not reached received nothing, so nothing is repeated.
        let is_free = matches!(outcome, RunOutcome::Unreachable | RunOutcome::NotWritten);
        if !is_free {
            self.repeat = RepeatGuard::take(self);
            if self.repeat.is_none() {
                metrics::counter!(metric::REPEATS_REFUSED).increment(1);
                return false;
            }
        }
        metrics::counter!(metric::REPEATS, "after" => outcome.as_str()).increment(1);
        true
    }

    /// Adds the request's prompt tokens and the request in progress to the demand of its lane; does nothing without a
    /// prompt.
    fn count_demand(&mut self, now_ms: u64) {
        let Some(prompt) = &self.request_info.prompt else {
            return;
        };
        let service = hash_name(self.service.as_str());
        self.gateway
            .demand_tracker
            .borrow_mut()
            .add(service, self.lane, prompt, now_ms);
        self.in_progress.count_stream(service, self.lane);
    }

    /// Refuses a request if the chosen endpoint's prefill backlog leaves too little time for its prompt.
    fn check_backlog(&mut self, key: EndpointKey) -> Option<Refusal> {
        self.request_info.prompt.as_ref()?;
        let gateway = Rc::clone(&self.gateway);
        let endpoints = gateway.endpoints.borrow();
        let endpoint = endpoints.get(key)?;
        let level = self.level;
        let backlog_ms = placement::backlog_ms(&gateway.placement, &endpoints, endpoint, level);
        let left_ms = self.remaining_ms();
        let retry_after_ms =
            admission::retry_after_ms(&gateway.admission, level, backlog_ms, left_ms)?;
        self.trace
            .record_backlog(endpoint.entry.id.as_str(), backlog_ms);
        let message =
            format!("the engine needs {backlog_ms:.0} ms for the prompts before this one");
        Some(Refusal::not_run(
            Reason::DeadlineUnreachable,
            retry_after_ms,
            message,
        ))
    }

    fn choose(&self, avoids_limited: bool) -> Option<Choice> {
        let gateway = &self.gateway;
        let now_ms = gateway.clock.now_ms();
        let service = hash_name(self.service.as_str());
        let request = placement::Request {
            service: &self.service,
            prompt: self.request_info.prompt.as_ref(),
            lane: self.lane,
            demand: gateway
                .demand_tracker
                .borrow()
                .total_demand(service, now_ms),
            can_fetch: self.can_fetch,
            level: self.level,
            is_repeatable: self.route.is_repeatable(),
            data_centre: &gateway.data_centre,
            software: self.began.software(),
            tried: &self.tried,
            avoids_limited,
            is_trial: self.part_gate.is_trial(),
            draw: gateway.draw(),
        };
        let endpoints = gateway.endpoints.borrow();
        placement::choose(&gateway.placement, &endpoints, &request, now_ms)
    }

    /// Counts the bytes of an answer that is held until it is complete.
    pub(crate) fn hold_answer(&mut self, bytes: usize) {
        self.in_progress.memory.grow(bytes as u64);
    }

    /// Builds the final response of a request that got no usable one.
    pub(crate) fn give_up(
        mut self: Box<Self>,
        failure: Option<Response<Body>>,
        is_expired: bool,
    ) -> Response<Body> {
        let execution = self.progress.execution;
        if let Some(response) = failure {
            self.trace
                .finish("endpoint_failed", response.status().as_u16(), execution);
            return response;
        }
        if let Some(refusal) = self.disallowed.take() {
            return refuse(&self.gateway, &mut self.trace, &refusal, false);
        }
        let status = status_code(execution, is_expired);
        let now_ms = self.gateway.clock.now_ms();
        let opening = placement::next_opening(
            &self.gateway.endpoints.borrow(),
            &self.service,
            self.level,
            now_ms,
        );
        let is_limited = self.was_denied.get() || opening.is_some_and(|opening| opening.is_limited);
        let refused_part = self.part_gate.refused();
        let reason = match (execution, is_expired) {
            _ if refused_part.is_some() => Reason::CrashingPart,
            (Execution::NotRun, false) if is_limited => Reason::EndpointLimited,
            (Execution::NotRun, false) => Reason::NoEndpoint,
            (Execution::NotRun, true) => Reason::DeadlineUnreachable,
            (_, true) => Reason::DeadlinePassed,
            (_, false) => Reason::EndpointFailed,
        };
        let refusal = match execution {
            Execution::NotRun if let Some(refused) = refused_part => {
                let message = "endpoints crashed when they began to answer prompts with this part";
                Refusal::not_run(reason, refused.retry_after_ms, message)
            }
            Execution::NotRun => {
                let message = match is_limited {
                    true => "the endpoints are at their rate limits",
                    false => "no endpoint took the request",
                };
                let wait_ms = opening.map_or(0, |opening| opening.wait_ms);
                let retry_after_ms = wait_ms.max(NO_ENDPOINT_RETRY_AFTER_MS);
                Refusal::not_run(reason, retry_after_ms, message)
            }
            Execution::Unknown | Execution::Ran => {
                Refusal::may_have_run(reason, 0, "the endpoint gave no usable answer")
            }
        };
        if let Some(refused) = &refused_part {
            self.trace.record_refused_part(refused);
        }
        if let Some(opening) = opening.filter(|opening| opening.is_limited) {
            let endpoints = self.gateway.endpoints.borrow();
            let endpoint = endpoints.get(opening.endpoint);
            let id = endpoint.map_or("", |endpoint| endpoint.entry.id.as_str());
            self.trace.record_limited(id, opening.wait_ms);
        }
        let mut response = refusal_response(&self.gateway, self.trace.request_id(), &refusal);
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        metrics::counter!(metric::REFUSALS, "reason" => reason.as_str()).increment(1);
        self.trace.finish(reason.as_str(), status, execution);
        response
    }
}

/// Builds the response to a request that reached no endpoint.
fn refuse(gateway: &Gateway, trace: &mut Trace, refusal: &Refusal, closes: bool) -> Response<Body> {
    let mut response = refusal_response(gateway, trace.request_id(), refusal);
    if closes {
        // The unread rest of the request body must not be parsed as another request.
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    metrics::counter!(metric::REFUSALS, "reason" => refusal.reason.as_str()).increment(1);
    let status = response.status().as_u16();
    trace.finish(refusal.reason.as_str(), status, Execution::NotRun);
    response
}

pub(crate) fn refusal_response(
    gateway: &Gateway,
    request_id: &str,
    refusal: &Refusal,
) -> Response<Body> {
    let run = match refusal.run {
        ExecutionStatus::NotRun => "not_run",
        ExecutionStatus::Unknown => "unknown",
    };
    let mut text = serde_json::json!({
        "error": {"code": refusal.reason.as_str(), "message": refusal.message, "run": run}
    });
    if refusal.reason == Reason::Stopping && refusal.retry_after_ms > 0 {
        let mut addresses = gateway.front_addresses(gateway.data_centre.as_str());
        addresses.truncate(OTHER_ADDRESSES_MAX);
        text["error"]["entry_addresses"] = addresses.iter().map(ToString::to_string).collect();
    }
    let mut response = Response::new(Body::whole(text.to_string()));
    let status = StatusCode::from_u16(refusal.status_code());
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if refusal.retry_after_ms > 0 {
        let seconds = format!("{:.3}", refusal.retry_after_ms as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    if !request_id.is_empty() {
        gateway.adapter.set_request_id(headers, request_id);
    }
    response
}
