use std::collections::BTreeMap;
use std::fmt;

/// Collects the settings of a node by table and key, and displays them as TOML.
#[derive(Debug, Clone, Default)]
pub struct SettingsText {
    /// The table without a name comes first, as TOML needs it.
    tables: BTreeMap<String, BTreeMap<String, String>>,
}

impl SettingsText {
    /// Sets a text, such as a name or an address.
    pub fn set_text<V>(&mut self, table: &str, key: &str, value: V)
    where
        V: fmt::Display,
    {
        self.set(table, key, format!("\"{value}\""));
    }

    /// Sets a value that is given in TOML.
    pub fn set<V>(&mut self, table: &str, key: &str, value: V)
    where
        V: Into<String>,
    {
        let entries = self.tables.entry(table.to_owned()).or_default();
        entries.insert(key.to_owned(), value.into());
    }

    /// Sets every value that the other settings hold.
    pub fn merge(&mut self, other: &SettingsText) {
        for (table, entries) in &other.tables {
            let own = self.tables.entry(table.clone()).or_default();
            own.extend(entries.clone());
        }
    }
}

impl fmt::Display for SettingsText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (table, entries) in &self.tables {
            if !table.is_empty() {
                writeln!(formatter, "\n[{table}]")?;
            }
            for (key, value) in entries {
                writeln!(formatter, "{key} = {value}")?;
            }
        }
        Ok(())
    }
}
