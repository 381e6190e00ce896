use std::fmt;

use serde::Serialize;

/// How much a finding matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FindingLevel {
    /// A difference from the configuration in force.
    Change,
    /// An entry that is valid and probably not meant.
    Warning,
    /// An entry with which the configuration is not used, or requests cannot be served.
    Error,
}

/// One result of a check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ConfigFinding {
    /// How much it matters.
    pub level: FindingLevel,
    /// Stable name of the rule, for programs.
    pub rule: &'static str,
    /// The route, service or limit that it concerns.
    pub entry: String,
    /// What was found, for people.
    pub message: String,
}

impl ConfigFinding {
    pub(super) fn new<Entry, Message>(
        level: FindingLevel,
        rule: &'static str,
        entry: Entry,
        message: Message,
    ) -> Self
    where
        Entry: Into<String>,
        Message: Into<String>,
    {
        Self {
            level,
            rule,
            entry: entry.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for FindingLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Change => "change",
            Self::Warning => "warning",
            Self::Error => "error",
        })
    }
}

impl fmt::Display for ConfigFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            level,
            rule,
            entry,
            message,
        } = self;
        write!(formatter, "{level} {rule} {entry}: {message}")
    }
}
