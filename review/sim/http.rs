//! HTTP/1.1, as far as the stand-ins need it.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Head and body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).ok()
}

/// Reads the head; `None` if the connection ended.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message {
        start: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads an answer with a length; `None` if the connection ended.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    read_request(reader)
}

/// Reads a request with its body; `None` if the connection ended.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
        return Some(message);
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads a chunk; the inner value is `None` after the last one, the outer one if the connection ended.
fn read_chunk(reader: &mut BufReader<TcpStream>) -> Option<Option<Vec<u8>>> {
    let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes).ok()?;
    bytes.truncate(size);
    Some((size > 0).then_some(bytes))
}

/// How a call ended.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Status; 0 if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer came to its proper end.
    pub is_whole: bool,
    /// Whether a connection was made and the request was written.
    pub is_sent: bool,
    /// Whether the caller's time limit ended the call.
    pub is_expired: bool,
    pub took_ms: u64,
}

impl Outcome {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the answer, for at most `limit_ms`.
pub fn call(address: &str, request: &[u8], limit_ms: u64) -> Outcome {
    let began = Instant::now();
    let mut outcome = Outcome::default();
    call_into(address, request, limit_ms, &mut outcome);
    outcome.took_ms = began.elapsed().as_millis() as u64;
    outcome.is_expired = !outcome.is_whole && outcome.took_ms >= limit_ms;
    outcome
}

fn call_into(address: &str, request: &[u8], limit_ms: u64, outcome: &mut Outcome) -> Option<()> {
    let address = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let until = Instant::now() + Duration::from_millis(limit_ms);
    stream.set_nodelay(true).ok()?;
    stream.write_all(request).ok()?;
    outcome.is_sent = true;
    read_outcome(stream, until, outcome)
}

/// Sends a request whose body takes a while, and reads the answer.
pub fn upload(address: &str, head: &[u8], body: &[u8], bytes_per_s: usize, limit_ms: u64) -> Outcome {
    let began = Instant::now();
    let until = began + Duration::from_millis(limit_ms);
    let mut outcome = Outcome::default();
    let send = |outcome: &mut Outcome| -> Option<()> {
        let address = address.parse().ok()?;
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.write_all(head).ok()?;
        for (number, part) in body.chunks(bytes_per_s / 20).enumerate() {
            let due = began + Duration::from_millis(50 * number as u64);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if stream.write_all(part).is_err() {
                break;
            }
        }
        outcome.is_sent = true;
        read_outcome(stream, until, outcome)
    };
    send(&mut outcome);
    outcome.took_ms = began.elapsed().as_millis() as u64;
    outcome.is_expired = !outcome.is_whole && outcome.took_ms >= limit_ms;
    outcome
}

fn read_outcome(stream: TcpStream, until: Instant, outcome: &mut Outcome) -> Option<()> {
    let left = || until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero());
    stream.set_read_timeout(Some(left()?)).ok()?;
    let control = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    outcome.status = head.status();
    outcome.headers = head.headers.clone();
    if head.header("transfer-encoding").is_some() {
        loop {
            control.set_read_timeout(Some(left()?)).ok()?;
            match read_chunk(&mut reader)? {
                Some(chunk) => outcome.body.extend(chunk),
                None => break,
            }
        }
        outcome.is_whole = true;
        return Some(());
    }
    let length: usize = head.header("content-length")?.parse().ok()?;
    outcome.body = vec![0; length];
    if reader.read_exact(&mut outcome.body).is_err() {
        return None;
    }
    outcome.is_whole = true;
    Some(())
}

/// Writes a whole answer.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> std::io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
