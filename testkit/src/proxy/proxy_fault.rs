use serde::Deserialize;

/// Body of a `POST /fault` request, which replaces the fault of the named mappings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyFault {
    /// Behavior of the mappings.
    pub mode: ProxyFaultMode,
    /// Names of the affected mappings.
    #[serde(default)]
    pub mappings: Vec<String>,
    /// Names of the affected groups; without mappings and groups, all mappings are affected.
    #[serde(default)]
    pub groups: Vec<String>,
    /// Number of bytes that each connection still forwards to its source, for mode `truncate`.
    #[serde(default)]
    pub after_bytes: u64,
}

/// Behavior of a mapping under a fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProxyFaultMode {
    /// Operates normally; existing connections that discard bytes continue to do so.
    #[default]
    None,
    /// Resets open connections and refuses new ones.
    Cut,
    /// Discards all bytes of existing and new connections.
    Silent,
    /// Discards all bytes towards the source, of existing and new connections.
    SilentReplies,
    /// Discards all bytes of existing connections; new ones operate normally.
    SilentOpen,
    /// Resets each connection after a number of bytes towards the source.
    Truncate,
}
