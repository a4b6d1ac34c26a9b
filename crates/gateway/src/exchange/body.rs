//! Reads the bodies of callers' requests.

use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_core::forwarding::endpoints::UrgencyLevel;

use crate::client::with_timeout;
use crate::gateway::Gateway;
use crate::memory::ENDPOINT_CONNECTION_BYTES;
use crate::memory::MemoryHold;
use crate::memory::REQUEST_BYTES;
use crate::request_body::PieceBuffer;
use crate::request_body::Pieces;

/// Longest time for which the body of a refused request is read, in milliseconds.
const DISCARD_MS: u64 = 3_000;

/// Why a request has no body that can be sent to an endpoint.
pub(super) enum BodyError {
    /// The caller did not send a proper one.
    Refused(Refusal),
    /// There is no memory for it.
    NoMemory {
        /// Bytes that there was no memory for.
        asked_bytes: u64,
        /// What was not read yet.
        unread: Incoming,
    },
}

/// Reads a body, and counts the memory of the request; a stated length counts before its bytes arrive.
///
/// Requests that have begun to send a body would otherwise take the memory from one another, and none of them would be
/// served.
pub(super) async fn read_body(
    incoming: Incoming,
    body_max_bytes: usize,
    limit_ms: u64,
    level: UrgencyLevel,
    memory: &mut MemoryHold,
) -> Result<Pieces, BodyError> {
    let length = incoming.size_hint().exact();
    if length.is_some_and(|length| length > body_max_bytes as u64) {
        return Err(BodyError::Refused(overlong(body_max_bytes)));
    }
    let asked_bytes = REQUEST_BYTES + ENDPOINT_CONNECTION_BYTES + length.unwrap_or(0);
    if !memory.try_grow(level, asked_bytes) {
        return Err(BodyError::NoMemory {
            asked_bytes,
            unread: incoming,
        });
    }
    let reading = collect_body(incoming, body_max_bytes, length, level, memory);
    match with_timeout(limit_ms, reading).await {
        Some(collected) => collected,
        None => {
            let message = format!("the body did not arrive within {limit_ms} ms");
            let refusal = Refusal::not_run(Reason::BadRequest, 0, message);
            Err(BodyError::Refused(refusal))
        }
    }
}

/// Reads a body whose memory is counted if it states a `length`.
async fn collect_body(
    mut incoming: Incoming,
    body_max_bytes: usize,
    length: Option<u64>,
    level: UrgencyLevel,
    memory: &mut MemoryHold,
) -> Result<Pieces, BodyError> {
    // The bytes of a frame are a part of the connection's buffer, which is kept for as long as one of them is, so they
    // are copied.
    let mut body = PieceBuffer::default();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|error| {
            let message = format!("the body cannot be read: {error}");
            BodyError::Refused(Refusal::not_run(Reason::BadRequest, 0, message))
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if body.len() + data.len() > body_max_bytes {
            return Err(BodyError::Refused(overlong(body_max_bytes)));
        }
        if length == Some(data.len() as u64) {
            return Ok(Pieces::from(data));
        }
        let left_bytes = length.map(|length| {
            let length = usize::try_from(length).unwrap_or(body_max_bytes);
            length.saturating_sub(body.len())
        });
        if left_bytes.is_none() {
            let asked_bytes = body.growth(data.len()) as u64;
            if !memory.try_grow(level, asked_bytes) {
                return Err(BodyError::NoMemory {
                    asked_bytes,
                    unread: incoming,
                });
            }
        }
        body.push(&data, left_bytes);
    }
    Ok(body.finish())
}

fn overlong(body_max_bytes: usize) -> Refusal {
    let message = format!("the body exceeds {body_max_bytes} bytes; send a shorter one");
    Refusal::not_run(Reason::BodyTooLarge, 0, message)
}

/// Reads the rest of a refused request's body and drops it.
///
/// Closing a connection with unread bytes resets it, and the caller could lose its refusal.
pub(super) fn discard_body(gateway: &Gateway, mut unread: Incoming) {
    if unread.is_end_stream() {
        return;
    }
    let discarding = async move { while let Some(Ok(_)) = unread.frame().await {} };
    let discarding = with_timeout(DISCARD_MS, discarding);
    let task = gateway.executor.requests().spawn(async move {
        // The connection is closed if the caller takes longer.
        let _ = discarding.await;
    });
    task.detach();
}
