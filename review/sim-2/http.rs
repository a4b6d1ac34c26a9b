//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the body was marked: by a length, the last chunk, or a close without a reset.
    pub is_whole: bool,
}

impl Message {
    /// Returns a header by its lowercase name; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1).unwrap_or("");
        code.parse().unwrap_or(0)
    }

    /// Returns the path of a request, without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Returns a parameter of a request's query; empty if it is missing.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        for pair in query.split('&') {
            if let Some((key, value)) = pair.split_once('=') {
                if key == name {
                    return value.to_owned();
                }
            }
        }
        String::new()
    }
}

/// Reads the head of a message; `None` if the connection ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let first = first.trim_end().to_owned();
    Ok(Some(Message {
        first,
        headers,
        ..Message::default()
    }))
}

/// Reads the body that follows a head; one without a length or chunks ends with the connection in a response.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message, is_response: bool) {
    if message.header("transfer-encoding").contains("chunked") {
        message.is_whole = read_chunks(reader, &mut message.body).is_ok();
        return;
    }
    if let Ok(length) = message.header("content-length").parse::<usize>() {
        let mut limited = reader.take(length as u64);
        let read = limited.read_to_end(&mut message.body);
        message.is_whole = read.is_ok() && message.body.len() == length;
        return;
    }
    message.is_whole = !is_response || reader.read_to_end(&mut message.body).is_ok();
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(());
        }
    }
}

/// A caller's connection, which is kept for further requests.
pub struct Caller {
    address: SocketAddr,
    reader: Option<BufReader<TcpStream>>,
    /// Whether the connection carried an answer before.
    pub is_kept: bool,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            reader: None,
            is_kept: false,
        }
    }

    /// Sends a request and returns the whole answer, or why there is none; `limit` is the time for each read.
    pub fn call(&mut self, head: &str, body: &[u8], limit: Duration) -> Result<Message, String> {
        if self.reader.is_none() {
            self.is_kept = false;
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
            let stream = stream.map_err(|error| format!("no connection: {error}"))?;
            let _ = stream.set_nodelay(true);
            self.reader = Some(BufReader::new(stream));
        }
        let Some(reader) = self.reader.as_mut() else {
            return Err("no connection".to_owned());
        };
        let answer = exchange(reader, head, body, limit);
        let closes = answer.as_ref().map_or(true, |answer| {
            answer.header("connection") == "close" || !answer.is_whole
        });
        if closes {
            self.reader = None;
        }
        self.is_kept = true;
        answer
    }
}

fn exchange(
    reader: &mut BufReader<TcpStream>,
    head: &str,
    body: &[u8],
    limit: Duration,
) -> Result<Message, String> {
    let stream = reader.get_mut();
    let _ = stream.set_read_timeout(Some(limit));
    let _ = stream.set_write_timeout(Some(limit));
    let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream
        .write_all(&bytes)
        .map_err(|error| format!("closed while sending: {error}"))?;
    match read_head(reader) {
        Ok(Some(mut answer)) => {
            read_body(reader, &mut answer, true);
            Ok(answer)
        }
        Ok(None) => Err("closed without an answer".to_owned()),
        Err(error) => Err(format!("no answer: {error}")),
    }
}
