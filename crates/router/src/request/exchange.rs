//! A request as it came from the caller.

use std::time::Instant;

use hyper::Method;
use hyper::http::request::Parts;
use waxwing_core::ExecutionStatus;
use waxwing_core::Reason;
use waxwing_core::Refusal;
use waxwing_wire::caller::IDEMPOTENCY_KEY_HEADER;

/// A request with its whole body.
#[derive(Debug)]
pub struct Exchange {
    parts: Parts,
    body: Vec<u8>,
    received: Instant,
}

impl Exchange {
    /// Creates an exchange from a request that was received at `received`.
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

    /// Returns the refusal as it holds for a request that may be a repeat.
    ///
    /// This VM has not looked at the claims yet, so it cannot tell whether a key has run before.
    pub fn qualify(&self, refusal: Refusal) -> Refusal {
        let is_passing = refusal.retry_after_ms > 0 || refusal.reason == Reason::DeadlinePassed;
        if !is_passing || self.header(IDEMPOTENCY_KEY_HEADER).is_none() {
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
