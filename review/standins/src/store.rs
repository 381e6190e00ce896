//! The platform's metadata store and the operator's writes to it.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time for which the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);
/// Number of items on one page.
const PAGE_ITEMS: usize = 500;
/// Heartbeats of silence after which an entry is removed.
const EXPIRY_HEARTBEATS: u32 = 3;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

struct Event {
    at: Instant,
    revision: u64,
    key: String,
    /// `None` if the item was deleted.
    value: Option<(String, u64)>,
}

struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: VecDeque<Event>,
    /// Latest revision that is no longer in the history.
    forgotten: u64,
    is_down: bool,
    /// Time of the last heartbeat of each entry.
    beats: BTreeMap<String, Instant>,
}

/// The store. Clones share the content.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Content>, Condvar)>,
    heartbeat: Duration,
    record: Arc<Record>,
}

/// An entry that an endpoint publishes about itself.
#[derive(Debug, Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub capacity: u32,
    pub born: u64,
    pub sequence: u64,
    pub state: &'static str,
}

impl Entry {
    fn text(&self) -> String {
        format!(
            "{{\"born\":{},\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"capacity\":{}}},\"status\":{{\"state\":\"{}\",\"sequence\":{},\
             \"cold-remaining\":\"0ms\"}}}}",
            self.born,
            self.address,
            self.service,
            self.zone,
            self.capacity,
            self.state,
            self.sequence
        )
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }
}

impl Content {
    fn put(&mut self, key: &str, value: &str) {
        self.revision += 1;
        let value = base64(value.as_bytes());
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value: value.clone(),
            revision: self.revision,
            created,
        };
        self.items.insert(key.to_owned(), item);
        self.events.push_back(Event {
            at: Instant::now(),
            revision: self.revision,
            key: key.to_owned(),
            value: Some((value, created)),
        });
    }

    fn delete(&mut self, key: &str) -> bool {
        if self.items.remove(key).is_none() {
            return false;
        }
        self.revision += 1;
        self.events.push_back(Event {
            at: Instant::now(),
            revision: self.revision,
            key: key.to_owned(),
            value: None,
        });
        true
    }

    fn forget_history(&mut self) {
        while let Some(event) = self
            .events
            .front()
            .filter(|event| event.at.elapsed() > HISTORY)
        {
            self.forgotten = event.revision;
            self.events.pop_front();
        }
    }
}

