use std::io::{self, BufRead, Read};

/// Maximum size of a message head, in bytes.
const MAX_HEAD_BYTES: u64 = 64 * 1024;

/// Maximum size of a message body, in bytes; larger than the platform's limit of 1 MB so that the
/// platform emulator can reject larger values itself.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Start line and headers of a request or a response.
#[derive(Debug, Clone)]
pub struct MessageHead {
    /// Request line or status line, without the line terminator.
    pub start_line: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl MessageHead {
    /// Reads a head; returns `None` if the connection was closed before the first byte.
    ///
    /// # Errors
    ///
    /// Returns an error if reading fails or the head is malformed, truncated or too large.
    pub fn read<R>(reader: &mut R) -> io::Result<Option<MessageHead>>
    where
        R: BufRead,
    {
        let mut limited = reader.take(MAX_HEAD_BYTES);
        let Some(start_line) = read_line(&mut limited)? else {
            return Ok(None);
        };
        let mut headers = Vec::new();
        loop {
            let line = read_line(&mut limited)?.ok_or_else(|| invalid("head ends early"))?;
            if line.is_empty() {
                return Ok(Some(MessageHead {
                    start_line,
                    headers,
                }));
            }
            let (name, value) = line
                .split_once(':')
                .ok_or_else(|| invalid("header without colon"))?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Returns the value of the first header with the given lower-case name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the value of a header as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// Reads the body that follows this head, delimited by content length or chunked encoding.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated, malformed or too large.
    pub fn read_body<R>(&self, reader: &mut R) -> io::Result<Vec<u8>>
    where
        R: BufRead,
    {
        let mut body = Vec::new();
        let chunked = self
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if !chunked {
            let length = match self.header("content-length") {
                Some(text) => text.parse().map_err(|_| invalid("bad content length"))?,
                None => 0,
            };
            read_bytes(reader, length, &mut body)?;
            return Ok(body);
        }
        loop {
            let line = read_line(reader)?.ok_or_else(|| invalid("body ends early"))?;
            let digits = line.split(';').next().unwrap_or_default().trim();
            let length = usize::from_str_radix(digits, 16).map_err(|_| invalid("bad chunk"))?;
            read_bytes(reader, length, &mut body)?;
            if length > 0 {
                read_line(reader)?;
                continue;
            }
            while read_line(reader)?.is_some_and(|trailer| !trailer.is_empty()) {}
            return Ok(body);
        }
    }
}

/// Creates an error for data that violates the protocol.
pub(crate) fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_bytes<R>(reader: &mut R, length: usize, body: &mut Vec<u8>) -> io::Result<()>
where
    R: BufRead,
{
    let start = body.len();
    if length > MAX_BODY_BYTES - start {
        return Err(invalid("body too large"));
    }
    body.resize(start + length, 0);
    reader.read_exact(&mut body[start..])
}

fn read_line<R>(reader: &mut R) -> io::Result<Option<String>>
where
    R: BufRead,
{
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let text = line
        .strip_suffix('\n')
        .ok_or_else(|| invalid("line cut or too long"))?;
    Ok(Some(text.trim_end_matches('\r').to_owned()))
}
