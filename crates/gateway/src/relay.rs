//! Relays an endpoint's response to the caller.

use std::rc::Rc;

use futures::channel::oneshot;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::http::response::Parts;
use waxwing_core::forwarding::Execution;
use waxwing_core::forwarding::configuration::RouteKind;
use waxwing_core::forwarding::event_stream::EventSplitter;
use waxwing_core::forwarding::planned_stop::Stage;
use waxwing_core::forwarding::run::RunOutcome;
use waxwing_core::forwarding::run::StallTimeouts;

use crate::body::Body;
use crate::body::ChunkSender;
use crate::client::Connection;
use crate::client::with_timeout;
use crate::exchange::Began;
use crate::exchange::Delivery;
use crate::exchange::EndpointResponse;
use crate::exchange::Exchange;
use crate::exchange::Framing;
use crate::exchange::RunGuard;
use crate::headers;
use crate::metric;
use crate::stop;

/// Size up to which a response is buffered before its first byte goes to the caller, in bytes; a buffered response
/// that breaks off can still be replaced by another run's.
const WHOLE_MAX_BYTES: usize = 65_536;

/// Longest response that is not an event stream, in bytes; a faulty endpoint may send bytes without end.
const ANSWER_MAX_BYTES: usize = 67_108_864;

/// An endpoint's response whose body is still arriving.
struct Source {
    run: RunGuard,
    connection: Connection,
    body: Incoming,
    /// Whether the endpoint closes the connection after the answer.
    closes: bool,
    has_events: bool,
    /// Whether the answer has gone on long enough to clear the parts of its prompt.
    is_established: bool,
}

impl Source {
    /// Splits a response into its head, without hop-by-hop headers, and its body.
    fn new(received: EndpointResponse) -> (Parts, Self) {
        let EndpointResponse {
            run,
            mut connection,
            response,
            ..
        } = received;
        let (mut head, body) = response.into_parts();
        let closes = headers::is_close(&head.headers);
        if let Some(seconds) = headers::keep_alive_s(&head.headers) {
            connection.set_idle_limit(seconds);
        }
        headers::strip_hop_by_hop(&mut head.headers);
        // The endpoint addresses this VM; the router decides when callers may retry.
        if head.status.is_server_error() {
            head.headers.remove(RETRY_AFTER);
        }
        let source = Self {
            run,
            connection,
            body,
            closes,
            has_events: false,
            is_established: false,
        };
        (head, source)
    }

    /// Ends a run whose response is complete, and keeps the connection for later requests.
    async fn finish(mut self, exchange: &mut Exchange, outcome: RunOutcome) {
        if outcome == RunOutcome::Answered {
            let total_ms = exchange.trace.elapsed_ms();
            exchange
                .gateway
                .typical_times
                .borrow_mut()
                .record(&exchange.route.name, total_ms);
            exchange.record_sound_parts().await;
        }
        exchange.end_run(&mut self.run, outcome, "");
        // A content that ran to completion does not crash endpoints, so earlier crashes had other causes.
        exchange.gateway.clear_content(&exchange.content);
        if !self.closes {
            exchange
                .gateway
                .keep_idle(self.run.endpoint, self.connection);
        }
    }
}

/// Why relaying stopped before the response was complete.
enum RelayError {
    /// The caller closed the connection.
    CallerGone,
    /// The run ended.
    Run(RunOutcome),
}

/// Relays an endpoint's response to the caller.
pub(crate) async fn deliver(exchange: Box<Exchange>, received: EndpointResponse) -> Delivery {
    let status = received.response.status();
    if exchange.route.kind == RouteKind::Stream && status.is_success() {
        return Delivery::Delivered(stream(exchange, received).await);
    }
    deliver_whole(exchange, received).await
}

