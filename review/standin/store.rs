//! Stand-in of the platform's log: topics with one partition, kept in memory.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);

/// Factor by which answers take longer while the log is slow.
const SLOWNESS: u32 = 60;

type Topics = HashMap<String, Vec<(String, Vec<u8>)>>;

#[derive(Default)]
struct State {
    topics: Mutex<Topics>,
    changed: Condvar,
    /// Every call is refused with 503.
    busy: AtomicBool,
    slow: AtomicBool,
}

/// The log, which loses nothing that it acknowledged.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<State>,
}

fn number(query: &HashMap<&str, &str>, name: &str) -> Option<u64> {
    query.get(name)?.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let group = part.iter().chain([0, 0].iter()).take(3);
        let group = group.fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        for digit in 0..4 {
            let index = group >> (18 - 6 * digit) & 63;
            let is_used = digit <= part.len();
            text.push(if is_used {
                DIGITS[index as usize] as char
            } else {
                '='
            });
        }
    }
    text
}

fn text(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let served = store.clone();
        http::Server::start(listener, move |request| Some(served.answer(&request)))?;
        Ok(store)
    }

    /// Refuses all calls with 503, or serves them again.
    pub fn set_busy(&self, busy: bool) {
        self.state.busy.store(busy, Ordering::SeqCst);
        self.state.changed.notify_all();
    }

    /// Lets answers take 60 times as long, or as usual again.
    pub fn set_slow(&self, slow: bool) {
        self.state.slow.store(slow, Ordering::SeqCst);
    }

    fn is_busy(&self) -> bool {
        self.state.busy.load(Ordering::SeqCst)
    }

    /// Writes a record for the operator or an upstream. Returns whether the log accepted it.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> bool {
        !self.is_busy() && self.append(topic, key, value.as_bytes(), None).is_ok()
    }

    fn append(&self, topic: &str, key: &str, value: &[u8], end: Option<u64>) -> Result<u64, u64> {
        let mut topics = self.state.topics.lock().expect("topics");
        let records = topics.entry(topic.to_owned()).or_default();
        let last = records.len() as u64;
        if end.is_some_and(|end| end != last) {
            return Err(last);
        }
        records.push((key.to_owned(), value.to_vec()));
        self.state.changed.notify_all();
        Ok(last)
    }

    fn answer(&self, request: &Message) -> Message {
        let slow = self.state.slow.load(Ordering::SeqCst);
        std::thread::sleep(if slow { ANSWER * SLOWNESS } else { ANSWER });
        if self.is_busy() {
            return Message::response(503);
        }
        let (_, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .collect();
        let topic = query.get("Topic").copied().unwrap_or("");
        match path {
            "/api/log-append" => {
                let body = &request.body;
                let key_end = 5 + usize::from(body[4]);
                let key = String::from_utf8_lossy(&body[5..key_end]).into_owned();
                match self.append(topic, &key, &body[key_end..], number(&query, "AsOf")) {
                    Ok(offset) => Message::response(200).with_body(format!(
                        "{{\"Offset\":{offset},\"EndOffset\":{}}}",
                        offset + 1
                    )),
                    Err(end) => {
                        Message::response(412).with_body(format!("{{\"EndOffset\":{end}}}"))
                    }
                }
            }
            "/api/log-read" => self.read(topic, &query),
            "/api/log-newest" => self.newest(topic),
            _ => Message::response(404),
        }
    }

    fn read(&self, topic: &str, query: &HashMap<&str, &str>) -> Message {
        let from = number(query, "From").unwrap_or(0) as usize;
        let wait = Duration::from_millis(number(query, "WaitMs").unwrap_or(0));
        let end = Instant::now() + wait;
        let mut topics = self.state.topics.lock().expect("topics");
        while topics.get(topic).map_or(0, Vec::len) <= from {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() || self.is_busy() {
                break;
            }
            topics = self
                .state
                .changed
                .wait_timeout(topics, left)
                .expect("topics")
                .0;
        }
        if self.is_busy() {
            return Message::response(503);
        }
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        Message::response(200).with_body(body)
    }

    fn newest(&self, topic: &str) -> Message {
        let topics = self.state.topics.lock().expect("topics");
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let newest: BTreeMap<&str, (usize, &[u8])> = records
            .iter()
            .enumerate()
            .map(|(offset, (key, value))| (key.as_str(), (offset, value.as_slice())))
            .collect();
        let present = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = present
            .map(|(key, (offset, value))| {
                let (key, value) = (text(key), base64(value));
                format!("{{\"Key\":{key},\"Value\":\"{value}\",\"Offset\":{offset}}}")
            })
            .collect();
        Message::response(200).with_body(format!(
            "{{\"items\":[{}],\"HasMore\":false,\"EndOffset\":{}}}",
            items.join(","),
            records.len()
        ))
    }
}
