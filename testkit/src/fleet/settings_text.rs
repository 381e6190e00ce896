use std::collections::BTreeMap;
use std::fmt;

/// Settings of a node by table and key, formatted as TOML by `Display`.
#[derive(Debug, Clone, Default)]
pub struct SettingsText {
    /// Entries by table; the root table has an empty name and therefore sorts first, as TOML
    /// requires.
    tables: BTreeMap<String, BTreeMap<String, String>>,
}

impl SettingsText {
    /// Sets a string value, such as a name or an address.
    pub fn set_text<V>(&mut self, table: &str, key: &str, value: V)
    where
        V: fmt::Display,
    {
        self.set(table, key, format!("\"{value}\""));
    }

    /// Sets a value given as a TOML expression.
    pub fn set<V>(&mut self, table: &str, key: &str, value: V)
    where
        V: Into<String>,
    {
        let entries = self.tables.entry(table.to_owned()).or_default();
        entries.insert(key.to_owned(), value.into());
    }

    /// Sets every value of `other`, overriding existing ones.
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