/// Buffers a response and relays it; a long one is relayed while it arrives.
async fn deliver_whole(mut exchange: Box<Exchange>, received: EndpointResponse) -> Delivery {
    let (head, mut source) = Source::new(received);
    source.run.record_first_byte();
    exchange.trace.record_first_byte();
    let mut bytes = Vec::new();
    let timeouts = exchange.first_byte_timeouts(&source.run);
    let since_ms = exchange.gateway.clock.now_ms();
    let reading = read_whole(&mut source.body, &mut bytes);
    let read = exchange
        .watch(&source.run, timeouts, since_ms, reading)
        .await;
    exchange.hold_answer(bytes.len());
    let outcome = match read {
        Err(outcome) => Some(outcome),
        Ok(Err(_)) => Some(RunOutcome::Lost),
        Ok(Ok(())) if bytes.len() < WHOLE_MAX_BYTES && exchange.is_cut(&source.run).await => {
            Some(RunOutcome::Lost)
        }
        Ok(Ok(())) => None,
    };
    if let Some(outcome) = outcome {
        exchange.end_run(&mut source.run, outcome, "(in body)");
        return unusable_delivery(exchange, outcome, None);
    }
    if !hyper::body::Body::is_end_stream(&source.body) && bytes.len() >= WHOLE_MAX_BYTES {
        exchange.request_progress.set_stage(Stage::Relaying);
        let body = relayed_body(exchange, |exchange, chunks| {
            pump_long(exchange, source, Bytes::from(bytes), chunks)
        });
        return Delivery::Delivered(Response::from_parts(head, body));
    }
    let response = Response::from_parts(head, Body::whole(bytes));
    let status = response.status();
    if status.is_server_error() {
        source.finish(&mut exchange, RunOutcome::Failed).await;
        return unusable_delivery(exchange, RunOutcome::Failed, Some(response));
    }
    source.finish(&mut exchange, RunOutcome::Answered).await;
    exchange
        .trace
        .finish("answered", status.as_u16(), Execution::Ran);
    Delivery::Delivered(response)
}

fn unusable_delivery(
    exchange: Box<Exchange>,
    outcome: RunOutcome,
    failure: Option<Response<Body>>,
) -> Delivery {
    Delivery::Unusable {
        exchange,
        outcome,
        failure,
    }
}

/// Reads a body to its end, or until it exceeds `WHOLE_MAX_BYTES`.
async fn read_whole(body: &mut Incoming, bytes: &mut Vec<u8>) -> hyper::Result<()> {
    while bytes.len() < WHOLE_MAX_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok(());
        };
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(())
}

async fn pump_long(
    mut exchange: Box<Exchange>,
    mut source: Source,
    first: Bytes,
    chunks: ChunkSender,
) {
    let mut next = Some(first);
    let mut passed_bytes = 0;
    loop {
        if let Some(data) = next.take() {
            passed_bytes += data.len();
            if chunks.send_async(Ok(data)).await.is_err() {
                return;
            }
        }
        let left_ms = exchange.remaining_ms();
        let outcome = match with_timeout(left_ms, source.body.frame()).await {
            _ if passed_bytes > ANSWER_MAX_BYTES => record_overlong(&source, "body"),
            Some(Some(Ok(frame))) => {
                next = frame.into_data().ok();
                continue;
            }
            Some(None) if exchange.is_cut(&source.run).await => RunOutcome::Lost,
            Some(None) => break,
            Some(Some(Err(_))) => RunOutcome::Lost,
            None => RunOutcome::Expired,
        };
        exchange.end_run(&mut source.run, outcome, "(in body)");
        abort(&mut exchange, &chunks).await;
        return;
    }
    source.finish(&mut exchange, RunOutcome::Answered).await;
    exchange.trace.finish("answered", 200, Execution::Ran);
}

/// What the task that relays a stream tells first; nothing if the stream ends without an event.
enum StreamStart {
    /// There are events to relay.
    Events,
    /// The stream was given up before its first event.
    GivenUp {
        exchange: Box<Exchange>,
        /// How its last run ended.
        outcome: RunOutcome,
    },
}

