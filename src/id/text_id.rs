/// Defines a reference-counted text identifier of 1 to 64 characters from `a-z`, `0-9`, `-` and
/// `_`.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the identifier as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::error::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::id::text_id::validate_identifier(stringify!($name), text)?;
                Ok(Self(text.into()))
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
            where
                S: serde::Serializer,
            {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

pub(crate) use text_id;

use crate::error::{Error, Result, ResultCode};

/// Maximum length of an identifier, in characters.
const MAX_LENGTH: usize = 64;

pub(crate) fn validate_identifier(type_name: &str, text: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    if text.is_empty() || text.len() > MAX_LENGTH || !text.chars().all(allowed) {
        return Err(Error::new(
            ResultCode::ManifestOutOfRange,
            format!(
                "{type_name} `{text}` must be 1 to {MAX_LENGTH} characters from a-z, 0-9, - and _"
            ),
        ));
    }
    Ok(())
}