impl Store {
    /// Starts a store that is served at `address`.
    pub fn start(
        address: SocketAddr,
        heartbeat: Duration,
        record: Arc<Record>,
    ) -> io::Result<Self> {
        let content = Content {
            revision: 1,
            items: BTreeMap::new(),
            events: VecDeque::new(),
            forgotten: 0,
            is_down: false,
            beats: BTreeMap::new(),
        };
        let store = Self {
            shared: Arc::new((Mutex::new(content), Condvar::new())),
            heartbeat,
            record,
        };
        store.serve_at(address, Arc::default())?;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Serves the store at one more address, which answers 503 while `turns_away` is set.
    pub fn serve_at(&self, address: SocketAddr, turns_away: Arc<AtomicBool>) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, turns_away) = (store.clone(), Arc::clone(&turns_away));
                thread::spawn(move || {
                    let _ = store.serve(stream, &turns_away);
                });
            }
        });
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the store down, or back up. While it is down it answers 503 and does nothing.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.shared.1.notify_all();
        self.record
            .note(if is_down { "store down" } else { "store back" });
    }

    /// Writes the configuration.
    pub fn put_config(&self, config: &str) {
        self.lock().put("op/config", config);
        self.shared.1.notify_all();
        self.record.note("configuration accepted");
    }

    /// Accepts the heartbeat of an endpoint, unless the store is down.
    ///
    /// The entry changes when more than its sequence changes.
    pub fn beat(&self, entry: &Entry) -> bool {
        let mut content = self.lock();
        if content.is_down {
            return false;
        }
        let key = entry.key();
        let is_known = content.items.contains_key(&key);
        content.beats.insert(key.clone(), Instant::now());
        if !is_known {
            content.put(&key, &entry.text());
            let revision = content.revision;
            drop(content);
            self.shared.1.notify_all();
            let text = format!("entry {} written revision={revision}", entry.id);
            self.record.line(&text);
        }
        true
    }

    /// Removes the entry of an endpoint that leaves; returns false if the store is down.
    pub fn remove(&self, id: &str) -> bool {
        let mut content = self.lock();
        if content.is_down {
            return false;
        }
        let key = format!("servers/{id}");
        content.beats.remove(&key);
        content.delete(&key);
        drop(content);
        self.shared.1.notify_all();
        self.record
            .note(&format!("entry {id} removed, accepted by the store"));
        true
    }

    /// Returns whether an endpoint has an entry.
    pub fn has_entry(&self, id: &str) -> bool {
        self.lock().items.contains_key(&format!("servers/{id}"))
    }

    /// Removes entries after three heartbeats of silence, also while the store is down.
    fn expire(&self) {
        let limit = self.heartbeat * EXPIRY_HEARTBEATS;
        let mut content = self.lock();
        let silent: Vec<String> = content
            .beats
            .iter()
            .filter(|(_, beat)| beat.elapsed() > limit)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &silent {
            content.beats.remove(key);
            content.delete(key);
        }
        content.forget_history();
        drop(content);
        for key in silent {
            self.shared.1.notify_all();
            self.record.line(&format!("entry {key} expired"));
        }
    }

    fn serve(&self, mut stream: TcpStream, turns_away: &AtomicBool) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = http::read(&mut stream, &mut buffer)? {
            let mut answer = self.answer(&request, turns_away);
            if turns_away.load(Ordering::SeqCst) {
                answer = (503, "{}".to_owned());
            }
            let (status, body) = answer;
            thread::sleep(ANSWER_TIME);
            let start = format!("HTTP/1.1 {status} Answer");
            let close = if request.closes() {
                "close"
            } else {
                "keep-alive"
            };
            let headers = [("Content-Type", "application/json"), ("Connection", close)];
            http::write(&mut stream, &start, &headers, body.as_bytes())?;
            if request.closes() {
                break;
            }
        }
        Ok(())
    }

    fn answer(&self, request: &http::Message, turns_away: &AtomicBool) -> (u16, String) {
        let path = request.target().split('?').next().unwrap_or_default();
        if self.lock().is_down || turns_away.load(Ordering::SeqCst) {
            return (503, "{}".to_owned());
        }
        match path {
            "/api/kv-range" => self.range(request),
            "/api/kv-watch" => self.watch(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &http::Message) -> (u16, String) {
        let prefix = request.query("path-prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let content = self.lock();
        let mut matching = content
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = matching
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, item)| item_text(key, &item.value, item.revision, item.created))
            .collect();
        let has_more = matching.next().is_some();
        let body = format!(
            "{{\"items\":[{}],\"has-more\":{has_more},\"at\":{}}}",
            items.join(","),
            content.revision
        );
        (200, body)
    }

    fn watch(&self, request: &http::Message) -> (u16, String) {
        let prefix = request.query("path-prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
        let end = Instant::now() + wait;
        let mut content = self.lock();
        loop {
            if content.is_down {
                return (503, "{}".to_owned());
            }
            if after < content.forgotten {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = content
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(|event| match &event.value {
                    Some((value, created)) => {
                        item_text(&event.key, value, event.revision, *created)
                    }
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                        event.key, event.revision
                    ),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = content.revision;
                return (
                    200,
                    format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")),
                );
            }
            let waited = self.shared.1.wait_timeout(content, left);
            content = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn item_text(key: &str, value: &str, revision: u64, created: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{created},\"lease-id\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let get = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = get(0) << 16 | get(1) << 8 | get(2);
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = (bits >> (18 - 6 * index)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
