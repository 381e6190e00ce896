use std::io::{self, BufRead};

use crate::wire::{MessageHead, message_head};

/// Response sent by an emulator or received by a client.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Creates a response without headers.
    #[must_use]
    pub fn new<B>(status: u16, body: B) -> HttpResponse
    where
        B: Into<Vec<u8>>,
    {
        HttpResponse {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Creates a response with a JSON body and status 200.
    #[must_use]
    pub fn json(value: &serde_json::Value) -> HttpResponse {
        HttpResponse::new(200, value.to_string()).with_header("content-type", "application/json")
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header<V>(mut self, name: &str, value: V) -> HttpResponse
    where
        V: Into<String>,
    {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Returns the value of the first header with the given lower-case name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body parsed as JSON, or null if it is not valid JSON.
    #[must_use]
    pub fn body_json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Encodes the response, including its head.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} -\r\n", self.status);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.status != 304 {
            text.push_str(&format!("content-length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Reads a response and skips informational ones before it.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed early or the response is malformed.
    pub fn read<R>(reader: &mut R) -> io::Result<HttpResponse>
    where
        R: BufRead,
    {
        loop {
            let head = MessageHead::read(reader)?
                .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "no answer"))?;
            let word = head.start_line.split(' ').nth(1).unwrap_or_default();
            let status: u16 = word
                .parse()
                .map_err(|_| message_head::invalid("bad status line"))?;
            if (100..200).contains(&status) {
                continue;
            }
            let body = match status {
                204 | 304 => Vec::new(),
                _ => head.read_body(reader)?,
            };
            let headers = head.headers;
            return Ok(HttpResponse {
                status,
                headers,
                body,
            });
        }
    }
}
