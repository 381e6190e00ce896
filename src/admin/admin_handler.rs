use crate::admin::AdminPage;

/// Makes the pages for operators.
pub trait AdminHandler {
    /// Returns the page at a path; `query` is the text after `?`, without it and not decoded.
    fn get(&self, path: &str, query: &str) -> AdminPage;
}
