use crate::admin::AdminPage;

/// Handler that generates the admin pages.
pub trait AdminHandler {
    /// Returns the page at `path`; `query` is the undecoded text after `?`.
    fn get(&self, path: &str, query: &str) -> AdminPage;
}
