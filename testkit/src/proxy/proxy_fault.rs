use serde::Deserialize;

/// Holds a `POST /fault` request; it replaces the fault of the mappings that it names.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyFault {
    /// What the mappings do.
    pub mode: ProxyFaultMode,
    /// Names of mappings.
    #[serde(default)]
    pub mappings: Vec<String>,
    /// Names of groups; with neither mappings nor groups, the request holds for all mappings.
    #[serde(default)]
    pub groups: Vec<String>,
    /// Bytes of each connection that still reach the connecting side, with `truncate`.
    #[serde(default)]
    pub after_bytes: u64,
}

/// States what a faulty mapping does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProxyFaultMode {
    /// Works; connections that went silent stay silent.
    #[default]
    None,
    /// Resets open connections and refuses new ones.
    Cut,
    /// Swallows all bytes of open and of new connections.
    Silent,
    /// Swallows all bytes towards the connecting side, of open and of new connections.
    SilentReplies,
    /// Swallows all bytes of the connections that are open now; new ones work.
    SilentOpen,
    /// Resets each connection after a number of bytes towards the connecting side.
    Truncate,
}
