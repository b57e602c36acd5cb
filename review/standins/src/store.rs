//! A stand-in of the platform's metadata store: rows, conditional transactions and the change feed.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Message, Reader};
use crate::own_address;

/// How long a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

type Key = (String, String, String);

#[derive(Debug, Clone)]
struct Row {
    /// Base64 text; `None` if the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Debug)]
struct State {
    rows: BTreeMap<Key, Row>,
    version: u64,
    /// It answers each call with 503: nothing was done.
    is_down: bool,
    started: Instant,
}

/// The platform's metadata store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind((own_address(), 7200)).expect("the address is free");
        let state = State {
            rows: BTreeMap::new(),
            version: 0,
            is_down: false,
            started: Instant::now(),
        };
        let store = Self {
            address: listener.local_addr().expect("it is bound"),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a configuration, as the operator does.
    pub fn configure(&self, configuration: &Value) {
        let mut state = self.state();
        state.version += 1;
        let row = Row {
            value: Some(encode_base64(configuration.to_string().as_bytes())),
            version: state.version,
        };
        let key = ("op".to_owned(), String::new(), "config".to_owned());
        state.rows.insert(key, row);
        drop(state);
        self.shared.1.notify_all();
    }

    /// Makes the store answer each call with 503, or serve again.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
        self.shared.1.notify_all();
    }

    /// Returns the decoded value of a row.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = self.state().rows.get(&key)?.value.clone()?;
        String::from_utf8(decode_base64(&value)).ok()
    }

    /// Returns the keys of the rows of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state();
        let rows = state
            .rows
            .iter()
            .filter(|(key, row)| key.0 == table && row.value.is_some());
        rows.map(|(key, _)| key.2.clone()).collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread panicked")
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(message)) = reader.read_message() {
            std::thread::sleep(CALL_TIME);
            let is_down = self.state().is_down;
            let (status, body) = if is_down {
                (503, Value::Null)
            } else {
                self.handle(&message)
            };
            let body = body.to_string();
            let fields = "Content-Type: application/json\r\n";
            if http::write_response(&mut reader.stream, status, fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, message: &Message) -> (u16, Value) {
        let target = message.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query: BTreeMap<String, String> = pairs
            .map(|(name, value)| (name.to_owned(), decode_percent(value)))
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
        let mut state = self.state();
        for entry in entries("precondition") {
            let present = state
                .rows
                .get(&key(&entry))
                .filter(|row| row.value.is_some());
            let version = present.map_or(0, |row| row.version);
            if entry["schemaVersion"].as_u64() != Some(version) {
                let rows: Vec<Value> = Vec::new();
                return (412, json!({"rows": rows}));
            }
        }
        state.version += 1;
        let version = state.version;
        for entry in entries("puts") {
            let value = entry["value"].as_str().map(str::to_owned);
            state.rows.insert(key(&entry), Row { value, version });
        }
        for entry in entries("remove") {
            state.rows.insert(
                key(&entry),
                Row {
                    value: None,
                    version,
                },
            );
        }
        let now = state.now();
        drop(state);
        self.shared.1.notify_all();
        (200, json!({"schemaVersion": version, "nowS": now}))
    }

    fn read(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let limit = text("limit").parse().unwrap_or(500).min(500);
        let state = self.state();
        let from = (text("table"), text("part"), text("from"));
        let rows = state
            .rows
            .range(from.clone()..)
            .filter(|(key, row)| key.0 == from.0 && key.1 == from.1 && row.value.is_some());
        let mut rows: Vec<Value> = rows.take(limit + 1).map(to_json).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        let (version, now) = (state.version, state.now());
        let body =
            json!({"rows": rows, "hasMore": has_more, "schemaVersion": version, "nowS": now});
        (200, body)
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let table = query.get("table").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.state();
        loop {
            if state.is_down {
                return (503, Value::Null);
            }
            let changed = state.rows.iter();
            let changed = changed.filter(|(key, row)| key.0 == table && row.version > after);
            let mut rows: Vec<(u64, Value)> =
                changed.map(|row| (row.1.version, to_json(row))).collect();
            rows.sort_by_key(|(version, _)| *version);
            let remaining = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || remaining.is_zero() {
                let rows: Vec<Value> = rows.into_iter().map(|(_, row)| row).collect();
                let (version, now) = (state.version, state.now());
                return (
                    200,
                    json!({"rows": rows, "schemaVersion": version, "nowS": now}),
                );
            }
            let waited = self.shared.1.wait_timeout(state, remaining);
            state = waited.expect("no thread panicked").0;
        }
    }
}

impl State {
    /// Returns the time on the store's clock.
    fn now(&self) -> f64 {
        (self.started.elapsed().as_secs_f64() * 100.0).round() / 100.0 + 1000.0
    }
}

fn to_json((key, row): (&Key, &Row)) -> Value {
    let mut value = json!({
        "table": key.0, "part": key.1, "key": key.2, "schemaVersion": row.version,
    });
    match &row.value {
        Some(content) => value["value"] = json!(content),
        None => value["removed"] = json!(true),
    }
    value
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let code = others
            .get(..2)
            .and_then(|two| std::str::from_utf8(two).ok());
        let code = code.and_then(|two| u8::from_str_radix(two, 16).ok());
        match (first, code) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &others[2..];
            }
            (b'+', _) => {
                bytes.push(b' ');
                rest = others;
            }
            _ => {
                bytes.push(*first);
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |place: usize| u32::from(three.get(place).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let index = (bits >> (18 - 6 * place)) & 63;
            let character = char::from(ALPHABET[index as usize]);
            text.push(if place > three.len() { '=' } else { character });
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut bits = 0_u32;
    let mut count = 0;
    for character in text.bytes() {
        let Some(index) = ALPHABET.iter().position(|known| *known == character) else {
            continue;
        };
        bits = bits << 6 | u32::try_from(index).unwrap_or(0);
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push(((bits >> count) & 255) as u8);
        }
    }
    bytes
}
