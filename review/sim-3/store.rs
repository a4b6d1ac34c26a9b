//! A stand-in for the platform's store: keyed topics with one partition.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// A record: its key, and its value unless it deletes the key.
type Record = (String, Option<Vec<u8>>);

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Vec<Record>>>,
    changed: Condvar,
}

impl Store {
    /// Starts to serve on an address.
    pub fn start(listener: TcpListener) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let shared = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        store
    }

    /// Appends a record to a topic; it is acknowledged when this returns.
    pub fn append(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.map(<[u8]>::to_vec)));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader) {
            let Some(body) = http::read_body(&mut reader, &head) else {
                return;
            };
            // The usual time of an answer.
            std::thread::sleep(Duration::from_millis(4));
            let (kind, answer) = self.answer(&head, &body);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            if writer
                .write_all(&[head.into_bytes(), answer].concat())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, head: &http::Head, body: &[u8]) -> (&'static str, Vec<u8>) {
        let (_, target) = head.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let values: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let topic = values.get("topic").copied().unwrap_or("");
        let number = |name: &str| {
            values
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        match path {
            "/api/log-append" => ("application/json", self.append_raw(topic, body)),
            "/api/log-newest" => (
                "application/json",
                self.newest(topic, values.get("after").copied()),
            ),
            _ => (
                "application/octet-stream",
                self.read(topic, number("from") as usize, number("wait_ms")),
            ),
        }
    }

    fn append_raw(&self, topic: &str, mut bytes: &[u8]) -> Vec<u8> {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        while bytes.len() >= 4 {
            let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
            let record = &bytes[4..4 + length];
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            records.push((key, (!value.is_empty()).then(|| value.to_vec())));
            bytes = &bytes[4 + length..];
        }
        self.changed.notify_all();
        format!("{{\"offset\":{offset},\"end\":{}}}", records.len()).into_bytes()
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            match value {
                Some(value) => newest.insert(key, (offset, value)),
                None => newest.remove(key.as_str()),
            };
        }
        let mut items = Vec::new();
        for (key, (offset, value)) in newest {
            if after.is_none_or(|after| key > after) {
                let key: String = key.chars().map(escape).collect();
                items.push(format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                ));
            }
        }
        let more = items.len() > 500;
        items.truncate(500);
        format!(
            "{{\"items\":[{}],\"more\":{more},\"end\":{}}}",
            items.join(","),
            records.len()
        )
        .into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in records.get(from..).unwrap_or_default() {
            let value = value.as_deref().unwrap_or_default();
            bytes.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend_from_slice(key.as_bytes());
            bytes.extend_from_slice(value);
        }
        bytes
    }
}

/// Escapes a character of a JSON string.
fn escape(character: char) -> String {
    match character {
        '"' | '\\' | '\u{0}'..='\u{1f}' => format!("\\u{:04x}", u32::from(character)),
        _ => character.to_string(),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

/// Address that a listener got.
pub fn address_of(listener: &TcpListener) -> SocketAddr {
    listener
        .local_addr()
        .expect("a bound listener has an address")
}