/// Starts to relay an event stream, and returns its response when there is something to relay.
///
/// A head without an event would tell the caller nothing, and would leave no way to answer with a failure.
async fn stream(exchange: Box<Exchange>, received: EndpointResponse) -> Response<Body> {
    let (head, source) = Source::new(received);
    let (start, started) = oneshot::channel();
    let body = relayed_body(exchange, |exchange, chunks| {
        pump_events(exchange, source, chunks, start)
    });
    match started.await {
        Ok(StreamStart::GivenUp { exchange, outcome }) => {
            exchange.give_up(None, outcome == RunOutcome::Expired)
        }
        Ok(StreamStart::Events) | Err(_) => Response::from_parts(head, body),
    }
}

/// Returns a body that a task relays, until it is complete or the VM ends.
fn relayed_body<F>(
    exchange: Box<Exchange>,
    pump: impl FnOnce(Box<Exchange>, ChunkSender) -> F,
) -> Body
where
    F: Future<Output = ()> + 'static,
{
    let gateway = Rc::clone(&exchange.gateway);
    let progress = Rc::clone(&exchange.request_progress);
    let executor = gateway.executor.requests();
    Body::streamed(|chunks| {
        let pump = Box::pin(pump(exchange, chunks.clone()));
        executor.spawn(stop::relay_until_end(gateway, progress, chunks, pump))
    })
}

/// Relays events until the stream is complete; a broken stream resumes at another endpoint if the route allows it.
async fn pump_events(
    mut exchange: Box<Exchange>,
    mut source: Source,
    chunks: ChunkSender,
    start: oneshot::Sender<StreamStart>,
) {
    let mut splitter = EventSplitter::new(exchange.request_info.last_event_id.clone());
    let mut start = Some(start);
    loop {
        let relayed = relay_events(
            &mut exchange,
            &mut source,
            &mut splitter,
            &chunks,
            &mut start,
        );
        match relayed.await {
            Ok(()) => break,
            Err(RelayError::CallerGone) => return,
            Err(RelayError::Run(outcome)) => {
                exchange.end_run(&mut source.run, outcome, "(in stream)");
                splitter.drop_incomplete();
                source = match resume(&mut exchange, outcome, &splitter).await {
                    Ok(next) => next,
                    Err(outcome) => return give_up_stream(exchange, outcome, &chunks, start).await,
                };
            }
        }
    }
    source.finish(&mut exchange, RunOutcome::Answered).await;
    exchange.trace.finish("answered", 200, Execution::Ran);
}

/// Ends a stream that cannot be completed: with a final answer if nothing of it has been relayed.
async fn give_up_stream(
    mut exchange: Box<Exchange>,
    outcome: RunOutcome,
    chunks: &ChunkSender,
    start: Option<oneshot::Sender<StreamStart>>,
) {
    let Some(start) = start else {
        return abort(&mut exchange, chunks).await;
    };
    // Fails only if the caller closed the connection.
    let _ = start.send(StreamStart::GivenUp { exchange, outcome });
}

/// Records a response or event over the size limit; the connection is closed with the run.
fn record_overlong(source: &Source, place: &'static str) -> RunOutcome {
    let endpoint = source.run.endpoint_id.as_str();
    log::warn!(event = "endless_bytes", endpoint = endpoint, place = place; "more bytes than any answer has");
    metrics::counter!(metric::ENDLESS_BYTES, "place" => place).increment(1);
    RunOutcome::Lost
}

/// Aborts a response with an error, so that it cannot look complete.
async fn abort(exchange: &mut Exchange, chunks: &ChunkSender) {
    let error = std::io::Error::other("the answer broke off");
    // Fails only if the caller closed the connection.
    let _ = chunks.send_async(Err(error)).await;
    exchange.trace.finish("stream_cut", 200, Execution::Unknown);
}

