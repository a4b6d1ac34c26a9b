//! Stand-in of the platform's store: keyed topics of one partition, with the calls that the router makes.
//!
//! It keeps all records for the length of a case, which is shorter than `keep_s`.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

type Records = Vec<(String, Vec<u8>)>;

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<HashMap<String, Records>>, Condvar)>,
}

impl Store {
    pub fn start(address: &str) -> Self {
        let store = Self::default();
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        store
    }

    /// Appends a record; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> usize {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        let end = records.len();
        changed.notify_all();
        end
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            if http::answer(&mut writer, status, "", &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> (u16, Vec<u8>) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or("").to_owned();
        match path {
            "/api/log-newest" => (200, self.newest(&topic)),
            "/api/log-read" => {
                let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
                self.read(&topic, number("from") as usize, number("wait_ms"))
            }
            "/api/log-append" if topic == "keyed.op" || topic == "keyed.servers" => (403, Vec::new()),
            "/api/log-append" => {
                let mut at = 0;
                let mut end = 0;
                let mut count = 0;
                while let Some(length) = request.body.get(at..at + 4) {
                    let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
                    let record = &request.body[at + 4..at + 4 + length];
                    let (key, value) = record[1..].split_at(usize::from(record[0]));
                    end = self.put(&topic, &String::from_utf8_lossy(key), value);
                    count += 1;
                    at += 4 + length;
                }
                (200, format!("{{\"offset\":{},\"end\":{end}}}", end - count).into_bytes())
            }
            // Engines and the operator write to the store; how they do so is not on the pages.
            "/sim/put" => {
                let key = query.get("key").copied().unwrap_or("");
                self.put(&topic, key, &request.body);
                (200, Vec::new())
            }
            _ => (404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            match value.is_empty() {
                true => newest.remove(key),
                false => newest.insert(key, (value, offset)),
            };
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (value, offset))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        format!("{{\"items\":[{}],\"more\":false,\"end\":{}}}", items.join(","), records.len()).into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> (u16, Vec<u8>) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
                bytes.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let length = 1 + key.len() + value.len();
                    bytes.extend_from_slice(&(length as u32).to_be_bytes());
                    bytes.push(key.len() as u8);
                    bytes.extend_from_slice(key.as_bytes());
                    bytes.extend_from_slice(value);
                }
                return (200, bytes);
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
