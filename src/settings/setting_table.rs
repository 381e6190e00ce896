use std::collections::HashMap;
use std::fmt::Display;
use std::hash::Hash;
use std::ops::RangeInclusive;
use std::str::FromStr;

use toml::Value;
use toml::map::Map;

use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};

/// Table of a settings file that reports unknown keys.
///
/// Each method removes the key that it reads, so the remaining keys are the unknown ones.
#[derive(Debug)]
pub(crate) struct SettingTable<'a> {
    file: &'a str,
    name: &'a str,
    table: Map<String, Value>,
}

impl<'a> SettingTable<'a> {
    /// Parses the text of a settings file into its top-level table.
    pub(crate) fn parse(file: &'a str, text: &str) -> Result<Self> {
        let table = text.parse::<toml::Table>().map_err(|error| {
            let reason = error.to_string().replace('\n', " ");
            Error::new(
                ResultCode::SettingsSyntax,
                format!("{file}: not valid TOML: {}", reason.trim()),
            )
        })?;
        Ok(Self {
            file,
            name: "",
            table,
        })
    }

    /// Removes the nested table `name`; a missing table is treated as empty.
    pub(crate) fn table(&mut self, name: &'a str) -> Result<Self> {
        let table = match self.table.remove(name) {
            None => Map::new(),
            Some(Value::Table(table)) => table,
            Some(_) => return Err(self.out_of_range(name, "a table")),
        };
        Ok(Self {
            file: self.file,
            name,
            table,
        })
    }

    /// Removes and parses a required string; `allowed` describes the valid values in errors.
    pub(crate) fn required<Parsed>(&mut self, key: &str, allowed: &str) -> Result<Parsed>
    where
        Parsed: FromStr,
    {
        match self.table.remove(key) {
            None => Err(self.missing(key, allowed)),
            Some(value) => self.parse_string(key, &value, allowed),
        }
    }

    /// Removes and parses an optional string.
    pub(crate) fn optional<Parsed>(&mut self, key: &str, allowed: &str) -> Result<Option<Parsed>>
    where
        Parsed: FromStr,
    {
        let Some(value) = self.table.remove(key) else {
            return Ok(None);
        };
        self.parse_string(key, &value, allowed).map(Some)
    }

    /// Removes and parses an optional list of strings; a missing list is treated as empty.
    pub(crate) fn list<Parsed>(&mut self, key: &str, allowed: &str) -> Result<Vec<Parsed>>
    where
        Parsed: FromStr,
    {
        match self.table.remove(key) {
            None => Ok(Vec::new()),
            Some(Value::Array(values)) => values
                .iter()
                .map(|value| self.parse_string(key, value, allowed))
                .collect(),
            Some(_) => Err(self.out_of_range(key, format!("a list of {allowed}"))),
        }
    }

    /// Parses all entries of this table as pairs of strings.
    pub(crate) fn entries<Key, Parsed>(mut self, allowed: &str) -> Result<HashMap<Key, Parsed>>
    where
        Key: FromStr + Eq + Hash,
        Parsed: FromStr,
    {
        let table = std::mem::take(&mut self.table);
        table
            .iter()
            .map(|(key, value)| {
                let name = key
                    .parse()
                    .map_err(|_| self.out_of_range(key, format!("named by {allowed}")))?;
                Ok((name, self.parse_string(key, value, allowed)?))
            })
            .collect()
    }

    /// Removes an optional integer within `range`.
    pub(crate) fn integer(&mut self, key: &str, range: RangeInclusive<u64>) -> Result<Option<u64>> {
        let Some(value) = self.table.remove(key) else {
            return Ok(None);
        };
        value
            .as_integer()
            .and_then(|number| u64::try_from(number).ok())
            .filter(|number| range.contains(number))
            .map(Some)
            .ok_or_else(|| self.out_of_range(key, describe_range(&range)))
    }

    /// Removes an integer within `range`, or returns `default` if the key is missing.
    pub(crate) fn integer_or(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<u64> {
        Ok(self.integer(key, range)?.unwrap_or(default))
    }

    /// Removes a time in milliseconds within `range`, or returns `default` if the key is missing.
    pub(crate) fn time_or(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<ClockTime> {
        self.integer_or(key, default, range).map(ClockTime)
    }

    /// Removes a boolean, or returns `default` if the key is missing.
    pub(crate) fn boolean_or(&mut self, key: &str, default: bool) -> Result<bool> {
        match self.table.remove(key) {
            None => Ok(default),
            Some(Value::Boolean(flag)) => Ok(flag),
            Some(_) => Err(self.out_of_range(key, "true or false")),
        }
    }

    /// Returns an error for the first key that has not been read.
    pub(crate) fn finish(self) -> Result<()> {
        match self.table.keys().next() {
            None => Ok(()),
            Some(key) => Err(Error::new(
                ResultCode::SettingsUnknownKey,
                format!("{}: unknown key `{}`", self.file, self.qualified_key(key)),
            )),
        }
    }

    /// Creates the error for an invalid value.
    pub(crate) fn out_of_range<Allowed>(&self, key: &str, allowed: Allowed) -> Error
    where
        Allowed: Display,
    {
        Error::new(
            ResultCode::SettingsOutOfRange,
            format!(
                "{}: key `{}` must be {allowed}",
                self.file,
                self.qualified_key(key)
            ),
        )
    }

    fn missing(&self, key: &str, allowed: &str) -> Error {
        Error::new(
            ResultCode::SettingsMissingKey,
            format!(
                "{}: key `{}` is missing; it must be {allowed}",
                self.file,
                self.qualified_key(key)
            ),
        )
    }

    fn parse_string<Parsed>(&self, key: &str, value: &Value, allowed: &str) -> Result<Parsed>
    where
        Parsed: FromStr,
    {
        value
            .as_str()
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| self.out_of_range(key, allowed))
    }

    fn qualified_key(&self, key: &str) -> String {
        if self.name.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.name)
        }
    }
}

fn describe_range(range: &RangeInclusive<u64>) -> String {
    format!("an integer from {} to {}", range.start(), range.end())
}
