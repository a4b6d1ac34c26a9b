//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// The first line and the headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns a header's value; names are compared without case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ended before it was complete.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Some(head);
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body by its length or its chunks; `None` if it is not complete.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> Option<Vec<u8>> {
    let chunked = head
        .get("transfer-encoding")
        .is_some_and(|text| text.contains("chunked"));
    let mut body = Vec::new();
    if !chunked {
        let length: usize = head
            .get("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        body.resize(length, 0);
        reader.read_exact(&mut body).ok()?;
        return Some(body);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim().split(';').next()?.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// What a caller got.
#[derive(Clone, Debug)]
#[allow(dead_code, reason = "cases look at the status only")]
pub struct Reply {
    pub head: Head,
    /// `None` if the body was not complete.
    pub body: Option<Vec<u8>>,
}

/// Sends one request on a new connection and reads the answer; `Err` says why there was no head.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Result<Reply, &'static str> {
    let began = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))
        .map_err(|_| "no connection")?;
    let _ = stream.set_nodelay(true);
    let left = limit
        .saturating_sub(began.elapsed())
        .max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    stream.write_all(request).map_err(|_| "not written")?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).ok_or("no answer")?;
    let body = read_body(&mut reader, &head);
    Ok(Reply { head, body })
}

/// Reads an answer's body at a given pace, and returns how many bytes came and whether it was complete.
pub fn read_slowly(
    reader: &mut impl Read,
    length: usize,
    bytes_per_s: usize,
    limit: Duration,
) -> (usize, bool) {
    let began = Instant::now();
    let mut buffer = vec![0; 65_536];
    let mut got = 0;
    while got < length && began.elapsed() < limit {
        match reader.read(&mut buffer) {
            Ok(0) | Err(_) => return (got, false),
            Ok(count) => got += count,
        }
        let due = Duration::from_secs_f64(got as f64 / bytes_per_s as f64);
        if let Some(ahead) = due.checked_sub(began.elapsed()) {
            std::thread::sleep(ahead.min(Duration::from_millis(200)));
        }
    }
    (got, got >= length)
}
