//! Connections to endpoints and to the log service.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_executor::Task;
use async_io::Async;
use async_io::Timer;
use futures::future::Either;
use futures::future::select;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;

use crate::budgeted_stream::BudgetedStream;
use crate::error::Error;
use crate::error::Result;
use crate::request_body::Pieces;
use crate::request_body::RequestBody;
use crate::write_state::WriteState;

/// Time for which sent data may stay unacknowledged before a connection counts as broken, in milliseconds.
const UNACKNOWLEDGED_MAX_MS: u64 = 2_000;

/// Longest idle time of a connection that is used again, in milliseconds.
const IDLE_LIMIT_MS: u64 = 3_000;

/// Margin by which a connection is dropped before its peer's idle timeout, in milliseconds.
const IDLE_MARGIN_MS: u64 = 500;

/// Runs a future for at most `limit_ms`; returns `None` if it takes longer.
pub async fn with_timeout<F: Future>(limit_ms: u64, future: F) -> Option<F::Output> {
    let timer = Timer::after(Duration::from_millis(limit_ms));
    futures::pin_mut!(future, timer);
    match select(future, timer).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

/// An HTTP connection; dropping it closes the socket.
pub struct Connection {
    /// Sends requests, one at a time.
    pub sender: SendRequest<RequestBody>,
    /// Monotonic time at which its last response ended, in milliseconds; 0 before the first one.
    pub idle_since_ms: u64,
    idle_limit_ms: u64,
    writes: Rc<WriteState>,
    driver: Task<()>,
}

impl Connection {
    /// Connects within `timeout_ms`.
    ///
    /// # Errors
    ///
    /// Fails if the peer refuses or does not answer in time. No request was sent then.
    pub async fn open(
        executor: &LocalExecutor<'static>,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Result<Self> {
        let connect = |source| Error::Connect { address, source };
        let stream = with_timeout(timeout_ms, Async::<TcpStream>::connect(address)).await;
        let stream = stream
            .ok_or_else(|| connect(std::io::ErrorKind::TimedOut.into()))?
            .map_err(connect)?;
        set_options(&stream, UNACKNOWLEDGED_MAX_MS);
        let writes = Rc::new(WriteState::default());
        let stream = BudgetedStream::new(stream, Rc::clone(&writes));
        // Otherwise each body would be copied into a buffer that the connection keeps.
        let handshake = http1::Builder::new()
            .writev(true)
            .handshake(FuturesIo::new(stream))
            .await;
        let (sender, connection) =
            handshake.map_err(|error| connect(std::io::Error::other(error)))?;
        let driver = executor.spawn(async move {
            // The sender reports each failure to the request that it concerns.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            idle_since_ms: 0,
            idle_limit_ms: IDLE_LIMIT_MS,
            writes,
            driver,
        })
    }

    /// Adapts the idle limit to the peer's keep-alive timeout.
    pub fn set_idle_limit(&mut self, keep_alive_s: u64) {
        let limit_ms = (keep_alive_s * 1_000).saturating_sub(IDLE_MARGIN_MS);
        self.idle_limit_ms = limit_ms.min(IDLE_LIMIT_MS);
    }

    /// Returns how long the connection may stay idle before its next use, in milliseconds.
    pub fn idle_limit_ms(&self) -> u64 {
        self.idle_limit_ms
    }

    /// Returns the body of the next request.
    pub(crate) fn request_body(&self, pieces: Pieces) -> RequestBody {
        RequestBody::new(pieces, Rc::clone(&self.writes))
    }

    /// Returns what has been written of the requests.
    pub(crate) fn writes(&self) -> &Rc<WriteState> {
        &self.writes
    }

    /// Returns whether the connection carried a response before.
    pub fn is_reused(&self) -> bool {
        self.idle_since_ms > 0
    }

    /// Returns whether the connection can take a request.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.driver.is_finished()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.driver.is_finished()
    }
}

/// Disables Nagle's algorithm, and sets the time after which unacknowledged data breaks the connection.
pub(crate) fn set_options(stream: &Async<TcpStream>, unacknowledged_max_ms: u64) {
    let socket = SockRef::from(stream.get_ref());
    // Both only improve latency and detection; a connection without them works.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(Duration::from_millis(unacknowledged_max_ms)));
}

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// An HTTP client for one address that reuses one connection.
pub struct Client {
    executor: &'static LocalExecutor<'static>,
    address: SocketAddr,
    connection: Option<Connection>,
}

/// Time for a connection to be made, in milliseconds.
const CONNECT_MS: u64 = 1_000;

/// Longest response to a call, in bytes.
const REPLY_MAX_BYTES: usize = 4_194_304;

impl Client {
    /// Creates a client; it connects with its first call.
    pub fn new(executor: &'static LocalExecutor<'static>, address: SocketAddr) -> Self {
        Self {
            executor,
            address,
            connection: None,
        }
    }

    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    ///
    /// Fails if there is no complete answer within `timeout_ms`; the call may have taken effect all the same. The
    /// connection is closed then, since a later answer on it could belong to this call.
    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<Reply> {
        let reply = with_timeout(timeout_ms, self.exchange(method, path, body)).await;
        let reply = reply.unwrap_or_else(|| Err(self.call_error("no answer in time")));
        if reply.is_err() {
            self.connection = None;
        }
        reply
    }

    async fn exchange(&mut self, method: &str, path: &str, body: Vec<u8>) -> Result<Reply> {
        let usable = self.connection.take().filter(Connection::is_ready);
        let mut connection = match usable {
            Some(connection) => connection,
            None => Connection::open(self.executor, self.address, CONNECT_MS).await?,
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .body(connection.request_body(Bytes::from(body).into()))
            .map_err(|error| self.call_error(error))?;
        let response = connection.sender.send_request(request).await;
        let (head, body) = response
            .map_err(|error| self.call_error(error))?
            .into_parts();
        let body = Limited::new(body, REPLY_MAX_BYTES).collect().await;
        let body = body.map_err(|error| self.call_error(error))?.to_bytes();
        self.connection = Some(connection);
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    fn call_error(&self, message: impl ToString) -> Error {
        Error::Call {
            address: self.address,
            message: message.to_string(),
        }
    }
}
