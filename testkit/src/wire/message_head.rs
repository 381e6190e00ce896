use std::io::{self, BufRead, Read};

/// Largest head that is read, in bytes.
const HEAD_LIMIT: u64 = 64 * 1024;

/// Largest body that is read, in bytes; above the 1 MB of the platform so that its refusal is seen.
const BODY_LIMIT: usize = 8 * 1024 * 1024;

/// Holds the start line and the headers of a request or an answer.
#[derive(Debug, Clone)]
pub struct MessageHead {
    /// Request line or status line, without the line end.
    pub start: String,
    /// Header names in lower case with their values.
    pub headers: Vec<(String, String)>,
}

impl MessageHead {
    /// Reads a head, or returns `None` if the connection ended before the first byte.
    ///
    /// # Errors
    ///
    /// Returns an error if reading fails or the head is malformed, cut or too large.
    pub fn read<R>(reader: &mut R) -> io::Result<Option<MessageHead>>
    where
        R: BufRead,
    {
        let mut limited = reader.take(HEAD_LIMIT);
        let Some(start) = read_line(&mut limited)? else {
            return Ok(None);
        };
        let mut headers = Vec::new();
        loop {
            let line = read_line(&mut limited)?.ok_or_else(|| invalid("head ends early"))?;
            if line.is_empty() {
                return Ok(Some(MessageHead { start, headers }));
            }
            let (name, value) = line
                .split_once(':')
                .ok_or_else(|| invalid("header without colon"))?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Returns the first header of the given name in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a header as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// Reads the body that belongs to this head, by its length or in chunks.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is cut, malformed or too large.
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
            read_part(reader, length, &mut body)?;
            return Ok(body);
        }
        loop {
            let line = read_line(reader)?.ok_or_else(|| invalid("body ends early"))?;
            let digits = line.split(';').next().unwrap_or_default().trim();
            let length = usize::from_str_radix(digits, 16).map_err(|_| invalid("bad chunk"))?;
            read_part(reader, length, &mut body)?;
            if length > 0 {
                read_line(reader)?;
                continue;
            }
            while read_line(reader)?.is_some_and(|trailer| !trailer.is_empty()) {}
            return Ok(body);
        }
    }
}

/// Returns an error for data that breaks the protocol.
pub(crate) fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_part<R>(reader: &mut R, length: usize, body: &mut Vec<u8>) -> io::Result<()>
where
    R: BufRead,
{
    let start = body.len();
    if length > BODY_LIMIT - start {
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