/// Relays the events of one run.
async fn relay_events(
    exchange: &mut Exchange,
    source: &mut Source,
    splitter: &mut EventSplitter,
    chunks: &ChunkSender,
    start: &mut Option<oneshot::Sender<StreamStart>>,
) -> Result<(), RelayError> {
    // Only complete events reset the stall timeout; other bytes, however many, count as silence.
    let mut since_ms = exchange.gateway.clock.now_ms();
    let mut events_before = splitter.event_count();
    loop {
        let timeouts = stall_timeouts(exchange, source);
        let frame = source.body.frame();
        let events = match exchange.watch(&source.run, timeouts, since_ms, frame).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(_) if !source.has_events && !exchange.may_begin(&source.run) => {
                    return Err(RelayError::Run(RunOutcome::Failed));
                }
                Ok(data) => splitter.push(&data),
                Err(_) => continue,
            },
            Ok(None) => {
                let is_unframed = source.run.framing == Some(Framing::Connection);
                if (is_unframed && splitter.has_incomplete()) || exchange.is_cut(&source.run).await
                {
                    return Err(RelayError::Run(RunOutcome::Lost));
                }
                let rest = splitter.take_remainder();
                if !rest.is_empty() {
                    send_chunk(exchange, chunks, rest).await?;
                }
                return Ok(());
            }
            Ok(Some(Err(_))) => return Err(RelayError::Run(RunOutcome::Lost)),
            Err(outcome) => return Err(RelayError::Run(outcome)),
        };
        if splitter.is_overlong() {
            return Err(RelayError::Run(record_overlong(source, "event")));
        }
        if events.is_empty() {
            continue;
        }
        if splitter.event_count() > events_before {
            source.run.events += splitter.event_count() - events_before;
            events_before = splitter.event_count();
            since_ms = exchange.gateway.clock.now_ms();
        }
        if !source.is_established && source.run.is_established(since_ms) {
            source.is_established = true;
            exchange.record_sound_parts().await;
        }
        if !source.has_events && splitter.event_count() > 0 {
            source.has_events = true;
            exchange.begin_stream(&source.run, splitter);
            source.run.record_first_byte();
            exchange.trace.record_first_byte();
        }
        if let Some(start) = start.take() {
            exchange.request_progress.set_stage(Stage::Relaying);
            // Fails only if the caller closed the connection.
            let _ = start.send(StreamStart::Events);
        }
        send_chunk(exchange, chunks, events).await?;
    }
}

async fn send_chunk(
    exchange: &Exchange,
    chunks: &ChunkSender,
    bytes: Vec<u8>,
) -> Result<(), RelayError> {
    let sent = with_timeout(
        exchange.remaining_ms(),
        chunks.send_async(Ok(Bytes::from(bytes))),
    )
    .await;
    match sent {
        Some(Ok(())) => Ok(()),
        Some(Err(_)) => Err(RelayError::CallerGone),
        None => Err(RelayError::Run(RunOutcome::Expired)),
    }
}

/// Returns how long a run may stay silent before the stream resumes at another endpoint.
fn stall_timeouts(exchange: &Exchange, source: &Source) -> StallTimeouts {
    if source.has_events {
        return StallTimeouts::between_events(&exchange.route);
    }
    exchange.first_byte_timeouts(&source.run)
}

/// Resumes a stream at another endpoint after the last event that the caller received; fails with the end of its last run.
async fn resume(
    exchange: &mut Exchange,
    outcome: RunOutcome,
    splitter: &EventSplitter,
) -> Result<Source, RunOutcome> {
    let mut outcome = outcome;
    if exchange.began == Began::Unknown {
        return Err(outcome);
    }
    while let Some(key) = exchange.take_next_endpoint(outcome).await {
        let received = match exchange.send(key, splitter.last_id()).await {
            Ok(received) => received,
            Err(next) => {
                outcome = next;
                continue;
            }
        };
        let status = received.response.status();
        let (_, mut source) = Source::new(received);
        if status.is_success() {
            return Ok(source);
        }
        exchange.end_run(&mut source.run, RunOutcome::Failed, "(resumed)");
        outcome = RunOutcome::Failed;
    }
    Err(outcome)
}
