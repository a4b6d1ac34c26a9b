//! Stand-in of the platform's metadata store: a log with keyed topics of one partition each.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;

/// Records of a page of the newest ones.
const PAGE: usize = 500;

/// Records by topic; each is a length of a key, the key and the value.
type Topics = HashMap<String, Vec<Vec<u8>>>;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    /// Starts a store at a free port of an address.
    pub fn start(ip: &str) -> Result<Self, String> {
        let listener = TcpListener::bind(format!("{ip}:0")).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let store = Self {
            address,
            shared: Arc::default(),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a record as the operator or an engine does; without a value its key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let (topics, news) = &*self.shared;
        let mut topics = topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(record);
        news.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            http::read_body(&mut reader, &mut request, false);
            let (status, kind, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(&body);
            if reader.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, &'static str, Vec<u8>) {
        let topic = request.query("topic");
        match request.path() {
            "/api/log-append" => self.append(&topic, request),
            "/api/log-newest" => (200, "application/json", self.newest(&topic, request)),
            "/api/log-read" => (200, "application/octet-stream", self.read(&topic, request)),
            _ => (404, "text/plain", Vec::new()),
        }
    }

    fn append(&self, topic: &str, request: &Message) -> (u16, &'static str, Vec<u8>) {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, "text/plain", Vec::new());
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let Some(record) = rest.get(4..4 + length) else {
                return (400, "text/plain", Vec::new());
            };
            records.push(record.to_vec());
            rest = &rest[4 + length..];
        }
        let (topics, news) = &*self.shared;
        let mut topics = topics.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        log.extend(records);
        let end = log.len();
        news.notify_all();
        let text = format!("{{\"offset\":{offset},\"end\":{end}}}");
        (200, "application/json", text.into_bytes())
    }

    fn newest(&self, topic: &str, request: &Message) -> Vec<u8> {
        let topics = self.shared.0.lock().unwrap();
        let log = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: HashMap<&[u8], (usize, &[u8])> = HashMap::new();
        for (offset, record) in log.iter().enumerate() {
            let (key, value) = split(record);
            newest.insert(key, (offset, value));
        }
        let after = request.query("after");
        let mut keys: Vec<&[u8]> = newest.keys().copied().collect();
        keys.retain(|key| !newest[key].1.is_empty() && *key > after.as_bytes());
        keys.sort_unstable();
        let more = keys.len() > PAGE;
        let mut items = Vec::new();
        for key in keys.into_iter().take(PAGE) {
            let (offset, value) = newest[key];
            let name = String::from_utf8_lossy(key);
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{name}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let items = items.join(",");
        format!(
            "{{\"items\":[{items}],\"more\":{more},\"end\":{}}}",
            log.len()
        )
        .into_bytes()
    }

    fn read(&self, topic: &str, request: &Message) -> Vec<u8> {
        let from: usize = request.query("from").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (topics, news) = &*self.shared;
        let mut topics = topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = news.wait_timeout(topics, left).unwrap().0;
        }
        let log = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut bytes = (log.len() as u64).to_be_bytes().to_vec();
        bytes.extend_from_slice(&0_u64.to_be_bytes());
        for record in log.iter().skip(from) {
            bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
            bytes.extend_from_slice(record);
        }
        bytes
    }
}

fn split(record: &[u8]) -> (&[u8], &[u8]) {
    let length = usize::from(record[0]);
    (&record[1..=length], &record[1 + length..])
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
            let digit = bits >> (18 - 6 * index) & 63;
            match index <= group.len() {
                true => text.push(char::from(DIGITS[digit as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
