use bytes::Bytes;

/// Page of the admin server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminPage {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Complete body.
    pub body: Bytes,
}

impl AdminPage {
    /// Creates a plain-text page.
    pub fn text<Body>(status: u16, body: Body) -> Self
    where
        Body: Into<String>,
    {
        Self {
            status,
            content_type: "text/plain".to_owned(),
            body: Bytes::from(body.into()),
        }
    }

    /// Creates a page from JSON text.
    pub fn json<Body>(status: u16, body: Body) -> Self
    where
        Body: Into<String>,
    {
        Self {
            status,
            content_type: "application/json".to_owned(),
            body: Bytes::from(body.into()),
        }
    }
}
