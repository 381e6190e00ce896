use std::collections::HashMap;
use std::fmt::Display;
use std::hash::Hash;
use std::ops::RangeInclusive;
use std::str::FromStr;

use toml::Value;
use toml::map::Map;

use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};

/// Reads the keys of one table of a settings file and reports the ones that nothing read.
#[derive(Debug)]
pub(crate) struct SettingTable<'a> {
    file: &'a str,
    name: &'a str,
    table: Map<String, Value>,
}

impl<'a> SettingTable<'a> {
    /// Parses the text of the file `file` as its top-level table.
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

    /// Takes the table `name` out of this one; an absent table is empty.
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

    /// Takes a required text and parses it; `allowed` describes valid values.
    pub(crate) fn required<Parsed>(&mut self, key: &str, allowed: &str) -> Result<Parsed>
    where
        Parsed: FromStr,
    {
        match self.table.remove(key) {
            None => Err(self.missing(key, allowed)),
            Some(value) => self.parse_text(key, &value, allowed),
        }
    }

    /// Takes an optional text and parses it.
    pub(crate) fn optional<Parsed>(&mut self, key: &str, allowed: &str) -> Result<Option<Parsed>>
    where
        Parsed: FromStr,
    {
        let Some(value) = self.table.remove(key) else {
            return Ok(None);
        };
        self.parse_text(key, &value, allowed).map(Some)
    }

    /// Takes an optional list of texts; an absent list is empty.
    pub(crate) fn list<Parsed>(&mut self, key: &str, allowed: &str) -> Result<Vec<Parsed>>
    where
        Parsed: FromStr,
    {
        match self.table.remove(key) {
            None => Ok(Vec::new()),
            Some(Value::Array(values)) => values
                .iter()
                .map(|value| self.parse_text(key, value, allowed))
                .collect(),
            Some(_) => Err(self.out_of_range(key, format!("a list of {allowed}"))),
        }
    }

    /// Takes every entry of this table as a pair of texts.
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
                Ok((name, self.parse_text(key, value, allowed)?))
            })
            .collect()
    }

    /// Takes an optional integer within `range`.
    pub(crate) fn integer(&mut self, key: &str, range: RangeInclusive<u64>) -> Result<Option<u64>> {
        let Some(value) = self.table.remove(key) else {
            return Ok(None);
        };
        value
            .as_integer()
            .and_then(|number| u64::try_from(number).ok())
            .filter(|number| range.contains(number))
            .map(Some)
            .ok_or_else(|| self.out_of_range(key, allowed_range(&range)))
    }

    /// Takes an integer within `range`, or `default` if the key is absent.
    pub(crate) fn integer_or(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<u64> {
        Ok(self.integer(key, range)?.unwrap_or(default))
    }

    /// Takes a time in ms within `range`, or `default` if the key is absent.
    pub(crate) fn time_or(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<ClockTime> {
        self.integer_or(key, default, range).map(ClockTime)
    }

    /// Takes a boolean, or `default` if the key is absent.
    pub(crate) fn boolean_or(&mut self, key: &str, default: bool) -> Result<bool> {
        match self.table.remove(key) {
            None => Ok(default),
            Some(Value::Boolean(flag)) => Ok(flag),
            Some(_) => Err(self.out_of_range(key, "true or false")),
        }
    }

    /// Reports the first key that nothing read.
    pub(crate) fn finish(self) -> Result<()> {
        match self.table.keys().next() {
            None => Ok(()),
            Some(key) => Err(Error::new(
                ResultCode::SettingsUnknownKey,
                format!("{}: unknown key `{}`", self.file, self.full_key(key)),
            )),
        }
    }

    /// Creates the error for a value that is not allowed.
    pub(crate) fn out_of_range<Allowed>(&self, key: &str, allowed: Allowed) -> Error
    where
        Allowed: Display,
    {
        Error::new(
            ResultCode::SettingsOutOfRange,
            format!(
                "{}: key `{}` must be {allowed}",
                self.file,
                self.full_key(key)
            ),
        )
    }

    fn missing(&self, key: &str, allowed: &str) -> Error {
        Error::new(
            ResultCode::SettingsMissingKey,
            format!(
                "{}: key `{}` is missing; it must be {allowed}",
                self.file,
                self.full_key(key)
            ),
        )
    }

    fn parse_text<Parsed>(&self, key: &str, value: &Value, allowed: &str) -> Result<Parsed>
    where
        Parsed: FromStr,
    {
        value
            .as_str()
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| self.out_of_range(key, allowed))
    }

    fn full_key(&self, key: &str) -> String {
        if self.name.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.name)
        }
    }
}

fn allowed_range(range: &RangeInclusive<u64>) -> String {
    format!("an integer from {} to {}", range.start(), range.end())
}
