//! A request as received from the caller.

use std::time::Instant;

use hyper::Method;
use hyper::http::request::Parts;
use waxwing_core::ExecutionStatus;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_wire::caller::IDEMPOTENCY_KEY_HEADER;

/// A received request with its complete body.
#[derive(Debug)]
pub struct IncomingRequest {
    parts: Parts,
    body: Vec<u8>,
    received: Instant,
}

impl IncomingRequest {
    /// Creates a request that was received at `received`.
    pub fn new(parts: Parts, body: Vec<u8>, received: Instant) -> Self {
        Self {
            parts,
            body,
            received,
        }
    }

    /// Returns the method.
    pub fn method(&self) -> &Method {
        &self.parts.method
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.parts.uri.path()
    }

    /// Returns the query as received.
    pub fn query_text(&self) -> Option<&str> {
        self.parts.uri.query()
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.query_text()?;
        for pair in query.split('&') {
            if let Some((key, value)) = pair.split_once('=')
                && key == name
            {
                return Some(value.to_owned());
            }
        }
        None
    }

    /// Returns a header as text; a value that is not ASCII counts as absent.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.parts.headers.get(name)?.to_str().ok()
    }

    /// Adjusts a refusal made before the claim check: a request with an idempotency key may be a repeat.
    ///
    /// The VM cannot tell at this point whether the key has run before, so a temporary refusal reports the run as
    /// unknown.
    pub fn qualify(&self, refusal: Refusal) -> Refusal {
        let is_temporary = refusal.retry_after_ms > 0 || refusal.reason == Reason::DeadlinePassed;
        if !is_temporary || self.header(IDEMPOTENCY_KEY_HEADER).is_none() {
            return refusal;
        }
        Refusal {
            run: ExecutionStatus::Unknown,
            ..refusal
        }
    }

    /// Returns the body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Returns when the request was received.
    pub fn received(&self) -> Instant {
        self.received
    }
}
