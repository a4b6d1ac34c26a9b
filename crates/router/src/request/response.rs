//! Channel that carries a response from a request thread to the caller's connection.

use flume::Receiver;
use flume::Sender;
use hyper::body::Bytes;
use serde::Serialize;
use waxwing_core::Refusal;
use waxwing_wire::caller::ErrorBody;
use waxwing_wire::caller::REQUEST_ID_HEADER;

/// Capacity of the channel for the body, in chunks.
const CHUNKS_MAX: usize = 64;

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
}

impl ResponseHead {
    /// Creates the head for a request whose thread ended without a response.
    pub fn internal_error() -> Self {
        Self {
            status: 500,
            headers: Vec::new(),
        }
    }
}

/// A chunk of a response body, or its regular end.
#[derive(Clone, Debug)]
pub enum BodyPart {
    /// The next bytes.
    Chunk(Bytes),
    /// The body is complete.
    End,
}

/// The caller has closed the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Sends one response.
#[derive(Debug)]
pub struct Responder {
    head: Sender<ResponseHead>,
    body: Sender<BodyPart>,
    request_id: String,
}

impl Responder {
    /// Creates a responder and the receivers of its head and body.
    pub fn new() -> (Self, Receiver<ResponseHead>, Receiver<BodyPart>) {
        let (head, head_receiver) = flume::bounded(1);
        let (body, body_receiver) = flume::bounded(CHUNKS_MAX);
        let responder = Self {
            head,
            body,
            request_id: String::new(),
        };
        (responder, head_receiver, body_receiver)
    }

    /// Sets the request id that the response carries.
    pub fn set_request_id(&mut self, request_id: &str) {
        self.request_id = request_id.to_owned();
    }

    /// Returns whether the caller has closed the connection.
    pub fn is_caller_gone(&self) -> bool {
        self.body.is_disconnected()
    }

    /// Sends the head of a response whose body follows in chunks.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub fn send_head(
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

    /// Sends the next chunk of the body.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub fn send_chunk(&self, bytes: impl Into<Bytes>) -> Result<(), CallerGone> {
        self.body
            .send(BodyPart::Chunk(bytes.into()))
            .map_err(|_| CallerGone)
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub fn finish(&self) -> Result<(), CallerGone> {
        self.body.send(BodyPart::End).map_err(|_| CallerGone)
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub fn send_response(
        &self,
        status: u16,
        content_type: &str,
        body: Vec<u8>,
    ) -> Result<(), CallerGone> {
        self.send_head(status, content_type, &[])?;
        self.send_chunk(body)?;
        self.finish()
    }

    /// Sends a complete JSON response; does nothing if the caller is gone.
    pub fn send_json<T: Serialize>(&self, status: u16, body: &T) {
        let bytes = serde_json::to_vec(body).unwrap_or_default();
        let _ = self.send_response(status, "application/json", bytes);
    }

    /// Sends a refusal as the whole response; does nothing if the caller is gone.
    pub fn refuse(&self, refusal: &Refusal) {
        let body = serde_json::to_vec(&ErrorBody::from(refusal)).unwrap_or_default();
        let retry_after_s = refusal.retry_after_ms.div_ceil(1_000);
        let extra = [("retry-after", retry_after_s.to_string())];
        let _ = self
            .send_head(refusal.status_code(), "application/json", &extra)
            .and_then(|()| self.send_chunk(body))
            .and_then(|()| self.finish());
    }

    /// Ends a started stream with a refusal; does nothing if the caller is gone.
    pub fn refuse_in_stream(&self, refusal: &Refusal) {
        let body = serde_json::to_string(&ErrorBody::from(refusal)).unwrap_or_default();
        let _ = self
            .send_chunk(format!("event: error\ndata: {body}\n\n"))
            .and_then(|()| self.finish());
    }
}
