//! A stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Message, Reader};

type Key = (String, String, String);

struct Row {
    /// Base64 text; `None` if the row was removed.
    value: Option<String>,
    version: u64,
}

struct State {
    rows: BTreeMap<Key, Row>,
    version: u64,
    started: Instant,
    is_down: bool,
}

/// The store; it answers at once and loses nothing.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new((
                Mutex::new(State {
                    rows: BTreeMap::new(),
                    version: 1,
                    started: Instant::now(),
                    is_down: false,
                }),
                Condvar::new(),
            )),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a configuration as the operator does.
    pub fn configure(&self, configuration: &Value) {
        let mut state = self.shared.0.lock().expect("no thread panicked");
        state.version += 1;
        let version = state.version;
        let key = ("op".to_owned(), String::new(), "config".to_owned());
        let value = Some(base64(configuration.to_string().as_bytes()));
        state.rows.insert(key, Row { value, version });
        self.shared.1.notify_all();
    }

    /// Lets it answer every call with 503, or serve calls again.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.shared.0.lock().expect("no thread panicked");
        state.is_down = is_down;
        self.shared.1.notify_all();
    }

    fn is_down(&self) -> bool {
        let state = self.shared.0.lock().expect("no thread panicked");
        state.is_down
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(message) = reader.message(false) {
            let answer = if self.is_down() {
                (503, Value::Null)
            } else {
                self.handle(&message)
            };
            let (status, body) = answer;
            let body = body.to_string();
            let response = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, message: &Message) -> (u16, Value) {
        let target = message.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (decode(name), decode(value)))
            .collect();
        match path {
            "/sailtrack/rows-tx" => self.apply(&message.body),
            "/sailtrack/rows-get" => self.read(&query),
            "/sailtrack/rows-feed" => self.feed(&query),
            _ => (404, Value::Null),
        }
    }

    fn apply(&self, body: &[u8]) -> (u16, Value) {
        let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
            return (400, Value::Null);
        };
        let entries = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let key = |entry: &Value| {
            let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.shared.0.lock().expect("no thread panicked");
        for entry in entries("precondition") {
            let present = state.rows.get(&key(&entry));
            let version = present
                .filter(|row| row.value.is_some())
                .map_or(0, |row| row.version);
            if entry["schemaVersion"].as_u64() != Some(version) {
                return (412, json!({"rows": []}));
            }
        }
        state.version += 1;
        let version = state.version;
        for entry in entries("puts") {
            let value = entry["value"].as_str().map(str::to_owned);
            state.rows.insert(key(&entry), Row { value, version });
        }
        for entry in entries("remove") {
            let value = None;
            state.rows.insert(key(&entry), Row { value, version });
        }
        let now = state.started.elapsed().as_secs_f64();
        self.shared.1.notify_all();
        (200, json!({"schemaVersion": version, "nowS": now}))
    }

    fn read(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let limit = text("limit").parse().unwrap_or(500);
        let state = self.shared.0.lock().expect("no thread panicked");
        let from = (text("table"), text("part"), text("from"));
        let rows = state
            .rows
            .range(from.clone()..)
            .filter(|(key, row)| key.0 == from.0 && key.1 == from.1 && row.value.is_some());
        let mut rows: Vec<Value> = rows.take(limit + 1).map(encode).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        let now = state.started.elapsed().as_secs_f64();
        (
            200,
            json!({"rows": rows, "hasMore": has_more, "schemaVersion": state.version, "nowS": now}),
        )
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let table = query.get("table").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.shared.0.lock().expect("no thread panicked");
        loop {
            let changed = state.rows.iter();
            let changed = changed.filter(|(key, row)| key.0 == table && row.version > after);
            let mut rows: Vec<(u64, Value)> = changed
                .map(|(key, row)| (row.version, encode((key, row))))
                .collect();
            rows.sort_by_key(|(version, _)| *version);
            let left = until.saturating_duration_since(Instant::now());
            if state.is_down {
                return (503, Value::Null);
            }
            if !rows.is_empty() || left.is_zero() {
                let rows: Vec<Value> = rows.into_iter().map(|(_, row)| row).collect();
                let now = state.started.elapsed().as_secs_f64();
                return (
                    200,
                    json!({"rows": rows, "schemaVersion": state.version, "nowS": now}),
                );
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("no thread panicked").0;
        }
    }
}

fn encode((key, row): (&Key, &Row)) -> Value {
    let mut value = json!({
        "table": key.0, "part": key.1, "key": key.2, "schemaVersion": row.version,
    });
    match &row.value {
        Some(content) => value["value"] = json!(content),
        None => value["removed"] = json!(true),
    }
    value
}

/// Decodes a part of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        let escaped = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], escaped) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                at += 1;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            if digit <= group.len() {
                let index = (word >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
