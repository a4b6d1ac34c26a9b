//! One HTTP call to an endpoint, made on its own thread.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::thread;

use attohttpc::ErrorKind;
use attohttpc::header::HeaderName;
use flume::Receiver;
use flume::Sender;
use waxwing_core::status::is_final;
use waxwing_wire::chat::DONE;

use crate::transport::log_client::new_session;

/// Capacity of the channel to the request thread, in events.
const EVENTS_MAX: usize = 256;

/// Most bytes read of an answer to a plain call.
const ANSWER_MAX_BYTES: u64 = 16 * 1_024 * 1_024;

/// A call to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointCall {
    /// Full URL.
    pub url: String,
    /// Headers beyond the content type.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Read timeout after which the call counts as lost, in milliseconds.
    pub silence_ms: u64,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
}

/// An event of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEvent {
    /// Data of one server-sent event.
    Data(String),
    /// The whole answer to a plain call.
    Answer {
        /// HTTP status code.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body.
        body: Vec<u8>,
    },
    /// The stream ended with its end marker.
    End,
    /// The endpoint was not reached, so it certainly ran nothing.
    NotSent(String),
    /// The endpoint answered with an error status.
    Status {
        /// HTTP status code.
        status: u16,
        /// Beginning of the body.
        body: String,
    },
    /// The connection broke or timed out after the call may have been sent.
    Lost(String),
}

/// Starts a call; dropping the receiver cancels the call at its next event.
pub fn start(call: EndpointCall) -> Receiver<CallEvent> {
    let (events, receiver) = flume::bounded(EVENTS_MAX);
    thread::spawn(move || {
        let last = run(&call, &events);
        // The request thread may have dropped the receiver.
        let _ = events.send(last);
    });
    receiver
}

fn run(call: &EndpointCall, events: &Sender<CallEvent>) -> CallEvent {
    let session = new_session(call.silence_ms);
    let mut request = session
        .post(&call.url)
        .header("Content-Type", "application/json");
    for (name, value) in &call.headers {
        let name = match HeaderName::try_from(name.as_str()) {
            Ok(name) => name,
            Err(error) => return CallEvent::NotSent(error.to_string()),
        };
        request = match request.try_header(name, value) {
            Ok(request) => request,
            Err(error) => return CallEvent::NotSent(error.to_string()),
        };
    }
    let response = match request.bytes(&call.body).send() {
        Ok(response) => response,
        Err(error) => return classify_failure(&error),
    };
    let status = response.status().as_u16();
    if !is_final(status) {
        return CallEvent::Lost(format!("status {status} ends no call"));
    }
    if call.is_stream && !response.is_success() {
        let body = response.text_utf8().unwrap_or_default();
        return CallEvent::Status { status, body };
    }
    if call.is_stream {
        let (_, _, reader) = response.split();
        return read_events(reader, events);
    }
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    let content_type = content_type
        .unwrap_or("application/octet-stream")
        .to_owned();
    let (_, _, reader) = response.split();
    let mut body = Vec::new();
    match reader.take(ANSWER_MAX_BYTES).read_to_end(&mut body) {
        Ok(_) => CallEvent::Answer {
            status,
            content_type,
            body,
        },
        Err(error) => CallEvent::Lost(error.to_string()),
    }
}

/// Distinguishes a call that was certainly not sent from one that may have been.
fn classify_failure(error: &attohttpc::Error) -> CallEvent {
    let is_refused = match error.kind() {
        // Only a refused connection proves that no byte of the call was sent.
        ErrorKind::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if is_refused {
        CallEvent::NotSent(error.to_string())
    } else {
        CallEvent::Lost(error.to_string())
    }
}

fn read_events(reader: impl Read, events: &Sender<CallEvent>) -> CallEvent {
    let mut lines = BufReader::new(reader);
    let mut line = String::new();
    loop {
        line.clear();
        match lines.read_line(&mut line) {
            Ok(0) => return CallEvent::Lost("the stream ended early".to_owned()),
            Ok(_) => {}
            Err(error) => return CallEvent::Lost(error.to_string()),
        }
        let Some(data) = line.trim_end().strip_prefix("data:") else {
            continue;
        };
        let data = data.trim_start();
        if data == DONE {
            return CallEvent::End;
        }
        if events.send(CallEvent::Data(data.to_owned())).is_err() {
            return CallEvent::Lost("the attempt was cancelled".to_owned());
        }
    }
}
