use std::io::{self, BufRead};

use crate::wire::{MessageHead, message_head};

/// Request received by an emulator.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Start line and headers.
    pub head: MessageHead,
    /// Complete body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Reads a request; returns `None` if the connection was closed between requests.
    ///
    /// # Errors
    ///
    /// Returns an error if reading fails or the request is malformed.
    pub fn read<R>(reader: &mut R) -> io::Result<Option<HttpRequest>>
    where
        R: BufRead,
    {
        let Some(head) = MessageHead::read(reader)? else {
            return Ok(None);
        };
        let mut words = head.start_line.split(' ');
        let (Some(method), Some(target)) = (words.next(), words.next()) else {
            return Err(message_head::invalid("invalid request line"));
        };
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (method, path, query) = (method.to_owned(), path.to_owned(), query.to_owned());
        let body = head.read_body(reader)?;
        Ok(Some(HttpRequest {
            method,
            path,
            query,
            head,
            body,
        }))
    }

    /// Returns the value of a query parameter as a number.
    #[must_use]
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name);
        values.next()?.1.parse().ok()
    }
}
