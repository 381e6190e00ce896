//! A stand-in of the platform's store, which can be read only.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Message};

#[derive(Default)]
struct Content {
    revision: u64,
    /// Value, revision of the last change and revision of the creation of each item.
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    /// Keys with the items that were written, in their order.
    events: Vec<(String, (Vec<u8>, u64, u64))>,
}

#[derive(Default)]
struct Shared {
    content: Mutex<Content>,
    changed: Condvar,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    pub fn listen(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let store = self.clone();
        http::serve(address, move |mut connection| {
            let _ = store.serve(&mut connection);
        })
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        let content = self.shared.content.lock();
        content.unwrap_or_else(PoisonError::into_inner)
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut content = self.lock();
        content.revision += 1;
        let revision = content.revision;
        let created = content.items.get(key).map_or(revision, |item| item.2);
        let item = (value.as_bytes().to_vec(), revision, created);
        content.items.insert(key.to_owned(), item.clone());
        content.events.push((key.to_owned(), item));
        self.shared.changed.notify_all();
    }

    fn serve(&self, connection: &mut Connection) -> io::Result<()> {
        while let Some(request) = connection.read()? {
            let (status, body) = match request.target().split('?').next() {
                Some("/api/kv-range") => (200, self.range(&request)),
                Some("/api/kv-watch") => (200, self.watch(&request)),
                _ => (404, String::new()),
            };
            let headers = [("Content-Type", "application/json")];
            connection.write(&http::response(status, &headers, body.as_bytes()))?;
        }
        Ok(())
    }

    fn range(&self, request: &Message) -> String {
        let content = self.lock();
        let prefix = query(request, "path-prefix");
        let after = query(request, "after");
        let items: Vec<String> = content
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, (value, revision, created))| item(key, value, *revision, *created))
            .collect();
        let at = content.revision;
        format!(
            "{{\"items\":[{}],\"has-more\":false,\"at\":{at}}}",
            items.join(",")
        )
    }

    fn watch(&self, request: &Message) -> String {
        let prefix = query(request, "path-prefix");
        let after: u64 = query(request, "after").parse().unwrap_or(0);
        let wait: u64 = query(request, "wait-ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut content = self.lock();
        loop {
            let events: Vec<String> = content
                .events
                .iter()
                .filter(|(key, (_, revision, _))| *revision > after && key.starts_with(&prefix))
                .map(|(key, (value, revision, created))| item(key, value, *revision, *created))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = content.revision;
                return format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
            }
            let waited = self.shared.changed.wait_timeout(content, left);
            content = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn item(key: &str, value: &[u8], revision: u64, created: u64) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease-id\":0}}"
    )
}

/// Returns a value of the query, in which `%2F` and the like stand for one byte.
fn query(request: &Message, name: &str) -> String {
    let (_, query) = request.target().split_once('?').unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name);
    let value = value.map_or("", |(_, value)| value).as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < value.len() {
        let hex = value
            .get(index + 1..index + 3)
            .filter(|_| value[index] == b'%');
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(value[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group
            .iter()
            .fold(0u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - group.len()));
        for digit in 0..4 {
            let index = bits >> (18 - 6 * digit) & 63;
            match digit <= group.len() {
                true => text.push(char::from(DIGITS[index as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
