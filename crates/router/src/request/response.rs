//! The channel from a request thread to its caller's connection.

use flume::Receiver;
use flume::Sender;
use hyper::body::Bytes;
use serde::Serialize;
use waxwing_core::Refusal;
use waxwing_wire::caller::ErrorBody;
use waxwing_wire::caller::REQUEST_ID_HEADER;

/// Pieces that may wait for the caller's connection.
const PIECES_MAX: usize = 64;

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
}

impl ResponseHead {
    /// Returns the head for a request whose thread ended without an answer.
    pub fn internal_error() -> Self {
        Self {
            status: 500,
            headers: Vec::new(),
        }
    }
}

/// A piece of a body, or its regular end.
#[derive(Clone, Debug)]
pub enum BodyPart {
    /// The next bytes.
    Chunk(Bytes),
    /// The body is whole.
    End,
}

/// The caller has closed the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Sends one answer.
#[derive(Debug)]
pub struct Responder {
    head: Sender<ResponseHead>,
    body: Sender<BodyPart>,
    request_id: String,
}

impl Responder {
    /// Creates the sender of an answer and the receivers of its head and body.
    pub fn new() -> (Self, Receiver<ResponseHead>, Receiver<BodyPart>) {
        let (head, head_receiver) = flume::bounded(1);
        let (body, body_receiver) = flume::bounded(PIECES_MAX);
        let responder = Self {
            head,
            body,
            request_id: String::new(),
        };
        (responder, head_receiver, body_receiver)
    }

    /// Sets the id that the answer carries.
    pub fn set_request_id(&mut self, request_id: &str) {
        self.request_id = request_id.to_owned();
    }

    /// Returns whether the caller has closed the connection.
    pub fn is_caller_gone(&self) -> bool {
        self.body.is_disconnected()
    }

    /// Sends the head of an answer whose body follows in pieces.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub fn begin(
        &self,
        status: u16,
        content_type: &str,
        extra: &[(&str, String)],
    ) -> Result<(), CallerGone> {
        let mut headers = vec![("content-type".to_owned(), content_type.to_owned())];
        if !self.request_id.is_empty() {
            headers.push((REQUEST_ID_HEADER.to_owned(), self.request_id.clone()));
        }
        for (name, value) in extra {
            headers.push(((*name).to_owned(), value.clone()));
        }
        self.head
            .send(ResponseHead { status, headers })
            .map_err(|_| CallerGone)
    }

    /// Sends the next piece of the body.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub fn piece(&self, bytes: impl Into<Bytes>) -> Result<(), CallerGone> {
        self.body
            .send(BodyPart::Chunk(bytes.into()))
            .map_err(|_| CallerGone)
    }

    /// Ends the body as whole.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub fn end(&self) -> Result<(), CallerGone> {
        self.body.send(BodyPart::End).map_err(|_| CallerGone)
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub fn whole(&self, status: u16, content_type: &str, body: Vec<u8>) -> Result<(), CallerGone> {
        self.begin(status, content_type, &[])?;
        self.piece(body)?;
        self.end()
    }

    /// Sends a whole JSON answer to a caller that may be gone.
    pub fn json<T: Serialize>(&self, status: u16, body: &T) {
        let bytes = serde_json::to_vec(body).unwrap_or_default();
        let _ = self.whole(status, "application/json", bytes);
    }

    /// Sends a refusal before any part of an answer, to a caller that may be gone.
    pub fn refuse(&self, refusal: &Refusal) {
        let body = serde_json::to_vec(&ErrorBody::from(refusal)).unwrap_or_default();
        let retry_after_s = refusal.retry_after_ms.div_ceil(1_000);
        let extra = [("retry-after", retry_after_s.to_string())];
        let _ = self
            .begin(refusal.reason.status_code(), "application/json", &extra)
            .and_then(|()| self.piece(body))
            .and_then(|()| self.end());
    }

    /// Sends a refusal within a stream that has begun, to a caller that may be gone.
    pub fn refuse_in_stream(&self, refusal: &Refusal) {
        let body = serde_json::to_string(&ErrorBody::from(refusal)).unwrap_or_default();
        let _ = self
            .piece(format!("event: error\ndata: {body}\n\n"))
            .and_then(|()| self.end());
    }
}
