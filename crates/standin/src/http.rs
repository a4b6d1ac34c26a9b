//! HTTP server that all stand-ins share: one executor thread for connections and one thread per call.

use std::fmt;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::thread;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_executor::Task;
use async_io::Async;
use async_io::Timer;
use flume::Sender;
use flume::r#async::RecvStream;
use futures::FutureExt;
use futures::StreamExt;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;

use crate::fault::CommonFaults;
use crate::fault::FaultCell;
use crate::fault::Outage;

/// Interval at which the end of a fault is polled, in milliseconds.
const POLL_MS: u64 = 10;

/// Body chunks of an answer that may be buffered.
const BUFFERED_CHUNKS_MAX: usize = 64;

/// Exit code after `crash_text` matched a request body.
const CRASH_EXIT_CODE: i32 = 134;

/// Addresses that a stand-in listens on; displayed as the service address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenAddresses {
    /// Service address.
    pub address: SocketAddr,
    /// Address that accepts `PUT /faults` even during an outage of the service address.
    pub control: SocketAddr,
}

impl fmt::Display for ListenAddresses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.address.fmt(f)
    }
}

/// Faults of a stand-in.
pub(crate) trait Faults:
    AsRef<CommonFaults> + Clone + Default + Serialize + DeserializeOwned + Send + 'static
{
}

impl<F> Faults for F where
    F: AsRef<CommonFaults> + Clone + Default + Serialize + DeserializeOwned + Send + 'static
{
}

/// Starts a server that applies the common faults to each call before `handle`.
pub(crate) fn serve<F: Faults>(
    address: &str,
    faults: Arc<FaultCell<F>>,
    handle: impl Fn(Call) + Send + Sync + 'static,
) -> std::io::Result<ListenAddresses> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let control = start_control(Arc::clone(&faults))?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        let executor = LocalExecutor::new();
        let service = {
            let faults = Arc::clone(&faults);
            move |call: Call| {
                let faults = Arc::clone(&faults);
                let handle = Arc::clone(&handle);
                thread::spawn(move || dispatch(&faults, &*handle, call));
            }
        };
        async_io::block_on(executor.run(accept(&executor, listener, &faults, service)));
    });
    Ok(ListenAddresses { address, control })
}

/// Starts a server on a free port that only reads and sets faults.
pub(crate) fn start_control<F>(faults: Arc<FaultCell<F>>) -> std::io::Result<SocketAddr>
where
    F: Clone + Default + Serialize + DeserializeOwned + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let control = listener.local_addr()?;
    let listener = Async::new(listener)?;
    thread::spawn(move || {
        let executor = LocalExecutor::new();
        let accept_all = async {
            while let Ok((stream, _)) = listener.accept().await {
                let faults = Arc::clone(&faults);
                let service = move |call: Call| {
                    if let Some(call) = handle_faults(&faults, call) {
                        call.answer(404, &"unknown path");
                    }
                };
                executor.spawn(connect(stream, service)).detach();
            }
        };
        async_io::block_on(executor.run(accept_all));
    });
    Ok(control)
}

async fn accept<F: Faults>(
    executor: &LocalExecutor<'_>,
    listener: TcpListener,
    faults: &FaultCell<F>,
    service: impl Fn(Call) + Clone + 'static,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = Async::new(listener).ok();
    let mut connections = Vec::new();
    loop {
        if faults.get().as_ref().outage == Some(Outage::Refuse) {
            // The kernel refuses connections only while no listener is open.
            listener = None;
            connections.clear();
            Timer::after(Duration::from_millis(POLL_MS)).await;
            continue;
        }
        let Some(bound) = &listener else {
            listener = Async::<TcpListener>::bind(address).ok();
            Timer::after(Duration::from_millis(POLL_MS)).await;
            continue;
        };
        let accepted = futures::select! {
            accepted = bound.accept().fuse() => accepted,
            _ = faults.changes().recv_async() => continue,
        };
        connections.retain(|connection: &Task<()>| !connection.is_finished());
        if let Ok((stream, _)) = accepted {
            connections.push(executor.spawn(connect(stream, service.clone())));
        }
    }
}

async fn connect(stream: Async<TcpStream>, service: impl Fn(Call) + Clone) {
    // With Nagle's algorithm, a token would wait for the acknowledgement of the previous one.
    let _ = stream.get_ref().set_nodelay(true);
    let service = service_fn(move |request| {
        let service = service.clone();
        async move { answer_request(request, service).await }
    });
    let served = http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
    // Errors are ignored: clients may disconnect at any time.
    let _ = served.await;
}

