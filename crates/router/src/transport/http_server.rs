//! HTTP server for callers: one executor thread for all connections, and a thread for each accepted request.

use std::convert::Infallible;
use std::net::TcpListener;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use flume::r#async::RecvStream;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::Either;
use futures::future::select;
use http_body_util::BodyExt;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use waxwing_core::Reason;
use waxwing_core::Refusal;

use crate::request;
use crate::request::incoming::IncomingRequest;
use crate::request::response::BodyPart;
use crate::request::response::Responder;
use crate::request::response::ResponseHead;
use crate::shared::Shared;

/// Delay after a failed accept, for example when the process has no free descriptors, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Time for which a connection may wait for a request when the VM stops, in milliseconds.
const STOP_GRACE_MS: u64 = 1_000;

/// Time after which a caller that was refused for lack of threads may retry, in milliseconds.
const BUSY_RETRY_AFTER_MS: u64 = 1_000;

type AnswerBody = StreamBody<FrameStream>;

/// Starts the server thread on a bound listener.
///
/// # Errors
///
/// Fails if the listener cannot be made non-blocking.
pub fn start(shared: Arc<Shared>, listener: TcpListener) -> std::io::Result<()> {
    let listener = Async::new(listener)?;
    thread::Builder::new()
        .name("front".to_owned())
        .spawn(move || {
            let executor = LocalExecutor::new();
            async_io::block_on(executor.run(accept(&executor, shared, listener)));
        })?;
    Ok(())
}

async fn accept(executor: &LocalExecutor<'_>, shared: Arc<Shared>, listener: Async<TcpListener>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("a connection cannot be accepted: {error}");
                Timer::after(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                continue;
            }
        };
        // With Nagle's algorithm, a token would wait for the acknowledgement of the previous one.
        let _ = stream.get_ref().set_nodelay(true);
        let shared = Arc::clone(&shared);
        shared.connections.fetch_add(1, Ordering::SeqCst);
        let connection = async move {
            let limits = &shared.config.limits;
            let serving = Arc::clone(&shared);
            let service = service_fn(move |request| serve(Arc::clone(&serving), request));
            let connection = http1::Builder::new()
                .timer(SmolTimer::new())
                .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
                .max_buf_size(limits.head_max_bytes.max(8_192))
                .serve_connection(FuturesIo::new(stream), service);
            if let Err(error) = finish_when_stopping(&shared, connection).await {
                log::debug!("a caller's connection ended: {error}");
            }
            shared.connections.fetch_sub(1, Ordering::SeqCst);
        };
        executor.spawn(connection).detach();
    }
}

/// Serves a connection; when the VM stops, the connection ends after the answer in progress.
///
/// A connection without a request stays open for a moment, so that a request under way is refused and not cut.
async fn finish_when_stopping<S>(
    shared: &Shared,
    connection: http1::Connection<FuturesIo<Async<TcpStream>>, S>,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = AnswerBody, Error = Infallible>,
{
    let stopping = async {
        shared.wait_for_stopping().await;
        Timer::after(Duration::from_millis(STOP_GRACE_MS)).await;
    };
    futures::pin_mut!(connection, stopping);
    match select(connection, stopping).await {
        Either::Left((result, _)) => result,
        Either::Right(((), mut connection)) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}

async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let received = Instant::now();
    let (responder, head, body) = Responder::new();
    let (parts, incoming) = request.into_parts();
    match read_body(&shared, incoming).await {
        Ok(bytes) => {
            let incoming_request = IncomingRequest::new(parts, bytes.to_vec(), received);
            start_request(Arc::clone(&shared), incoming_request, responder);
        }
        Err(refusal) => responder.refuse(&refusal),
    }
    let head = head
        .recv_async()
        .await
        .unwrap_or_else(|_| ResponseHead::internal_error());
    let mut response = build_response(head, body.into_stream());
    if shared.is_stopping.load(Ordering::SeqCst) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

async fn read_body(shared: &Shared, incoming: Incoming) -> Result<Bytes, Refusal> {
    let limits = &shared.config.limits;
    let body_max_bytes = limits.body_max_bytes;
    let collected = Limited::new(incoming, body_max_bytes).collect().fuse();
    let timeout = FutureExt::fuse(Timer::after(Duration::from_millis(limits.body_timeout_ms)));
    futures::pin_mut!(collected, timeout);
    futures::select! {
        body = collected => match body {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                let message = format!("the body exceeds {body_max_bytes} bytes; send a shorter one");
                Err(Refusal::not_run(Reason::BodyTooLarge, 0, message))
            }
            Err(error) => {
                let message = format!("the body cannot be read: {error}");
                Err(Refusal::not_run(Reason::BadRequest, 0, message))
            }
        },
        _ = timeout => {
            let message = format!("the body did not arrive within {} ms", limits.body_timeout_ms);
            Err(Refusal::not_run(Reason::BadRequest, 0, message))
        }
    }
}

fn start_request(shared: Arc<Shared>, incoming_request: IncomingRequest, responder: Responder) {
    let before = shared.in_progress.fetch_add(1, Ordering::SeqCst);
    if before >= shared.config.limits.requests_max {
        shared.in_progress.fetch_sub(1, Ordering::SeqCst);
        let message = "this VM has no free request threads; use another entry address";
        let refusal = Refusal::not_run(Reason::QueueFull, BUSY_RETRY_AFTER_MS, message);
        responder.refuse(&incoming_request.qualify(refusal));
        return;
    }
    let worker = thread::Builder::new().name("request".to_owned());
    let counted = Arc::clone(&shared);
    let spawned = worker.spawn(move || {
        request::handle(&shared, incoming_request, responder);
        shared.in_progress.fetch_sub(1, Ordering::SeqCst);
    });
    if let Err(error) = spawned {
        // The closure dropped the responder, so the caller receives status 500.
        counted.in_progress.fetch_sub(1, Ordering::SeqCst);
        log::error!("a request thread cannot be started: {error}");
    }
}

fn build_response(head: ResponseHead, body: RecvStream<'static, BodyPart>) -> Response<AnswerBody> {
    let mut response = Response::builder().status(head.status);
    for (name, value) in &head.headers {
        response = response.header(name, value);
    }
    let stream = FrameStream { answers: body };
    match response.body(StreamBody::new(stream)) {
        Ok(response) => response,
        Err(error) => {
            log::error!("an answer has an invalid head: {error}");
            let (_, empty) = flume::bounded(1);
            let stream = FrameStream {
                answers: empty.into_stream(),
            };
            Response::new(StreamBody::new(stream))
        }
    }
}

/// Response body as frames; an aborted body closes the connection, so that the caller cannot take it as complete.
struct FrameStream {
    answers: RecvStream<'static, BodyPart>,
}

impl futures::Stream for FrameStream {
    type Item = Result<Frame<Bytes>, std::io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.answers.poll_next_unpin(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(BodyPart::Chunk(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Poll::Ready(Some(BodyPart::End)) => Poll::Ready(None),
            Poll::Ready(None) => {
                Poll::Ready(Some(Err(std::io::Error::other("the answer was aborted"))))
            }
        }
    }
}
