//! One call to an endpoint, read on a thread of its own.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::thread;

use attohttpc::ErrorKind;
use attohttpc::header::HeaderName;
use flume::Receiver;
use flume::Sender;
use waxwing_wire::chat::DONE;

use crate::transport::log_client::new_session;

/// Events that may wait for the request thread.
const EVENTS_MAX: usize = 256;

/// Most bytes of an answer to a plain call.
const ANSWER_MAX_BYTES: u64 = 16 * 1_024 * 1_024;

/// A call to an endpoint.
#[derive(Clone, Debug)]
pub struct Call {
    /// Full URL.
    pub url: String,
    /// Headers beyond the content type.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Silence after which the call counts as lost, in milliseconds.
    pub silence_ms: u64,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
}

/// What an attempt reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
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
    /// The stream ended as it should.
    End,
    /// The endpoint was never reached; it certainly ran nothing.
    NotSent(String),
    /// The endpoint answered with an error status.
    Status {
        /// HTTP status code.
        status: u16,
        /// Beginning of the body.
        body: String,
    },
    /// The connection broke or went silent after the call may have been sent.
    Lost(String),
}

/// Starts a call; dropping the receiver cancels it with the next event.
pub fn start(call: Call) -> Receiver<Event> {
    let (events, receiver) = flume::bounded(EVENTS_MAX);
    thread::spawn(move || {
        let last = run(&call, &events);
        // The request thread may have given up on the attempt.
        let _ = events.send(last);
    });
    receiver
}

fn run(call: &Call, events: &Sender<Event>) -> Event {
    let session = new_session(call.silence_ms);
    let mut request = session
        .post(&call.url)
        .header("Content-Type", "application/json");
    for (name, value) in &call.headers {
        let name = match HeaderName::try_from(name.as_str()) {
            Ok(name) => name,
            Err(error) => return Event::NotSent(error.to_string()),
        };
        request = match request.try_header(name, value) {
            Ok(request) => request,
            Err(error) => return Event::NotSent(error.to_string()),
        };
    }
    let response = match request.bytes(&call.body).send() {
        Ok(response) => response,
        Err(error) => return classify_failure(&error),
    };
    let status = response.status().as_u16();
    if call.is_stream && !response.is_success() {
        let body = response.text_utf8().unwrap_or_default();
        return Event::Status { status, body };
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
        Ok(_) => Event::Answer {
            status,
            content_type,
            body,
        },
        Err(error) => Event::Lost(error.to_string()),
    }
}

/// Tells a call that was certainly not sent from one that may have been.
fn classify_failure(error: &attohttpc::Error) -> Event {
    let is_refused = match error.kind() {
        // Only a refused connection proves that no byte of the call has left.
        ErrorKind::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if is_refused {
        Event::NotSent(error.to_string())
    } else {
        Event::Lost(error.to_string())
    }
}

fn read_events(reader: impl Read, events: &Sender<Event>) -> Event {
    let mut lines = BufReader::new(reader);
    let mut line = String::new();
    loop {
        line.clear();
        match lines.read_line(&mut line) {
            Ok(0) => return Event::Lost("the stream ended early".to_owned()),
            Ok(_) => {}
            Err(error) => return Event::Lost(error.to_string()),
        }
        let Some(data) = line.trim_end().strip_prefix("data:") else {
            continue;
        };
        let data = data.trim_start();
        if data == DONE {
            return Event::End;
        }
        if events.send(Event::Data(data.to_owned())).is_err() {
            return Event::Lost("the attempt was cancelled".to_owned());
        }
    }
}
