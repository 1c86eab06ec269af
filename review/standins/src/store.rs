//! Stand-in of the platform's store: lists, watches with a history, and the drill of the users' letter
//! in which the store is away for a moment and comes back from an older copy.

use crate::http;
use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// Items on a page of a list.
const PAGE: usize = 50;

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Debug, Clone)]
struct Event {
    revision: u64,
    key: String,
    /// `None` for a removal.
    item: Option<Item>,
}

/// What a copy of the store holds.
#[derive(Debug, Clone)]
pub struct Contents {
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    pub revision: u64,
}

#[derive(Debug)]
struct State {
    contents: Contents,
    era: u64,
    is_away: bool,
    connections: Vec<TcpStream>,
}

#[derive(Debug, Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let state = State {
            contents: Contents {
                items: BTreeMap::new(),
                history: Vec::new(),
                revision: 400,
            },
            era: 1,
            is_away: false,
            connections: Vec::new(),
        };
        let store = Self(Arc::new((Mutex::new(state), Condvar::new())));
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0 .0.lock().unwrap()
    }

    /// Writes an item; returns its revision, or `None` while the store is away. The return is the
    /// store's acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> Option<u64> {
        let mut state = self.state();
        if state.is_away {
            return None;
        }
        let contents = &mut state.contents;
        contents.revision += 1;
        let revision = contents.revision;
        let created = contents
            .items
            .get(key)
            .map_or(revision, |item| item.created);
        let item = Item {
            value: value.as_bytes().to_vec(),
            revision,
            created,
        };
        contents.items.insert(key.to_owned(), item.clone());
        contents.history.push(Event {
            revision,
            key: key.to_owned(),
            item: Some(item),
        });
        self.0 .1.notify_all();
        Some(revision)
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        let contents = &mut state.contents;
        if contents.items.remove(key).is_some() {
            contents.revision += 1;
            contents.history.push(Event {
                revision: contents.revision,
                key: key.to_owned(),
                item: None,
            });
            self.0 .1.notify_all();
        }
    }

    pub fn revision(&self) -> u64 {
        self.state().contents.revision
    }

    /// Copies the store.
    pub fn copy(&self) -> Contents {
        self.state().contents.clone()
    }

    /// Ends all connections, and takes no call until [`Self::come_back`].
    pub fn go_away(&self) {
        let mut state = self.state();
        state.is_away = true;
        for connection in state.connections.drain(..) {
            connection.shutdown(Shutdown::Both).ok();
        }
        self.0 .1.notify_all();
    }

    /// Comes back: with what it had, or from a copy.
    pub fn come_back(&self, copy: Option<Contents>) {
        let mut state = self.state();
        if let Some(copy) = copy {
            state.contents = copy;
            state.era += 1;
        }
        state.is_away = false;
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok();
        {
            let mut state = self.state();
            if state.is_away {
                return None;
            }
            state.connections.push(stream.try_clone().ok()?);
        }
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read(&mut reader).ok()?;
            let path = request.target().split('?').next().unwrap_or_default();
            let (status, body) = match path {
                "/greengagecleat/kv-range" => self.list(&request),
                "/greengagecleat/kv-watch" => self.watch(&request),
                _ => ("404 Not Found", String::new()),
            };
            let era = {
                let state = self.state();
                if state.is_away {
                    return None;
                }
                state.era.to_string()
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", &*era)];
            http::answer(&mut writer, status, &headers, body.as_bytes()).ok()?;
        }
    }

    fn list(&self, request: &http::Message) -> (&'static str, String) {
        let prefix = decode(request.query("prefix").unwrap_or_default());
        let after = decode(request.query("after").unwrap_or_default());
        let state = self.state();
        let items = state.contents.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let mut items: Vec<_> = items.map(|(key, item)| item_json(key, item)).collect();
        let has_more = items.len() > PAGE;
        items.truncate(PAGE);
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"store_revision\":{}}}",
            items.join(","),
            state.contents.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, request: &http::Message) -> (&'static str, String) {
        let prefix = decode(request.query("prefix").unwrap_or_default());
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state();
        loop {
            if state.is_away {
                return ("503 Service Unavailable", String::new());
            }
            let contents = &state.contents;
            if after > contents.revision {
                return ("410 Gone", String::new());
            }
            let events = contents.history.iter();
            let events = events.filter(|event| event.revision > after);
            let events = events.filter(|event| event.key.starts_with(&prefix));
            let events: Vec<_> = events
                .map(|event| match &event.item {
                    Some(item) => item_json(&event.key, item),
                    None => format!(
                        "{{\"key\":\"{}\",\"rev\":{},\"deleted\":true}}",
                        event.key, event.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    contents.revision
                );
                return ("200 OK", body);
            }
            state = self.0 .1.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":0}}",
        base64(&item.value),
        item.revision,
        item.created
    )
}

/// Decodes the percent encoding of a query's value.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
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
        let number = group
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0_u32, |number, byte| number << 8 | u32::from(*byte));
        for place in 0..4 {
            if place <= group.len() {
                let digit = number >> (18 - 6 * place) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