async fn answer_request(
    request: Request<Incoming>,
    service: impl Fn(Call),
) -> std::io::Result<Response<StreamBody<ChunkStream>>> {
    let (parts, incoming) = request.into_parts();
    let body = incoming.collect().await.map_err(std::io::Error::other)?;
    let (head_sender, head) = flume::bounded(1);
    let (chunk_sender, chunks) = flume::bounded(BUFFERED_CHUNKS_MAX);
    service(Call {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or("").to_owned(),
        headers: parts.headers,
        body: body.to_bytes(),
        head: head_sender,
        chunks: chunk_sender,
    });
    // An error here closes the connection without an answer.
    let head: Head = head.recv_async().await.map_err(std::io::Error::other)?;
    let mut response = Response::builder()
        .status(head.status)
        .header("Content-Type", head.content_type);
    if let Some(seconds) = head.retry_after_s {
        response = response.header("Retry-After", seconds);
    }
    response
        .body(StreamBody::new(ChunkStream(chunks.into_stream())))
        .map_err(std::io::Error::other)
}

fn dispatch<F: Faults>(faults: &FaultCell<F>, handle: &dyn Fn(Call), call: Call) {
    let Some(call) = handle_faults(faults, call) else {
        return;
    };
    let current_faults = faults.get();
    let common = current_faults.as_ref();
    if common.outage.is_some() {
        return call.answer(503, &"out of order");
    }
    if let Some(text) = &common.crash_text
        && String::from_utf8_lossy(&call.body).contains(text)
    {
        eprintln!("crashed by a body that contains {text:?}");
        std::process::exit(CRASH_EXIT_CODE);
    }
    thread::sleep(Duration::from_millis(common.delay_ms));
    if common.silent {
        while faults.get().as_ref().silent {
            thread::sleep(Duration::from_millis(POLL_MS));
        }
        return;
    }
    handle(call);
}

/// Answers a call to `/faults`, or returns any other call.
fn handle_faults<F>(faults: &FaultCell<F>, call: Call) -> Option<Call>
where
    F: Clone + Default + Serialize + DeserializeOwned,
{
    if call.path != "/faults" {
        return Some(call);
    }
    if call.method != Method::PUT {
        call.answer(200, &faults.get());
        return None;
    }
    match serde_json::from_slice(&call.body) {
        Ok(new) => {
            faults.set(new);
            call.answer(200, &faults.get());
        }
        Err(error) => call.answer(400, &format!("the faults do not decode: {error}")),
    }
    None
}

struct Head {
    status: u16,
    content_type: &'static str,
    retry_after_s: Option<u64>,
}

enum Chunk {
    Bytes(Bytes),
    End,
}

/// One call; dropping it without an answer closes the connection.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    query: String,
    head: Sender<Head>,
    chunks: Sender<Chunk>,
}

impl Call {
    /// Returns a query parameter that is a number.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        for part in self.query.split('&') {
            if let Some((key, value)) = part.split_once('=')
                && key == name
            {
                return value.parse().ok();
            }
        }
        None
    }

    /// Returns a header as text.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        Some(self.headers.get(name)?.to_str().ok()?.to_owned())
    }

    /// Decodes the body.
    pub(crate) fn decode_body<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| error.to_string())
    }

    /// Returns whether the client has closed the connection.
    pub(crate) fn is_client_gone(&self) -> bool {
        self.chunks.is_disconnected()
    }

    /// Answers with a JSON body.
    pub(crate) fn answer<T: Serialize + ?Sized>(self, status: u16, body: &T) {
        self.answer_with(status, None, body);
    }

    /// Answers with a JSON body and a `Retry-After` header.
    pub(crate) fn answer_with_retry_after<T: Serialize + ?Sized>(
        self,
        status: u16,
        wait_s: u64,
        body: &T,
    ) {
        self.answer_with(status, Some(wait_s), body);
    }

    fn answer_with<T: Serialize + ?Sized>(self, status: u16, retry_after_s: Option<u64>, body: &T) {
        let text = serde_json::to_string(body).unwrap_or_default();
        let head = Head {
            status,
            content_type: "application/json",
            retry_after_s,
        };
        // Sending fails only if the client has disconnected, which needs no handling.
        let _ = self.head.send(head);
        let _ = self.chunks.send(Chunk::Bytes(text.into()));
        let _ = self.chunks.send(Chunk::End);
    }

    /// Sends the head of a stream of server-sent events.
    pub(crate) fn begin_stream(&self) {
        let _ = self.head.send(Head {
            status: 200,
            content_type: "text/event-stream",
            retry_after_s: None,
        });
    }

    /// Sends one server-sent event; fails when the client is gone.
    pub(crate) fn event(&self, data: &str) -> Result<(), ClientGone> {
        let event = format!("data: {data}\n\n");
        let sent = self.chunks.send(Chunk::Bytes(event.into()));
        sent.map_err(|_| ClientGone)
    }

    /// Completes a stream.
    pub(crate) fn end_stream(self) {
        let _ = self.chunks.send(Chunk::End);
    }
}

/// The client has closed the connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientGone;

/// Body of an answer; if its sender is dropped before [`Chunk::End`], the connection breaks.
struct ChunkStream(RecvStream<'static, Chunk>);

impl futures::Stream for ChunkStream {
    type Item = std::io::Result<Frame<Bytes>>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_next_unpin(context).map(|chunk| match chunk {
            Some(Chunk::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Chunk::End) => None,
            None => Some(Err(std::io::Error::other("the answer was cut"))),
        })
    }
}
