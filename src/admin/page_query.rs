use std::fmt::Write;

/// Decoded query fields of an admin page.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PageQuery {
    fields: Vec<(String, String)>,
}

impl PageQuery {
    /// Decodes a query string (the text after `?`); invalid percent escapes are kept verbatim.
    #[must_use]
    pub fn decode(query: &str) -> Self {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let fields = pairs.map(|(name, value)| (decode_text(name), decode_text(value)));
        Self {
            fields: fields.collect(),
        }
    }

    /// Adds a field.
    #[must_use]
    pub fn with_field(mut self, name: &str, value: &str) -> Self {
        self.fields.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the first value of the field `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let (_, value) = fields.find(|(key, _)| key == name)?;
        Some(value)
    }

    /// Encodes the fields as a query string (the text after `?`).
    ///
    /// ```
    /// use endivelanding::admin::PageQuery;
    ///
    /// let query = PageQuery::default().with_field("path", "/a b?c=d&e");
    /// assert_eq!(query.encode(), "path=%2Fa%20b%3Fc%3Dd%26e");
    /// assert_eq!(PageQuery::decode(&query.encode()), query);
    /// ```
    #[must_use]
    pub fn encode(&self) -> String {
        let pairs: Vec<_> = self
            .fields
            .iter()
            .map(|(name, value)| format!("{}={}", encode_text(name), encode_text(value)))
            .collect();
        pairs.join("&")
    }
}

fn encode_text(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a `String` cannot fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

fn decode_text(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let escape = bytes.get(index + 1..index + 3).and_then(decode_byte);
        match escape.filter(|_| bytes[index] == b'%') {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn decode_byte(digits: &[u8]) -> Option<u8> {
    let digit = |index: usize| char::from(digits[index]).to_digit(16);
    u8::try_from(digit(0)? * 16 + digit(1)?).ok()
}
