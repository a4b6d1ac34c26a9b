//! Accepts connections and serves requests on them.

use std::cell::Cell;
use std::cell::OnceCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use futures::future::Either;
use futures::future::select;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::body::Body;
use crate::budgeted_stream::BudgetedStream;
use crate::client::set_options;
use crate::clock::Clock;
use crate::error::Error;
use crate::error::Result;
use crate::latch::Latch;
use crate::memory::CALLER_CONNECTION_BYTES;
use crate::memory::Memory;

/// Pause after a failed accept, for example when no descriptor is free, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Time for which sent data may stay unacknowledged before a caller's connection is closed, in milliseconds.
const UNACKNOWLEDGED_MAX_MS: u64 = 10_000;

/// Least size to which the library lets a connection's read buffer grow, in bytes.
const BUFFER_MIN_BYTES: usize = 8_192;

/// Part of a read buffer that the longest allowed head leaves free, in bytes.
const HEAD_MARGIN_BYTES: usize = 1_024;

/// Bounds on the connections of one listener.
#[derive(Clone)]
pub struct Limits {
    /// Connections open at once; further ones are closed at once.
    pub connections_max: usize,
    /// Longest request head, in bytes; a connection keeps the limit that it began with.
    pub head_max_bytes: Rc<Cell<usize>>,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_ms: Rc<Cell<u64>>,
    /// Memory that counts the connections.
    pub(crate) memory: Rc<Memory>,
}

/// Lets a listener end gracefully: idle connections are closed at once, the others after the response in progress.
#[derive(Debug, Default)]
pub struct Drain {
    closing: Latch,
    /// Open connections that a request has arrived on.
    used: Cell<u32>,
}

impl Drain {
    /// Ends the listener and its connections; without this call they last as long as the process.
    pub(crate) fn close(&self) {
        self.closing.open();
    }

    /// Returns the number of open connections that a request has arrived on.
    pub(crate) fn used_count(&self) -> u32 {
        self.used.get()
    }
}

/// Marks a connection as used until it is dropped.
struct UsedConnection(Rc<Drain>);

impl UsedConnection {
    fn new(drain: &Rc<Drain>) -> Self {
        drain.used.set(drain.used.get() + 1);
        Self(Rc::clone(drain))
    }
}

impl Drop for UsedConnection {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
    }
}

/// Binds a listening socket.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen(duty: &'static str, address: SocketAddr) -> Result<Async<TcpListener>> {
    let bind = || {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Async::new(TcpListener::from(socket))
    };
    bind().map_err(|source| Error::Listen {
        duty,
        address,
        source,
    })
}

/// Accepts connections until `drain` is closed.
pub async fn accept<H, F>(
    executor: &'static LocalExecutor<'static>,
    listener: Async<TcpListener>,
    limits: Limits,
    drain: Rc<Drain>,
    handler: Rc<H>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let open = Rc::new(Cell::new(0));
    let mut closing = drain.closing.wait();
    loop {
        let accepted = {
            let accepting = listener.accept();
            futures::pin_mut!(accepting);
            match select(accepting, &mut closing).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => return,
            }
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept_failed"; "a connection cannot be accepted: {error}");
                Timer::after(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                continue;
            }
        };
        if open.get() >= limits.connections_max {
            metrics::counter!(crate::metric::CONNECTIONS_REFUSED).increment(1);
            continue;
        }
        open.set(open.get() + 1);
        let open = Rc::clone(&open);
        let handler = Rc::clone(&handler);
        let limits = limits.clone();
        let drain = Rc::clone(&drain);
        let memory = limits.memory.hold(CALLER_CONNECTION_BYTES);
        let connection = async move {
            let _memory = memory;
            serve(stream, limits, drain, handler).await;
            open.set(open.get() - 1);
        };
        executor.spawn(connection).detach();
    }
}

/// Serves one connection; closes it after a time without requests, or when `drain` is closed.
async fn serve<H, F>(stream: Async<TcpStream>, limits: Limits, drain: Rc<Drain>, handler: Rc<H>)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    set_options(&stream, UNACKNOWLEDGED_MAX_MS);
    let clock = Clock::new();
    let in_progress = Rc::new(Cell::new(0_u32));
    let used_at_ms = Rc::new(Cell::new(clock.now_ms()));
    let used = OnceCell::new();
    let service = service_fn(|request| {
        used.get_or_init(|| UsedConnection::new(&drain));
        in_progress.set(in_progress.get() + 1);
        // In a box, since the connection keeps the space of the future for as long as it is open.
        let answer = Box::pin(handler(request));
        let in_progress = Rc::clone(&in_progress);
        let used_at_ms = Rc::clone(&used_at_ms);
        async move {
            let response = answer.await;
            in_progress.set(in_progress.get() - 1);
            used_at_ms.set(clock.now_ms());
            Ok::<_, Infallible>(response)
        }
    });
    // A long body could otherwise make the buffer as large as the longest head that the library allows.
    let buffer_max_bytes = limits.head_max_bytes.get().max(BUFFER_MIN_BYTES) + HEAD_MARGIN_BYTES;
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .writev(true)
        .max_buf_size(buffer_max_bytes)
        .serve_connection(
            FuturesIo::new(BudgetedStream::new(stream, Rc::default())),
            service,
        );
    futures::pin_mut!(connection);
    let mut closing = drain.closing.wait();
    loop {
        let idle_ms = limits.idle_ms.get();
        let timer = Timer::after(Duration::from_millis(idle_ms));
        let woken = select(timer, &mut closing);
        match select(connection.as_mut(), woken).await {
            Either::Left((result, _)) => {
                if let Err(error) = result {
                    log::debug!(event = "caller_connection_ended"; "{error}");
                }
                return;
            }
            Either::Right((Either::Right(_), _)) => break,
            Either::Right((Either::Left(_), _)) => {
                let is_idle = clock.now_ms() - used_at_ms.get() >= idle_ms;
                if in_progress.get() == 0 && is_idle {
                    // A response that is still being sent is finished first.
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
    if used.get().is_none() {
        // No request has been read, so none is owed an answer.
        return;
    }
    connection.as_mut().graceful_shutdown();
    if let Err(error) = connection.await {
        log::debug!(event = "caller_connection_ended"; "{error}");
    }
}
